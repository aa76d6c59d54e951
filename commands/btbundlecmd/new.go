package btbundlecmd

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btbundle/btdraft"
)

const newHelp = `Make the next version of a bundle.

Stamps version, parent and time into a draft, which is the edited text, and
keeps the key homes' epochs: where a home is gone, a new epoch is appended;
epochs past their memory are left out. Homes on hosts that the draft adds to
destroyed_hosts are named in destroyed_targets. Everything else stays as written.

  bilberrytide bundle new --from inforce.toml --draft edited.toml --out next.toml
  bilberrytide bundle new --draft first.toml --out version1.toml`

type newCommand struct {
	out     io.Writer
	from    string
	draft   string
	outPath string
}

func registerNew(bundle *kingpin.CmdClause, out io.Writer) {
	c := &newCommand{out: out}
	command := bundle.Command("new", newHelp).Action(c.run)
	command.Flag("from", "The bundle in force, signed or not; none for a first version.").StringVar(&c.from)
	command.Flag("draft", "The edited text; the bundle in force itself where none is given.").StringVar(&c.draft)
	command.Flag("out", "File to write, which must not exist.").Required().StringVar(&c.outPath)
	command.Validate(func(*kingpin.CmdClause) error {
		if c.from == "" && c.draft == "" {
			return errors.New("give --from, --draft or both")
		}
		return nil
	})
}

func (c *newCommand) run(*kingpin.ParseContext) error {
	parent, draft, err := c.read()
	if err != nil {
		return err
	}
	next, err := btdraft.Next(parent, draft, time.Now())
	if err != nil {
		return refusedError(c.sourcePath(), err)
	}
	if err := createFile(c.outPath, next, 0o644); err != nil {
		return err
	}
	b, err := btbundle.Decode(next)
	if err != nil {
		return refusedError(c.outPath, err)
	}
	_, err = fmt.Fprintf(c.out, "%s: version %d, digest %s\n", c.outPath, b.Version, btbundle.DigestOf(next))
	return err
}

// sourcePath returns the file from which the text of the new version is read.
func (c *newCommand) sourcePath() string {
	if c.draft != "" {
		return c.draft
	}
	return c.from
}

// read returns the documents of the parent and of the draft. The parent is nil for a
// first version; without a draft the parent's document is the draft.
func (c *newCommand) read() (parent, draft []byte, err error) {
	if c.from != "" {
		signed, _, err := readBundle(c.from)
		if err != nil {
			return nil, nil, err
		}
		parent = signed.Document
	}
	if c.draft == "" {
		return parent, parent, nil
	}
	text, err := os.ReadFile(c.draft)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	signed, err := btbundle.ParseSigned(text)
	if err != nil {
		return nil, nil, refusedError(c.draft, err)
	}
	return parent, signed.Document, nil
}
