// Package btsettingscmd adds the commands "settings check" and "settings reference",
// with which operators check settings files and print a reference of the keys.
package btsettingscmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btbundle/bttoml"
	"bilberrytide/io/btsettings"
)

// ErrRefused is wrapped by the error for invalid settings. The program then exits
// with code 1, and with code 2 if the command line is wrong.
var ErrRefused = errors.New("refused")

const help = `Check settings files and print their reference.

Exit codes: 0 done or valid, 1 invalid, 2 wrong usage.`

const checkHelp = `Check a settings file and list every problem with its line and key.

  bilberrytide settings check entry entry.toml
  bilberrytide settings check agent agent.toml --files --output json`

const referenceHelp = `Print every key with its meaning and default, as a file to start from.

  bilberrytide settings reference entry > entry.toml`

// Values of the --output flag.
const (
	outputText = "text"
	outputJSON = "json"
)

// Register adds the "settings" commands to the application. Their output goes to out.
func Register(app *kingpin.Application, out io.Writer) {
	settings := app.Command("settings", help)
	registerCheck(settings, out)
	registerReference(settings, out)
}

type checkCommand struct {
	out    io.Writer
	kind   string
	path   string
	files  bool
	format string
}

// checkResult is the output of "check --output json".
type checkResult struct {
	File     string          `json:"file"`
	Valid    bool            `json:"valid"`
	Problems bttoml.Problems `json:"problems"`
}

func registerCheck(settings *kingpin.CmdClause, out io.Writer) {
	c := &checkCommand{out: out}
	command := settings.Command("check", checkHelp).Action(c.run)
	kindArg(command, &c.kind)
	command.Arg("file", "The settings file.").Required().StringVar(&c.path)
	command.Flag("files", "Check too that the files of the tls table can be read.").BoolVar(&c.files)
	command.Flag("output", "Output format: text or json.").Default(outputText).EnumVar(&c.format, outputText, outputJSON)
}

func kindArg(command *kingpin.CmdClause, kind *string) {
	command.Arg("process", "Whose settings: entry or agent.").Required().
		EnumVar(kind, string(btsettings.EntryKind), string(btsettings.AgentKind))
}

func (c *checkCommand) run(*kingpin.ParseContext) error {
	files, err := c.load()
	var invalid *btsettings.Error
	if err != nil && !errors.As(err, &invalid) {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	result := checkResult{File: c.path, Valid: err == nil}
	if invalid != nil {
		result.Problems = invalid.Problems
	}
	if err := c.print(result); err != nil {
		return err
	}
	if !result.Valid {
		return fmt.Errorf("%w: %s has problems", ErrRefused, c.path)
	}
	if !c.files {
		return nil
	}
	if err := files.CheckFiles(); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrRefused, c.path, err)
	}
	return nil
}

// load checks the settings file and returns its tls table, which names the
// certificate and key files.
func (c *checkCommand) load() (btsettings.TLS, error) {
	if btsettings.Kind(c.kind) == btsettings.EntryKind {
		s, err := btsettings.LoadEntry(c.path)
		if err != nil {
			return btsettings.TLS{}, err
		}
		return s.TLS, nil
	}
	s, err := btsettings.LoadAgent(c.path)
	if err != nil {
		return btsettings.TLS{}, err
	}
	return s.TLS, nil
}

func (c *checkCommand) print(r checkResult) error {
	if c.format == outputJSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, p := range r.Problems {
		if _, err := fmt.Fprintf(c.out, "%s: %s\n", r.File, p); err != nil {
			return err
		}
	}
	if !r.Valid {
		return nil
	}
	_, err := fmt.Fprintf(c.out, "%s: valid\n", r.File)
	return err
}

type referenceCommand struct {
	out  io.Writer
	kind string
}

func registerReference(settings *kingpin.CmdClause, out io.Writer) {
	c := &referenceCommand{out: out}
	command := settings.Command("reference", referenceHelp).Action(c.run)
	kindArg(command, &c.kind)
}

func (c *referenceCommand) run(*kingpin.ParseContext) error {
	_, err := io.WriteString(c.out, btsettings.Reference(btsettings.Kind(c.kind)))
	return err
}
