// Package btbundlecmd adds the "bundle" commands, with which operators create,
// check, compare and approve bundles. They only read and write files: an approved
// bundle is published with the platform's own tool.
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

// ErrRefused is wrapped by the error for a bundle, key or file that is invalid or
// can't be used. The program then exits with code 1, and with code 2 if the command
// line is wrong.
var ErrRefused = errors.New("refused")

const help = `Make, check, compare and approve bundles.

A rollout: edit a copy of the bundle in force, then

  bilberrytide bundle new --from inforce.toml --draft edited.toml --out next.toml
  bilberrytide bundle diff inforce.toml next.toml
  bilberrytide bundle approve next.toml --key me.key --in-force inforce.toml --out signed.toml

and publish signed.toml with the platform's own tool.

Exit codes: 0 done or valid, 1 refused or invalid, 2 wrong usage.`

// Values of the --output flag.
const (
	outputText = "text"
	outputJSON = "json"
)

// Register adds the "bundle" commands to the application. Their output goes to out.
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

func (p *printer) addOutputFlag(command *kingpin.CmdClause) {
	command.Flag("output", "Output format: text or json.").Default(outputText).EnumVar(&p.format, outputText, outputJSON)
}

// print writes value as JSON or calls text, depending on the output format.
func (p *printer) print(value any, text func(w io.Writer) error) error {
	if p.format != outputJSON {
		return text(p.out)
	}
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// readFile reads the file of a bundle, signed or not, without checking the bundle.
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

// readBundle reads the file of a bundle, signed or not, and checks the bundle.
func readBundle(path string) (btbundle.Signed, *btbundle.Bundle, error) {
	signed, err := readFile(path)
	if err != nil {
		return signed, nil, err
	}
	bundle, err := btbundle.Decode(signed.Document)
	if err != nil {
		return signed, nil, refusedError(path, err)
	}
	return signed, bundle, nil
}

// refusedError wraps the error in ErrRefused and lists its problems, each on a line
// of its own that begins with the file.
func refusedError(path string, err error) error {
	var problems btbundle.Problems
	if !errors.As(err, &problems) {
		return fmt.Errorf("%w: %s: %w", ErrRefused, path, err)
	}
	text := ""
	for _, p := range problems {
		text += "\n" + path + ": " + p.String()
	}
	return fmt.Errorf("%w: %s has %s%s", ErrRefused, path, countNoun(len(problems), "problem"), text)
}

func countNoun(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// createFile writes a new file. It fails if the file exists.
func createFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if _, err = f.Write(data); err != nil {
		return errors.Join(fmt.Errorf("%w: %w", ErrRefused, err), f.Close())
	}
	return f.Close()
}

// privateKeyPEMType is the PEM type of an approver's private key, in PKCS #8.
const privateKeyPEMType = "PRIVATE KEY"

// readKey reads an approver's private key.
func readKey(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != privateKeyPEMType {
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
