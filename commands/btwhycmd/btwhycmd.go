// Package btwhycmd adds the command "why", which shows what the logs tell of one
// request.
package btwhycmd

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// ErrNothing is the error of a request that no line names.
var ErrNothing = errors.New("no line names the request")

const help = `Show what happened to a request, from log files or standard input.

  bilberrytide why 9c41d07be2a35f68 entry-1.log entry-2.log

A request's fingerprint, as in lines of requests that were at a target when it ended,
finds it under all identifiers under which it came.

Prints each line that names the request, and each line about a target or service
that those lines name within the context before them, in the order of the files.
The clocks of processes differ, so that only lines of one process are compared.

Exit codes: 0 found, 1 no line names the request, 2 wrong usage.`

// Register adds the command to the application; its result goes to out.
func Register(app *kingpin.Application, out io.Writer) {
	c := &whyCommand{out: out}
	command := app.Command("why", help)
	command.Arg("request", "The request's identifier, or its fingerprint.").Required().StringVar(&c.request)
	command.Arg("files", "Log files; standard input where none is named.").StringsVar(&c.files)
	command.Flag("context", "How many lines of context to look back for each process.").Default("200").IntVar(&c.context)
	command.Action(func(*kingpin.ParseContext) error { return c.run(os.Stdin) })
}

type whyCommand struct {
	out     io.Writer
	request string
	files   []string
	context int
}

// line is what is looked at of a log line.
type line struct {
	Message string `json:"msg"`
	Process string `json:"process"`
	Request string `json:"request"`
	// Fingerprint is the same for each try of one request.
	Fingerprint string `json:"fingerprint"`
	Target      string `json:"target"`
	Service     string `json:"service"`
	text        string
}

func (c *whyCommand) run(stdin io.Reader) error {
	if len(c.files) == 0 {
		return c.search([]io.Reader{stdin})
	}
	var readers []io.Reader
	for _, name := range c.files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return c.search(readers)
}

// search prints what the inputs tell of the request.
func (c *whyCommand) search(inputs []io.Reader) error {
	found := false
	for _, r := range inputs {
		lines, err := read(r)
		if err != nil {
			return err
		}
		for i, l := range lines {
			if l.Request != c.request && l.Fingerprint != c.request {
				continue
			}
			found = true
			for _, before := range c.before(lines[:i], l) {
				fmt.Fprintln(c.out, "   ", before.text)
			}
			fmt.Fprintln(c.out, l.text)
		}
	}
	if !found {
		return fmt.Errorf("%w: %s", ErrNothing, c.request)
	}
	return nil
}

// before returns the lines of the same process that tell what it believed of the
// line's target or service: those about no request.
func (c *whyCommand) before(lines []line, of line) []line {
	var list []line
	seen := 0
	for _, l := range slices.Backward(lines) {
		if l.Process != of.Process {
			continue
		}
		seen++
		if seen > c.context || l.Request == of.Request {
			break
		}
		about := of.Target != "" && l.Target == of.Target || of.Service != "" && l.Service == of.Service
		if l.Request == "" && about {
			list = append(list, l)
		}
	}
	slices.Reverse(list)
	return list
}

// maxLine bounds a line, far above any that the product writes.
const maxLine = 1 << 20

// read decodes the lines that are JSON; what stands before the object, such as a
// collector's own prefix, is passed over.
func read(r io.Reader) ([]line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var lines []line
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var l line
		if json.Unmarshal([]byte(text[begin:]), &l) == nil {
			l.text = text[begin:]
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}
