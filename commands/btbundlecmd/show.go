package btbundlecmd

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
)

const showHelp = `Show a bundle as a table, or whole as JSON.

  bilberrytide bundle show signed.toml`

type showCommand struct {
	printer
	path string
}

// showResult is the output of "show --output json".
type showResult struct {
	Digest     btbundle.Digest  `json:"digest"`
	Signatures []btbundle.KeyID `json:"signatures"`
	Bundle     *btbundle.Bundle `json:"bundle"`
}

func registerShow(bundle *kingpin.CmdClause, out io.Writer) {
	c := &showCommand{printer: printer{out: out}}
	command := bundle.Command("show", showHelp).Action(c.run)
	command.Arg("file", "The bundle, signed or not.").Required().StringVar(&c.path)
	c.addOutputFlag(command)
}

func (c *showCommand) run(*kingpin.ParseContext) error {
	signed, bundle, err := readBundle(c.path)
	if err != nil {
		return err
	}
	result := showResult{Digest: btbundle.DigestOf(signed.Document), Bundle: bundle}
	for _, s := range signed.Signatures {
		result.Signatures = append(result.Signatures, s.KeyID)
	}
	return c.print(result, result.write)
}

func (r showResult) write(w io.Writer) error {
	b := r.Bundle
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	row("version\t%d, made %s", b.Version, b.Created.UTC().Format("2006-01-02 15:04:05 UTC"))
	row("digest\t%s", r.Digest)
	row("signatures\t%d %v", len(r.Signatures), r.Signatures)
	row("placement\tskew_weight %v, move_weight %v", b.Placement.SkewWeight, b.Placement.MoveWeight)
	targets := map[btid.Service]int{}
	for _, t := range b.Targets {
		targets[t.Service]++
	}
	row("\nservice\tkind\ttargets\tepoch\tkey homes")
	for i := range b.Services {
		s := &b.Services[i]
		row("%s\t%s\t%d\t%d\t%v", s.Name, s.Kind, targets[s.Name], s.CurrentEpoch().Number, s.CurrentEpoch().Homes)
	}
	row("\ngroup\tservice\tranks\texperts\tlayers\tslots a rank")
	for _, g := range b.Groups {
		row("%s\t%s\t%d\t%d\t%d\t%d", g.Name, g.Service, len(g.Ranks), g.Experts, g.Layers, g.SlotsPerRank)
	}
	row("\nclient account\trequests a second\tburst\tat once\tweight")
	for _, a := range b.Accounts {
		row("%s\t%v\t%d\t%d\t%v", a.Name, a.Rate, a.Burst, a.Concurrency, a.Weight)
	}
	return table.Flush()
}
