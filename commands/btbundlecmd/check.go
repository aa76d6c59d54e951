package btbundlecmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btbundle"
)

const checkHelp = `Check a bundle whole and list every problem with its line and key.

  bilberrytide bundle check next.toml
  bilberrytide bundle check next.toml --output json`

type checkCommand struct {
	printer
	path string
}

// checkResult is the output of "check --output json".
type checkResult struct {
	File     string            `json:"file"`
	Valid    bool              `json:"valid"`
	Version  uint64            `json:"version,omitempty"`
	Digest   btbundle.Digest   `json:"digest"`
	Problems btbundle.Problems `json:"problems"`
	Advice   btbundle.Problems `json:"advice"`
	Signed   int               `json:"signatures"`
	bundle   *btbundle.Bundle  // nil if the bundle is invalid
}

func registerCheck(bundle *kingpin.CmdClause, out io.Writer) {
	c := &checkCommand{printer: printer{out: out}}
	command := bundle.Command("check", checkHelp).Action(c.run)
	command.Arg("file", "The bundle, signed or not.").Required().StringVar(&c.path)
	c.addOutputFlag(command)
}

func (c *checkCommand) run(*kingpin.ParseContext) error {
	signed, err := readFile(c.path)
	if err != nil {
		return err
	}
	result := checkResult{File: c.path, Digest: btbundle.DigestOf(signed.Document), Signed: len(signed.Signatures)}
	bundle, advice, err := btbundle.Inspect(signed.Document)
	if err != nil && !errors.As(err, &result.Problems) {
		return refusedError(c.path, err)
	}
	if err == nil {
		result.Valid = true
		result.Version = uint64(bundle.Version)
		result.Advice = advice
		result.bundle = bundle
	}
	if err := c.print(result, result.write); err != nil {
		return err
	}
	if !result.Valid {
		return fmt.Errorf("%w: %s has %s", ErrRefused, c.path, countNoun(len(result.Problems), "problem"))
	}
	return nil
}

func (r checkResult) write(w io.Writer) error {
	for _, p := range r.Problems {
		if _, err := fmt.Fprintf(w, "%s: %s\n", r.File, p); err != nil {
			return err
		}
	}
	for _, p := range r.Advice {
		if _, err := fmt.Fprintf(w, "%s: advice: %s\n", r.File, p); err != nil {
			return err
		}
	}
	if !r.Valid {
		return nil
	}
	b := r.bundle
	_, err := fmt.Fprintf(w, "%s: valid: version %d, %s, %s, %s, %s\n", r.File, b.Version,
		countNoun(len(b.Services), "service"), countNoun(len(b.Targets), "target"),
		countNoun(len(b.Groups), "group"), countNoun(len(b.Accounts), "client account"))
	return err
}
