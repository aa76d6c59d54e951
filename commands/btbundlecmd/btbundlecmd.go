// Package btbundlecmd adds the commands by which operators make, check, compare
// and approve bundles. They work on files alone: what is approved is published
// with the platform's own tool.
package btbundlecmd

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btbundle"
)

// ErrRefused is wrapped by the error of a bundle, a key or a file that was
// looked at and refused. A process ends with code 1 for it, and with code 2
// where the command line itself is wrong.
var ErrRefused = errors.New("refused")

// help stands above the subcommands.
const help = `Make, check, compare and approve bundles.

A rollout: edit a copy of the bundle in force, then

  bilberrytide bundle new --from inforce.toml --draft edited.toml --out next.toml
  bilberrytide bundle diff inforce.toml next.toml
  bilberrytide bundle approve next.toml --key me.key --in-force inforce.toml --out signed.toml

and publish signed.toml with the platform's own tool.

Exit codes: 0 done or valid, 1 refused or invalid, 2 wrong usage.`

// Output formats of the --output flag.
const (
	outputText = "text"
	outputJSON = "json"
)

// Register adds the "bundle" commands to the application; they write to out.
func Register(app *kingpin.Application, out io.Writer) {
	bundle := app.Command("bundle", help)
	registerNew(bundle, out)
	registerCheck(bundle, out)
	registerDiff(bundle, out)
	registerShow(bundle, out)
	registerApprove(bundle, out)
	registerVerify(bundle, out)
	registerKeygen(bundle, out)
}

// printer writes a command's result as text or as JSON.
type printer struct {
	out    io.Writer
	format string
}

func (p *printer) flag(command *kingpin.CmdClause) {
	command.Flag("output", "Output format: text or json.").Default(outputText).EnumVar(&p.format, outputText, outputJSON)
}

// print writes value as JSON, or calls text.
func (p *printer) print(value any, text func(w io.Writer) error) error {
	if p.format != outputJSON {
		return text(p.out)
	}
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// readFile reads a bundle's file, signed or not.
func readFile(path string) (btbundle.Signed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return btbundle.Signed{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	signed, err := btbundle.ParseSigned(data)
	if err != nil {
		return btbundle.Signed{}, fmt.Errorf("%w: %s: %w", ErrRefused, path, err)
	}
	return signed, nil
}

// readBundle reads and checks a bundle's file, signed or not.
func readBundle(path string) (btbundle.Signed, *btbundle.Bundle, error) {
	signed, err := readFile(path)
	if err != nil {
		return signed, nil, err
	}
	bundle, err := btbundle.Decode(signed.Document)
	if err != nil {
		return signed, nil, refused(path, err)
	}
	return signed, bundle, nil
}

// refused names the file in each problem of the error.
func refused(path string, err error) error {
	var problems btbundle.Problems
	if !errors.As(err, &problems) {
		return fmt.Errorf("%w: %s: %w", ErrRefused, path, err)
	}
	text := ""
	for _, p := range problems {
		text += "\n" + path + ": " + p.String()
	}
	return fmt.Errorf("%w: %s has %s%s", ErrRefused, path, count(len(problems), "problem"), text)
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// writeNew writes a file that must not exist yet.
func writeNew(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if _, err = f.Write(data); err != nil {
		return errors.Join(fmt.Errorf("%w: %w", ErrRefused, err), f.Close())
	}
	return f.Close()
}

// keyType is the PEM type of an approver's private key, in PKCS #8.
const keyType = "PRIVATE KEY"

// readKey reads an approver's private key.
func readKey(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != keyType {
		return nil, fmt.Errorf("%w: %s holds no private key in PEM", ErrRefused, path)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrRefused, path, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%w: %s holds no Ed25519 key", ErrRefused, path)
	}
	return key, nil
}
