package btbundlecmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btbundle"
)

const diffHelp = `Tell what replacing one bundle by another brings about.

  bilberrytide bundle diff inforce.toml next.toml`

type diffCommand struct {
	printer
	old  string
	next string
}

// diffResult is the output of "diff --output json".
type diffResult struct {
	Changes []btbundle.Change `json:"changes"`
	// Problems lists why the new bundle must not replace the old one.
	Problems btbundle.Problems `json:"unfit"`
}

func registerDiff(bundle *kingpin.CmdClause, out io.Writer) {
	c := &diffCommand{printer: printer{out: out}}
	command := bundle.Command("diff", diffHelp).Action(c.run)
	command.Arg("old", "The bundle in force, signed or not.").Required().StringVar(&c.old)
	command.Arg("new", "The bundle to come, signed or not.").Required().StringVar(&c.next)
	c.addOutputFlag(command)
}

func (c *diffCommand) run(*kingpin.ParseContext) error {
	signed, old, err := readBundle(c.old)
	if err != nil {
		return err
	}
	changed, next, err := readBundle(c.next)
	if err != nil {
		return err
	}
	problems := btbundle.CheckSuccessor(old, btbundle.DigestOf(signed.Document), next)
	result := diffResult{
		Changes:  btbundle.Diff(old, next),
		Problems: btbundle.Locate(changed.Document, problems),
	}
	return c.print(result, result.write)
}

func (r diffResult) write(w io.Writer) error {
	if len(r.Changes) == 0 {
		if _, err := fmt.Fprintln(w, "nothing changes"); err != nil {
			return err
		}
	}
	for _, change := range r.Changes {
		if _, err := fmt.Fprintf(w, "%-9s %s\n", change.Kind, change); err != nil {
			return err
		}
	}
	for _, p := range r.Problems {
		if _, err := fmt.Fprintf(w, "unfit     %s\n", p); err != nil {
			return err
		}
	}
	return nil
}
