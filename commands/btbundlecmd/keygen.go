package btbundlecmd

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btbundle"
)

const keygenHelp = `Make an approver's key pair.

The private key goes to a file that only you can read; whoever has it can
approve bundles. The public key is printed for each process's settings.

  bilberrytide bundle keygen --name anna --out anna.key`

type keygenCommand struct {
	printer
	name    string
	outPath string
}

// keygenResult is the output of "keygen --output json".
type keygenResult struct {
	Name  string             `json:"name"`
	Key   btbundle.PublicKey `json:"key"`
	KeyID btbundle.KeyID     `json:"key_id"`
	File  string             `json:"file"`
}

func registerKeygen(bundle *kingpin.CmdClause, out io.Writer) {
	c := &keygenCommand{printer: printer{out: out}}
	command := bundle.Command("keygen", keygenHelp).Action(c.run)
	command.Flag("name", "The approver's name, for settings and logs.").Required().StringVar(&c.name)
	command.Flag("out", "File for the private key, which must not exist.").Required().StringVar(&c.outPath)
	c.addOutputFlag(command)
}

func (c *keygenCommand) run(*kingpin.ParseContext) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	data := pem.EncodeToMemory(&pem.Block{Type: privateKeyPEMType, Bytes: encoded})
	if err := createFile(c.outPath, data, 0o600); err != nil {
		return err
	}
	key := btbundle.PublicKey(public)
	result := keygenResult{Name: c.name, Key: key, KeyID: key.ID(), File: c.outPath}
	return c.print(result, result.write)
}

func (r keygenResult) write(w io.Writer) error {
	text, err := r.Key.MarshalText()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "# private key in %s; key id %s\n[[approvers.keys]]\nname = %q\nkey = %q\n", r.File, r.KeyID, r.Name, text)
	return err
}
