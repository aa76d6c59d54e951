// Package btstagescmd adds the command "stages", which shows from log files where the
// time of requests went.
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

// ErrNothing is the error of logs in which no request ends.
var ErrNothing = errors.New("no line tells of a request's end")

const help = `Show where the time of requests went, from entries' log files or standard input.

  bilberrytide stages --span 2s entry-1.log entry-2.log

Prints, for each span of time, how many requests ended in time, late, refused and
failed, and how long in the middle those that were served waited for a broken group, for
a place, for their answer to begin, and in its longest pause; and a bar, in which # stands
for in time, + for late and . for refused or failed. Most entries log one of many served
requests, which counts for all of them; a request that failed and was told so counts as
failed.

Exit codes: 0 shown, 1 no line tells of a request's end, 2 wrong usage.`

// Register adds the command to the application; its result goes to out.
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

// maxLine bounds a line, far above any that the product writes.
const maxLine = 1 << 20

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
		return ErrNothing
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

// read counts the lines of one input. A line that an entry can't have written is named.
func (c *stagesCommand) read(table *btstage.Table, name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
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

// barWidth is how many characters the longest bar has.
const barWidth = 40

func (c *stagesCommand) print(rows []btstage.Row) error {
	most := 1
	for _, r := range rows {
		most = max(most, r.OnTime+r.Late+r.Refused+r.Failed)
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
		fmt.Fprintf(w, "\t%s\n", bar(r, most))
	}
	return w.Flush()
}

// bar draws a row's requests beside the largest row's.
func bar(r btstage.Row, most int) string {
	part := func(count int) int { return count * barWidth / most }
	return strings.Repeat("#", part(r.OnTime)) + strings.Repeat("+", part(r.Late)) + strings.Repeat(".", part(r.Refused+r.Failed))
}
