package bttoml

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Positions holds the line and byte range of each key of a document.
type Positions struct {
	lines    map[string]int
	nodes    []node
	problems Problems
	// lineEnds holds the offset of each newline, ascending.
	lineEnds []int
}

// node is a key with its value, an element of an array, or the header of a
// table.
type node struct {
	path       string
	start, end int
	// nested is set for nodes in an array or an inline table, where commas
	// separate them.
	nested bool
	header bool
}

// Line returns the line of the key, or of the nearest enclosing table if the
// key is missing; 0 stands for the whole document.
func (p *Positions) Line(key string) int {
	for key != "" {
		if line, ok := p.lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}

// nodeAt returns the smallest node that covers the offset.
func (p *Positions) nodeAt(offset int) (node, bool) {
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

// locator walks a document once and records the position of every key.
type locator struct {
	parser    unstable.Parser
	positions *Positions
	// tableCounts holds the number of tables seen so far in each array of
	// tables.
	tableCounts map[string]int
	table       string
}

// locate returns the positions of the document's keys. Its problems are syntax
// errors, which leave the document unreadable.
func locate(data []byte) (*Positions, Problems) {
	positions := &Positions{lines: map[string]int{}, lineEnds: lineEnds(data)}
	l := &locator{positions: positions, tableCounts: map[string]int{}}
	l.parser.Reset(data)
	for l.parser.NextExpression() {
		l.visitExpression(l.parser.Expression())
	}
	err := l.parser.Error()
	if err == nil {
		return l.positions, nil
	}
	problem := Problem{Text: err.Error()}
	var parserErr *unstable.ParserError
	if errors.As(err, &parserErr) {
		problem.Text = parserErr.Message
		problem.Line = positions.lineAt(cap(data) - cap(parserErr.Highlight))
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

// lineAt returns the line, counted from 1, of the byte at the offset.
func (p *Positions) lineAt(offset int) int {
	before, _ := slices.BinarySearch(p.lineEnds, offset)
	return before + 1
}

// offsetOf returns the offset of a line and a column, both counted from 1.
func (p *Positions) offsetOf(line, column int) int {
	if line < 2 || line-2 >= len(p.lineEnds) {
		return column - 1
	}
	return p.lineEnds[line-2] + column
}

func (l *locator) visitExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		l.table = l.tablePath(n, false)
		l.visitHeader(n)
	case unstable.ArrayTable:
		l.table = l.tablePath(n, true)
		l.visitHeader(n)
	case unstable.KeyValue:
		l.visitKeyValue(l.table, n, false)
	}
}

// tablePath returns the path of a header's key. A part that is an array of
// tables stands for its last table; if array is set, the last part opens a new
// table.
func (l *locator) tablePath(n *unstable.Node, array bool) string {
	path := ""
	keys := n.Key()
	for keys.Next() {
		path = join(path, string(keys.Node().Data))
		if array && keys.IsLast() {
			l.tableCounts[path]++
		}
		if count := l.tableCounts[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	return path
}

func (l *locator) visitHeader(n *unstable.Node) {
	start, end := l.keyRange(n)
	l.addNode(node{path: l.table, start: start, end: end, header: true})
}

func (l *locator) visitKeyValue(table string, n *unstable.Node, nested bool) {
	path := table
	keys := n.Key()
	for keys.Next() {
		path = join(path, string(keys.Node().Data))
	}
	start, end := l.keyRange(n)
	end = max(end, int(n.Raw.Offset+n.Raw.Length))
	l.addNode(node{path: path, start: start, end: end, nested: nested})
	l.visitValue(path, n.Value(), start)
}

func (l *locator) visitValue(path string, n *unstable.Node, fallback int) {
	switch n.Kind {
	case unstable.Array:
		l.visitElements(path, n, fallback)
	case unstable.InlineTable:
		children := n.Children()
		for children.Next() {
			l.visitKeyValue(path, children.Node(), true)
		}
	case unstable.LocalDate, unstable.LocalTime, unstable.LocalDateTime:
		text := "time without an offset: " + timeFormat
		l.positions.problems = append(l.positions.problems, Problem{Line: l.positions.lineAt(fallback), Key: path, Text: text})
	}
}

func (l *locator) visitElements(path string, n *unstable.Node, fallback int) {
	children := n.Children()
	for i := 0; children.Next(); {
		child := children.Node()
		if child.Kind == unstable.Comment {
			continue
		}
		element := fmt.Sprintf("%s[%d]", path, i)
		if child.Raw.Length > 0 && child.Kind != unstable.InlineTable && child.Kind != unstable.Array {
			start := int(child.Raw.Offset)
			l.addNode(node{path: element, start: start, end: start + int(child.Raw.Length), nested: true})
		}
		l.visitValue(element, child, fallback)
		i++
	}
}

// addNode records a node. It reports keys that aren't in lower case, which the
// library would match to a field regardless of case.
func (l *locator) addNode(n node) {
	line := l.positions.lineAt(n.start)
	if _, ok := l.positions.lines[n.path]; !ok {
		l.positions.lines[n.path] = line
	}
	l.positions.nodes = append(l.positions.nodes, n)
	last := n.path[strings.LastIndex(n.path, ".")+1:]
	if last != strings.ToLower(last) {
		problem := Problem{Line: line, Key: n.path, Text: unknownKey + ": keys are written in lower case"}
		l.positions.problems = append(l.positions.problems, problem)
	}
}

// keyRange returns the offsets of the first byte of the node's key and of the
// byte after it.
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

// ValueRange returns the range of "key = value" in the document; false if the
// key is missing.
func (p *Positions) ValueRange(key string) (start, end int, ok bool) {
	for _, n := range p.nodes {
		if n.path == key && !n.header {
			return n.start, n.end, true
		}
	}
	return 0, 0, false
}

// TableRange returns the range from the start of the table's header line to the
// end of its last key, including its subtables if subtables is set; false if no
// header opens the table.
func (p *Positions) TableRange(key string, subtables bool) (start, end int, ok bool) {
	for _, n := range p.nodes {
		switch {
		case n.path == key && n.header:
			start = p.lineStart(n.start)
			end = max(p.lineEnd(n.end), end)
			ok = true
		case strings.HasPrefix(n.path, key+"."):
			inSubtable := n.header || strings.ContainsAny(n.path[len(key)+1:], ".[")
			if subtables || !inSubtable {
				end = max(p.lineEnd(n.end), end)
			}
		}
	}
	return start, end, ok
}

func (p *Positions) lineStart(offset int) int {
	before, _ := slices.BinarySearch(p.lineEnds, offset)
	if before == 0 {
		return 0
	}
	return p.lineEnds[before-1] + 1
}

// lineEnd returns the offset after the first newline at or after the offset.
func (p *Positions) lineEnd(offset int) int {
	before, _ := slices.BinarySearch(p.lineEnds, offset)
	if before == len(p.lineEnds) {
		return offset
	}
	return p.lineEnds[before] + 1
}
