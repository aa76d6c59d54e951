// Package btkeyscmd adds the commands "keys ca", "keys issue" and "keys show", with
// which an operator creates and inspects certificates on their own computer.
package btkeyscmd

import (
	"crypto/x509"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/io/btkeys"
)

const day = 24 * time.Hour

// Register adds the commands to the application. Their output goes to out.
func Register(app *kingpin.Application, out io.Writer) {
	keys := app.Command("keys", "Make and show the certificates of processes.")
	registerAuthority(keys, out)
	registerIssue(keys, out)
	registerShow(keys, out)
}

type authorityCommand struct {
	out      io.Writer
	name     string
	folder   string
	validity time.Duration
}

func registerAuthority(keys *kingpin.CmdClause, out io.Writer) {
	c := &authorityCommand{out: out}
	command := keys.Command("ca", "Make the fleet's certificate authority: ca.pem, and ca.key which stays at your desk.").Action(c.run)
	command.Flag("name", "Name of the authority.").Default("bilberrytide").StringVar(&c.name)
	command.Flag("out", "Folder to write to.").Required().StringVar(&c.folder)
	command.Flag("validity", "How long it is valid.").
		Default(btkeys.DefaultAuthorityValidity.String()).DurationVar(&c.validity)
}

func (c *authorityCommand) run(*kingpin.ParseContext) error {
	authority, err := btkeys.NewAuthority(c.name, time.Now(), c.validity)
	if err != nil {
		return err
	}
	certificate, key, err := authority.Write(c.folder)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "certificate %s\nkey %s (keep it at your desk)\n", certificate, key)
	return err
}

type issueCommand struct {
	out         io.Writer
	role        string
	name        string
	certificate string
	key         string
	folder      string
	validity    time.Duration
}

func registerIssue(keys *kingpin.CmdClause, out io.Writer) {
	c := &issueCommand{out: out}
	command := keys.Command("issue", "Issue one process's certificate and key, replacing earlier ones.").Action(c.run)
	command.Flag("role", "Role of the process.").Required().
		EnumVar(&c.role, string(btkeys.Entry), string(btkeys.Agent))
	command.Flag("name", "Name of the entry, or of the agent's target.").Required().StringVar(&c.name)
	command.Flag("ca-cert", "Certificate of the authority.").Required().StringVar(&c.certificate)
	command.Flag("ca-key", "Key of the authority.").Required().StringVar(&c.key)
	command.Flag("out", "Folder to write to.").Required().StringVar(&c.folder)
	command.Flag("validity", "How long the certificate is valid.").
		Default(btkeys.DefaultValidity.String()).DurationVar(&c.validity)
}

func (c *issueCommand) run(*kingpin.ParseContext) error {
	authority, err := btkeys.LoadAuthority(c.certificate, c.key)
	if err != nil {
		return err
	}
	id := btkeys.Identity{Role: btkeys.Role(c.role), Name: c.name}
	issued, err := authority.Issue(id, time.Now(), c.validity)
	if err != nil {
		return err
	}
	files, err := issued.Write(c.folder)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "identity %s\ncertificate %s\nkey %s\nauthority %s\n",
		id, files.Certificate, files.Key, files.Authority)
	return err
}

type showCommand struct {
	out   io.Writer
	files []string
}

func registerShow(keys *kingpin.CmdClause, out io.Writer) {
	c := &showCommand{out: out}
	command := keys.Command("show", "Show whom certificates are for and how long they are valid.").Action(c.run)
	command.Arg("file", "Certificate files.").Required().ExistingFilesVar(&c.files)
}

func (c *showCommand) run(*kingpin.ParseContext) error {
	for _, name := range c.files {
		certificate, err := btkeys.ReadCertificate(name)
		if err != nil {
			return err
		}
		left := time.Until(certificate.NotAfter)
		_, err = fmt.Fprintf(c.out, "%s: %s %s, signed by %s, valid %s to %s (%d days left)\n",
			name, certificateKind(certificate), certificate.Subject.CommonName, certificate.Issuer.CommonName,
			certificate.NotBefore.UTC().Format(time.RFC3339), certificate.NotAfter.UTC().Format(time.RFC3339),
			int(left/day))
		if err != nil {
			return err
		}
	}
	return nil
}

func certificateKind(c *x509.Certificate) string {
	if c.IsCA {
		return "authority"
	}
	return "process"
}
