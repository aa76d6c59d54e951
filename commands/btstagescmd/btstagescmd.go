// Package btstagescmd adds the command "stages", which reads entries' log files and
// prints how much time requests spent in each stage.
package btstagescmd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btid"
	"bilberrytide/core/btstage"
)

// ErrNoRequestEnd is the error for logs without a line about the end of a request.
var ErrNoRequestEnd = errors.New("no line tells of a request's end")

const help = `Show where the time of requests went, from entries' log files or standard input.

  bilberrytide stages --span 2s entry-1.log entry-2.log

Prints, for each span of time, how many requests ended in time, late, refused and
failed, and how long in the middle those that were served waited for a broken group, for
a place, for their answer to begin, and in its longest pause; and a bar, in which # stands
for in time, + for late and . for refused or failed. Most entries log one of many served
requests, which counts for all of them; a request that failed and was told so counts as
failed.

Exit codes: 0 shown, 1 no line tells of a request's end, 2 wrong usage.`

// Register adds the command to the application. Its output goes to out.
func Register(app *kingpin.Application, out io.Writer) {
	c := &stagesCommand{out: out}
	command := app.Command("stages", help)
	command.Arg("files", "Log files; standard input where none is named.").StringsVar(&c.files)
	command.Flag("span", "How long each span is.").Default("2s").DurationVar(&c.span)
	command.Flag("service", "Only requests for the service.").StringVar(&c.service)
	command.Action(func(*kingpin.ParseContext) error { return c.run(os.Stdin) })
}

type stagesCommand struct {
	out     io.Writer
	files   []string
	span    time.Duration
	service string
}

// maxLineBytes is the longest log line that is read, far longer than any that the
// product writes.
const maxLineBytes = 1 << 20

func (c *stagesCommand) run(stdin io.Reader) error {
	table := btstage.New(c.span)
	if len(c.files) == 0 {
		if err := c.read(table, "standard input", stdin); err != nil {
			return err
		}
	}
	for _, name := range c.files {
		if err := c.readFile(table, name); err != nil {
			return err
		}
	}
	rows := table.Rows()
	if len(rows) == 0 {
		return ErrNoRequestEnd
	}
	return c.print(rows)
}

func (c *stagesCommand) readFile(table *btstage.Table, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return c.read(table, name, f)
}

// read adds the request ends of one input to the table. The error for a line that an
// entry can't have written contains the input's name and the line number.
func (c *stagesCommand) read(table *btstage.Table, name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		line, err := btstage.DecodeLine(scanner.Text())
		switch {
		case errors.Is(err, btstage.ErrNotRequestEnd):
		case err != nil:
			return fmt.Errorf("%s: line %d: %w", name, number, err)
		case c.service == "" || btid.Service(c.service) == line.Service:
			table.Add(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// barWidth is the length of the longest bar in characters.
const barWidth = 40

func (c *stagesCommand) print(rows []btstage.Row) error {
	largest := 1
	for _, r := range rows {
		largest = max(largest, r.OnTime+r.Late+r.Refused+r.Failed)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "time\tin_time\tlate\trefused\tfailed")
	for s := range btstage.NumStages {
		fmt.Fprintf(w, "\t%s_ms", s)
	}
	fmt.Fprintln(w, "\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d", r.From.UTC().Format("15:04:05.000"), r.OnTime, r.Late, r.Refused, r.Failed)
		for _, took := range r.Median {
			fmt.Fprintf(w, "\t%d", took.Milliseconds())
		}
		fmt.Fprintf(w, "\t%s\n", bar(r, largest))
	}
	return w.Flush()
}

// bar returns a bar of the row's requests, scaled so that the row with the most
// requests (largest) has barWidth characters.
func bar(r btstage.Row, largest int) string {
	width := func(count int) int { return count * barWidth / largest }
	return strings.Repeat("#", width(r.OnTime)) + strings.Repeat("+", width(r.Late)) + strings.Repeat(".", width(r.Refused+r.Failed))
}
