// Package btwhycmd adds the command "why", which prints the log lines about one
// request and the lines before them about its target and service.
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

// ErrNotFound is wrapped by the error for a request that no log line names.
var ErrNotFound = errors.New("no line names the request")

const help = `Show what happened to a request, from log files or standard input.

  bilberrytide why 9c41d07be2a35f68 entry-1.log entry-2.log

A request's fingerprint, as in lines of requests that were at a target when it ended,
finds it under all identifiers under which it came.

Prints each line that names the request, and each line about a target or service
that those lines name within the context before them, in the order of the files.
The clocks of processes differ, so that only lines of one process are compared.

Exit codes: 0 found, 1 no line names the request, 2 wrong usage.`

// Register adds the command to the application. Its output goes to out.
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

// line holds the fields of a log line by which lines are selected, and its text.
type line struct {
	Message string `json:"msg"`
	Process string `json:"process"`
	Request string `json:"request"`
	// Fingerprint is the same for every attempt of one request.
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

// search prints the lines about the request, each after its context lines.
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
			for _, before := range c.contextLines(lines[:i], l) {
				fmt.Fprintln(c.out, "   ", before.text)
			}
			fmt.Fprintln(c.out, l.text)
		}
	}
	if !found {
		return fmt.Errorf("%w: %s", ErrNotFound, c.request)
	}
	return nil
}

// contextLines returns, in order, the earlier lines of the same process about the
// line's target or service that belong to no request. It looks back over at most
// c.context lines of the process, and no further than the request's previous line.
func (c *whyCommand) contextLines(lines []line, of line) []line {
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

// maxLineBytes is the longest log line that is read, far longer than any that the
// product writes.
const maxLineBytes = 1 << 20

// read decodes the JSON lines. Text before the object, such as a log collector's
// prefix, is skipped, and so are lines without valid JSON.
func read(r io.Reader) ([]line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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
