package bttoml

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxRounds bounds how many wrong values one decode lists.
const maxRounds = 200

// Decode fills into with the document and returns where its keys stand and
// every problem of syntax, of unknown keys and of single values. Unless
// Problems.UnknownOnly, into isn't fit for further checks. It must point to a
// struct.
func Decode(document []byte, into any) (*Positions, Problems) {
	positions, problems := locate(document)
	if len(problems) > 0 {
		return positions, problems
	}
	d := decoder{
		text:      slices.Clip(bytes.Clone(document)),
		shape:     reflect.TypeOf(into).Elem(),
		positions: positions,
		problems:  slices.Clone(positions.early),
		known:     map[Problem]bool{},
	}
	for range maxRounds {
		if !d.round(into) {
			break
		}
	}
	d.checkNames("", reflect.ValueOf(into).Elem())
	return positions, d.problems
}

// OnlyUnknownKeys tells whether all the problems are unknown keys, so that the
// values which were decoded can be trusted.
func (p Problems) OnlyUnknownKeys() bool {
	for _, problem := range p {
		if !strings.HasPrefix(problem.Text, unknownKey) {
			return false
		}
	}
	return true
}

const (
	unknownKey = "unknown key"
	timeFormat = "write it as 2026-01-31T12:00:00Z"
)

type decoder struct {
	text      []byte
	shape     reflect.Type
	positions *Positions
	problems  Problems
	known     map[Problem]bool
}

// round decodes once and tells whether another round can find more.
func (d *decoder) round(into any) bool {
	reader := toml.NewDecoder(bytes.NewReader(d.text)).DisallowUnknownFields()
	err := reader.Decode(into)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		for i := range unknown.Errors {
			d.unknown(&unknown.Errors[i])
		}
		return false
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		return d.wrong(wrong)
	}
	if err != nil {
		return d.unplaced(err)
	}
	return false
}

// unplaced notes a wrong value whose place the library doesn't tell: the last
// one of the shortest start of the document that can't be decoded either.
func (d *decoder) unplaced(err error) bool {
	keys := slices.DeleteFunc(slices.Clone(d.positions.nodes), func(n node) bool { return n.nested || n.header })
	first := sort.Search(len(keys), func(i int) bool { return !d.fits(keys[i].end) })
	if first == len(keys) {
		d.add(Problem{Text: err.Error()})
		return false
	}
	n := keys[first]
	d.add(Problem{Line: d.positions.lineAt(n.start), Key: n.path, Text: plain(err.Error())})
	return d.blank(n)
}

// fits tells whether the document's start of that length can be decoded, but
// for unknown keys.
func (d *decoder) fits(length int) bool {
	scratch := reflect.New(d.shape).Interface()
	err := toml.NewDecoder(bytes.NewReader(d.text[:length])).Decode(scratch)
	return err == nil
}

func (d *decoder) unknown(err *toml.DecodeError) {
	line, column := err.Position()
	problem := Problem{Line: line, Key: strings.Join(err.Key(), "."), Text: unknownKey}
	if n, ok := d.positions.at(d.positions.offset(line, column)); ok {
		problem.Key = n.path
	}
	d.add(problem)
}

// wrong notes a value that doesn't fit its field and blanks it.
func (d *decoder) wrong(err *toml.DecodeError) bool {
	line, column := err.Position()
	problem := Problem{Line: line, Key: strings.Join(err.Key(), "."), Text: plain(err.Error())}
	n, ok := d.positions.at(d.positions.offset(line, column))
	if ok {
		problem.Key = n.path
	}
	d.add(problem)
	if !ok || n.header {
		return false
	}
	return d.blank(n)
}

// mismatch matches the library's words for a value of the wrong type, which
// name Go types that a document's author doesn't know.
var mismatch = regexp.MustCompile(`^cannot decode TOML (\S+) into`)

func plain(text string) string {
	text = strings.TrimPrefix(text, "toml: ")
	if found := mismatch.FindStringSubmatch(text); found != nil {
		return "a value of type " + found[1] + " doesn't fit this key"
	}
	if strings.HasPrefix(text, "parsing time") {
		return "is no time: " + timeFormat
	}
	return text
}

func (d *decoder) add(p Problem) {
	if d.known[p] || d.noted(p) {
		return
	}
	d.known[p] = true
	d.problems = append(d.problems, p)
}

// noted tells whether the locator already listed an unknown key.
func (d *decoder) noted(p Problem) bool {
	return slices.ContainsFunc(d.positions.early, func(q Problem) bool {
		return p.Key == q.Key && strings.HasPrefix(q.Text, p.Text)
	})
}

// blank overwrites the node with spaces, with one comma beside it where it is
// part of a list. It reports whether anything was left to overwrite.
func (d *decoder) blank(n node) bool {
	if len(bytes.TrimSpace(d.text[n.start:n.end])) == 0 {
		return false
	}
	for i := n.start; i < n.end; i++ {
		if d.text[i] != '\n' && d.text[i] != '\r' {
			d.text[i] = ' '
		}
	}
	if !n.nested {
		return true
	}
	after := n.end + len(d.text[n.end:]) - len(bytes.TrimLeft(d.text[n.end:], " \t\r\n"))
	if after < len(d.text) && d.text[after] == ',' {
		d.text[after] = ' '
		return true
	}
	before := len(bytes.TrimRight(d.text[:n.start], " \t\r\n")) - 1
	if before >= 0 && d.text[before] == ',' {
		d.text[before] = ' '
	}
	return true
}

// Path writes the key of element i of a list, with the field where one is
// named: Path("targets", 2, "address") is "targets[2].address".
func Path(list string, i int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
