package bttoml

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Positions knows where each key of a document stands.
type Positions struct {
	lines map[string]int
	nodes []node
	early Problems
	// ends holds the offset of each line end, ascending.
	ends []int
}

// node is a key with its value, an element of an array, or a table's header.
type node struct {
	path       string
	start, end int
	// nested tells that the node stands in an array or an inline table, where
	// commas part it from its neighbours.
	nested bool
	header bool
}

// Line returns the line of the key, or of the nearest table around it where
// the key itself is missing; 0 stands for the whole document.
func (p *Positions) Line(key string) int {
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}

// at returns the smallest node that covers the offset.
func (p *Positions) at(offset int) (node, bool) {
	var found node
	ok := false
	for _, n := range p.nodes {
		covers := n.start <= offset && offset < n.end
		if covers && (!ok || n.end-n.start <= found.end-found.start) {
			found = n
			ok = true
		}
	}
	return found, ok
}

// locator walks a document once and notes where everything stands.
type locator struct {
	parser    unstable.Parser
	positions *Positions
	// counts holds how many tables each array of tables has so far.
	counts map[string]int
	table  string
}

// locate returns the positions of the document's keys. Its problems are those
// that leave the document unreadable.
func locate(data []byte) (*Positions, Problems) {
	positions := &Positions{lines: map[string]int{}, ends: lineEnds(data)}
	l := &locator{positions: positions, counts: map[string]int{}}
	l.parser.Reset(data)
	for l.parser.NextExpression() {
		l.expression(l.parser.Expression())
	}
	err := l.parser.Error()
	if err == nil {
		return l.positions, nil
	}
	problem := Problem{Text: err.Error()}
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		problem.Text = syntax.Message
		problem.Line = positions.lineAt(cap(data) - cap(syntax.Highlight))
	}
	return l.positions, Problems{problem}
}

func lineEnds(data []byte) []int {
	var ends []int
	for i, b := range data {
		if b == '\n' {
			ends = append(ends, i)
		}
	}
	return ends
}

// lineAt returns the line, from 1, of the byte at the offset.
func (p *Positions) lineAt(offset int) int {
	before, _ := slices.BinarySearch(p.ends, offset)
	return before + 1
}

// offset turns a line and a column, both from 1, into an offset.
func (p *Positions) offset(line, column int) int {
	if line < 2 || line-2 >= len(p.ends) {
		return column - 1
	}
	return p.ends[line-2] + column
}

func (l *locator) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		l.table = l.resolve(n, false)
		l.header(n)
	case unstable.ArrayTable:
		l.table = l.resolve(n, true)
		l.header(n)
	case unstable.KeyValue:
		l.keyValue(l.table, n, false)
	}
}

// resolve turns a header's key into a path: a part that is an array of tables
// stands for its last table, and the last part of an array header opens one.
func (l *locator) resolve(n *unstable.Node, opens bool) string {
	path := ""
	keys := n.Key()
	for keys.Next() {
		path = join(path, string(keys.Node().Data))
		if opens && keys.IsLast() {
			l.counts[path]++
		}
		if count := l.counts[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	return path
}

func (l *locator) header(n *unstable.Node) {
	start, end := l.keyRange(n)
	l.add(node{path: l.table, start: start, end: end, header: true})
}

func (l *locator) keyValue(table string, n *unstable.Node, nested bool) {
	path := table
	keys := n.Key()
	for keys.Next() {
		path = join(path, string(keys.Node().Data))
	}
	start, end := l.keyRange(n)
	end = max(end, int(n.Raw.Offset+n.Raw.Length))
	l.add(node{path: path, start: start, end: end, nested: nested})
	l.value(path, n.Value(), start)
}

func (l *locator) value(path string, n *unstable.Node, fallback int) {
	switch n.Kind {
	case unstable.Array:
		l.elements(path, n, fallback)
	case unstable.InlineTable:
		children := n.Children()
		for children.Next() {
			l.keyValue(path, children.Node(), true)
		}
	case unstable.LocalDate, unstable.LocalTime, unstable.LocalDateTime:
		text := "time without an offset: " + timeFormat
		l.positions.early = append(l.positions.early, Problem{Line: l.positions.lineAt(fallback), Key: path, Text: text})
	}
}

func (l *locator) elements(path string, n *unstable.Node, fallback int) {
	children := n.Children()
	for i := 0; children.Next(); {
		child := children.Node()
		if child.Kind == unstable.Comment {
			continue
		}
		element := fmt.Sprintf("%s[%d]", path, i)
		if child.Raw.Length > 0 && child.Kind != unstable.InlineTable && child.Kind != unstable.Array {
			start := int(child.Raw.Offset)
			l.add(node{path: element, start: start, end: start + int(child.Raw.Length), nested: true})
		}
		l.value(element, child, fallback)
		i++
	}
}

// add notes a node, and refuses names that the library would match to a field
// although their case differs.
func (l *locator) add(n node) {
	line := l.positions.lineAt(n.start)
	if _, ok := l.positions.lines[n.path]; !ok {
		l.positions.lines[n.path] = line
	}
	l.positions.nodes = append(l.positions.nodes, n)
	last := n.path[strings.LastIndex(n.path, ".")+1:]
	if last != strings.ToLower(last) {
		problem := Problem{Line: line, Key: n.path, Text: unknownKey + ": keys are written in lower case"}
		l.positions.early = append(l.positions.early, problem)
	}
}

// keyRange returns the first byte of the node's key and the byte after it.
func (l *locator) keyRange(n *unstable.Node) (start, end int) {
	start = -1
	keys := n.Key()
	for keys.Next() {
		raw := keys.Node().Raw
		if start < 0 {
			start = int(raw.Offset)
		}
		end = int(raw.Offset + raw.Length)
	}
	return start, end
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// ValueRange returns the range of the key with its value, as "key = value" stands
// in the document; false where the key is missing.
func (p *Positions) ValueRange(key string) (start, end int, ok bool) {
	for _, n := range p.nodes {
		if n.path == key && !n.header {
			return n.start, n.end, true
		}
	}
	return 0, 0, false
}

// TableRange returns the range from the start of the table's header line to the end
// of its last key, tables within it included where inner is set; false where
// no header opens the table.
func (p *Positions) TableRange(key string, inner bool) (start, end int, ok bool) {
	for _, n := range p.nodes {
		switch {
		case n.path == key && n.header:
			start = p.lineStart(n.start)
			end = max(p.lineEnd(n.end), end)
			ok = true
		case strings.HasPrefix(n.path, key+"."):
			below := n.header || strings.ContainsAny(n.path[len(key)+1:], ".[")
			if inner || !below {
				end = max(p.lineEnd(n.end), end)
			}
		}
	}
	return start, end, ok
}

func (p *Positions) lineStart(offset int) int {
	before, _ := slices.BinarySearch(p.ends, offset)
	if before == 0 {
		return 0
	}
	return p.ends[before-1] + 1
}

// lineEnd returns the offset after the line end that follows the offset.
func (p *Positions) lineEnd(offset int) int {
	before, _ := slices.BinarySearch(p.ends, offset)
	if before == len(p.ends) {
		return offset
	}
	return p.ends[before] + 1
}
