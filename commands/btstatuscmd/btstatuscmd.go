// Package btstatuscmd adds the command "status", which shows how processes are
// and why they did what they did.
package btstatuscmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/io/btprocess"
)

// ErrUnreachable is wrapped by the error of a process that gave no status.
var ErrUnreachable = errors.New("no status")

const help = `Show how processes are: bundle in force, targets, refusals and their reasons.

  bilberrytide status 127.0.0.1:19001
  bilberrytide status --why 127.0.0.1:19001 127.0.0.1:19002
  bilberrytide status --output json 127.0.0.1:19001

The addresses are those of the processes' status.listen settings.

Exit codes: 0 all processes answered, 1 one didn't, 2 wrong usage.`

const (
	outputText = "text"
	outputJSON = "json"
	// callWait bounds the wait for one process.
	callWait = 5 * time.Second
	// statusBytes is the longest status page read.
	statusBytes = 16 << 20
)

// Register adds the command to the application; it writes to out.
func Register(app *kingpin.Application, out io.Writer) {
	c := &statusCommand{out: out, client: &http.Client{Timeout: callWait}}
	command := app.Command("status", help)
	command.Arg("address", "Where a process serves its status.").Required().StringsVar(&c.addresses)
	command.Flag("why", "Show the last decisions and their causes.").BoolVar(&c.why)
	command.Flag("output", "Output format: text or json.").Default(outputText).EnumVar(&c.format, outputText, outputJSON)
	command.Action(c.run)
}

type statusCommand struct {
	out       io.Writer
	client    *http.Client
	addresses []string
	why       bool
	format    string
}

func (c *statusCommand) run(*kingpin.ParseContext) error {
	var failures []error
	for _, address := range c.addresses {
		status, err := c.read(address)
		if err != nil {
			failures = append(failures, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err))
			continue
		}
		if err := c.print(status); err != nil {
			return err
		}
	}
	return errors.Join(failures...)
}

func (c *statusCommand) read(address string) (btprocess.Status, error) {
	var status btprocess.Status
	response, err := c.client.Get("http://" + address + "/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("answer %s", response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, statusBytes)).Decode(&status)
	return status, err
}

func (c *statusCommand) print(s btprocess.Status) error {
	if c.format == outputJSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tin %s\tup since %s\tready %t\tstopping %t\n", s.Process, s.DataCentre, s.Started.UTC().Format(time.RFC3339), s.Ready, s.Stopping)
	fmt.Fprintf(w, "bundle %d\t%s\tapproved by %v\n", s.Bundle.Version, s.Bundle.Digest, s.Bundle.Approvers)
	printTargets(w, s)
	printHome(w, s)
	printGroup(w, s)
	for _, counter := range s.Counters {
		fmt.Fprintf(w, "%s\t%d\n", counter.Name, counter.Count)
	}
	if c.why {
		printDecisions(w, s)
	}
	fmt.Fprintln(w)
	return w.Flush()
}

func printTargets(w io.Writer, s btprocess.Status) {
	if len(s.Targets) == 0 {
		return
	}
	fmt.Fprintln(w, "TARGET\tSERVICE\tELIGIBLE\tRUNNING\tWAITING\tCAUSE")
	for _, t := range s.Targets {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%s\n", t.Target, t.Service, t.Eligible, t.Running, t.Waiting, t.Cause)
	}
}

func printHome(w io.Writer, s btprocess.Status) {
	if s.Home == nil {
		return
	}
	fmt.Fprintf(w, "key home\tepoch %d\tleased %t\tsince %s\trecords %d\t%s\n",
		s.Home.Epoch, s.Home.Leased, s.Home.Since.UTC().Format(time.RFC3339), s.Home.Records, s.Home.Reason)
}

func printGroup(w io.Writer, s btprocess.Status) {
	if s.Group == nil {
		return
	}
	g := s.Group
	fmt.Fprintf(w, "group %s\trank %d\tmap %.12s\tstep %d\theld %t\tleads %t\tskew %.3f\n",
		g.Group, g.Rank, g.Map, g.Step, g.Held, g.Leads, g.Skew)
}

func printDecisions(w io.Writer, s btprocess.Status) {
	fmt.Fprintln(w, "TIME\tACT\tSUBJECT\tCAUSE\tEVIDENCE\tEXPECTED")
	for _, d := range s.Decisions {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", d.Time.UTC().Format(time.RFC3339), d.Act, d.Subject, d.Cause, d.Evidence, d.Expected)
	}
}
