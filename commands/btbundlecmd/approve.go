package btbundlecmd

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btbundle"
)

const approveHelp = `Sign a bundle.

The bundle is checked whole first, and against the one in force. Publish the
signed file at once: key homes' epochs are kept for a stated time only.
A second approver signs the file that the first one wrote.

  bilberrytide bundle approve next.toml --key me.key --in-force inforce.toml --out signed.toml
  bilberrytide bundle approve version1.toml --key me.key --first --out signed.toml`

type approveCommand struct {
	out     io.Writer
	path    string
	key     string
	inForce string
	first   bool
	outPath string
}

func registerApprove(bundle *kingpin.CmdClause, out io.Writer) {
	c := &approveCommand{out: out}
	command := bundle.Command("approve", approveHelp).Action(c.run)
	command.Arg("file", "The bundle, signed by other approvers or not.").Required().StringVar(&c.path)
	command.Flag("key", "Your private key, as keygen wrote it.").Required().StringVar(&c.key)
	command.Flag("in-force", "The bundle that it replaces.").StringVar(&c.inForce)
	command.Flag("first", "There is no bundle in force yet.").BoolVar(&c.first)
	command.Flag("out", "File to write, which must not exist.").Required().StringVar(&c.outPath)
	command.Validate(func(*kingpin.CmdClause) error {
		if c.first == (c.inForce != "") {
			return errors.New("give either --in-force with the bundle that this one replaces, or --first")
		}
		return nil
	})
}

func (c *approveCommand) run(*kingpin.ParseContext) error {
	signed, bundle, err := readBundle(c.path)
	if err != nil {
		return err
	}
	if err := c.checkSuccessor(signed.Document, bundle); err != nil {
		return err
	}
	key, err := readKey(c.key)
	if err != nil {
		return err
	}
	signed.Document = btbundle.TerminateDocument(signed.Document)
	signature := btbundle.Sign(signed.Document, key)
	if slices.ContainsFunc(signed.Signatures, func(s btbundle.Signature) bool { return s.KeyID == signature.KeyID }) {
		return fmt.Errorf("%w: %s is already signed with key %s", ErrRefused, c.path, signature.KeyID)
	}
	signed.Signatures = append(signed.Signatures, signature)
	if err := createFile(c.outPath, signed.Bytes(), 0o644); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s: version %d, digest %s, %s; publish it now\n", c.outPath, bundle.Version,
		btbundle.DigestOf(signed.Document), countNoun(len(signed.Signatures), "signature"))
	return err
}

// checkSuccessor returns an error for a bundle that was made too long ago or that
// must not replace the bundle in force.
func (c *approveCommand) checkSuccessor(document []byte, bundle *btbundle.Bundle) error {
	if age := time.Since(bundle.Created); age > btbundle.ApprovalWindow {
		return fmt.Errorf("%w: %s was made %s ago, at most %s: make it anew with bundle new",
			ErrRefused, c.path, age.Round(time.Minute), btbundle.ApprovalWindow)
	}
	if c.first {
		return nil
	}
	signed, old, err := readBundle(c.inForce)
	if err != nil {
		return err
	}
	if problems := btbundle.CheckSuccessor(old, btbundle.DigestOf(signed.Document), bundle); len(problems) > 0 {
		return refusedError(c.path, btbundle.Locate(document, problems))
	}
	return nil
}
