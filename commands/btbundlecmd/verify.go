package btbundlecmd

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btbundle"
)

const verifyHelp = `Verify a signed bundle as a process would.

  bilberrytide bundle verify signed.toml --approver anna=MCow... --approver ben=J3dx... --required 2`

type verifyCommand struct {
	printer
	path      string
	approvers []string
	required  int
}

// verifyResult is the output of "verify --output json".
type verifyResult struct {
	Version uint64          `json:"version"`
	Digest  btbundle.Digest `json:"digest"`
	Signers []string        `json:"signers"`
}

func registerVerify(bundle *kingpin.CmdClause, out io.Writer) {
	c := &verifyCommand{printer: printer{out: out}}
	command := bundle.Command("verify", verifyHelp).Action(c.run)
	command.Arg("file", "The signed bundle.").Required().StringVar(&c.path)
	command.Flag("approver", "An approver's name and public key, NAME=KEY; repeat it for more.").Required().StringsVar(&c.approvers)
	command.Flag("required", "How many of them must have signed.").Default("1").IntVar(&c.required)
	c.addOutputFlag(command)
}

func (c *verifyCommand) run(*kingpin.ParseContext) error {
	trusted := btbundle.Approvers{Required: c.required}
	for _, text := range c.approvers {
		name, encoded, found := strings.Cut(text, "=")
		if !found {
			return fmt.Errorf("%w: --approver %s: want NAME=KEY", ErrRefused, text)
		}
		approver := btbundle.Approver{Name: name}
		if err := approver.Key.UnmarshalText([]byte(encoded)); err != nil {
			return fmt.Errorf("%w: --approver %s: %w", ErrRefused, name, err)
		}
		trusted.Keys = append(trusted.Keys, approver)
	}
	signed, err := readFile(c.path)
	if err != nil {
		return err
	}
	approved, err := trusted.Verify(signed)
	if err != nil {
		return refusedError(c.path, err)
	}
	result := verifyResult{Version: uint64(approved.Bundle.Version), Digest: approved.Digest, Signers: approved.Signers}
	return c.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s: version %d, digest %s, signed by %s\n", c.path, result.Version, result.Digest,
			strings.Join(result.Signers, ", "))
		return err
	})
}
