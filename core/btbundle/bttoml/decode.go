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

// maxPasses bounds how many wrong values one Decode reports.
const maxPasses = 200

// Decode decodes the document into the struct that into points to. It returns
// the positions of the keys and all problems of syntax, unknown keys and single
// values. Further checks of into make sense only if Problems.OnlyUnknownKeys.
func Decode(document []byte, into any) (*Positions, Problems) {
	positions, problems := locate(document)
	if len(problems) > 0 {
		return positions, problems
	}
	d := decoder{
		text:      slices.Clip(bytes.Clone(document)),
		docType:   reflect.TypeOf(into).Elem(),
		positions: positions,
		problems:  slices.Clone(positions.problems),
		reported:  map[Problem]bool{},
	}
	for range maxPasses {
		if !d.decodePass(into) {
			break
		}
	}
	d.checkTexts("", reflect.ValueOf(into).Elem())
	return positions, d.problems
}

// OnlyUnknownKeys reports whether all problems are unknown keys, so that the
// decoded values are valid.
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

// decoder decodes a document in passes, each without the wrong value that the
// pass before it found.
type decoder struct {
	text      []byte
	docType   reflect.Type
	positions *Positions
	problems  Problems
	reported  map[Problem]bool
}

// decodePass decodes once and reports whether another pass can find more.
func (d *decoder) decodePass(into any) bool {
	reader := toml.NewDecoder(bytes.NewReader(d.text)).DisallowUnknownFields()
	err := reader.Decode(into)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		for i := range unknown.Errors {
			d.addUnknownKey(&unknown.Errors[i])
		}
		return false
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return d.addWrongValue(decodeErr)
	}
	if err != nil {
		return d.addUnlocated(err)
	}
	return false
}

// addUnlocated adds a problem for a wrong value whose position the library
// doesn't report. It finds the shortest prefix of the document that ends with a
// key and fails to decode too; the value of that key is the wrong one.
func (d *decoder) addUnlocated(err error) bool {
	keys := slices.DeleteFunc(slices.Clone(d.positions.nodes), func(n node) bool { return n.nested || n.header })
	first := sort.Search(len(keys), func(i int) bool { return !d.prefixDecodes(keys[i].end) })
	if first == len(keys) {
		d.addProblem(Problem{Text: err.Error()})
		return false
	}
	n := keys[first]
	d.addProblem(Problem{Line: d.positions.lineAt(n.start), Key: n.path, Text: userMessage(err.Error())})
	return d.blank(n)
}

// prefixDecodes reports whether the first length bytes of the document decode,
// unknown keys aside.
func (d *decoder) prefixDecodes(length int) bool {
	scratch := reflect.New(d.docType).Interface()
	err := toml.NewDecoder(bytes.NewReader(d.text[:length])).Decode(scratch)
	return err == nil
}

func (d *decoder) addUnknownKey(err *toml.DecodeError) {
	line, column := err.Position()
	problem := Problem{Line: line, Key: strings.Join(err.Key(), "."), Text: unknownKey}
	if n, ok := d.positions.nodeAt(d.positions.offsetOf(line, column)); ok {
		problem.Key = n.path
	}
	d.addProblem(problem)
}

// addWrongValue adds a problem for a value that doesn't fit its field and
// blanks the value.
func (d *decoder) addWrongValue(err *toml.DecodeError) bool {
	line, column := err.Position()
	problem := Problem{Line: line, Key: strings.Join(err.Key(), "."), Text: userMessage(err.Error())}
	n, ok := d.positions.nodeAt(d.positions.offsetOf(line, column))
	if ok {
		problem.Key = n.path
	}
	d.addProblem(problem)
	if !ok || n.header {
		return false
	}
	return d.blank(n)
}

// typeMismatch matches the library's message for a value of the wrong type. It
// names Go types, which mean nothing to the author of a document.
var typeMismatch = regexp.MustCompile(`^cannot decode TOML (\S+) into`)

// userMessage returns the library's message in terms of the document.
func userMessage(text string) string {
	text = strings.TrimPrefix(text, "toml: ")
	if groups := typeMismatch.FindStringSubmatch(text); groups != nil {
		return "a value of type " + groups[1] + " doesn't fit this key"
	}
	if strings.HasPrefix(text, "parsing time") {
		return "is no time: " + timeFormat
	}
	return text
}

func (d *decoder) addProblem(p Problem) {
	if d.reported[p] || d.foundByLocator(p) {
		return
	}
	d.reported[p] = true
	d.problems = append(d.problems, p)
}

// foundByLocator reports whether the locator has already found this unknown
// key.
func (d *decoder) foundByLocator(p Problem) bool {
	return slices.ContainsFunc(d.positions.problems, func(q Problem) bool {
		return p.Key == q.Key && strings.HasPrefix(q.Text, p.Text)
	})
}

// blank overwrites the node with spaces, and one adjacent comma if the node is
// part of a list. It reports whether there was anything left to overwrite.
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

// Path returns the key of element i of a list, or of the element's field if
// field isn't empty: Path("targets", 2, "address") is "targets[2].address".
func Path(list string, i int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}
