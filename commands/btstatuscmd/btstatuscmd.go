// Package btstatuscmd adds the command "status", which prints the state of processes
// and, on request, their last decisions with the causes.
package btstatuscmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/io/btbound"
	"bilberrytide/io/btprocess"
)

// ErrUnreachable is wrapped by the error for a process whose status can't be read.
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
	// requestTimeout limits the request to one process.
	requestTimeout = 5 * time.Second
	// maxStatusBytes limits how much of a status page is read.
	maxStatusBytes = 16 << 20
)

// Register adds the command to the application. Its output goes to out.
func Register(app *kingpin.Application, out io.Writer) {
	c := &statusCommand{out: out, client: &http.Client{Timeout: requestTimeout, Transport: btbound.New(new(http.Transport))}}
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
		status, err := c.fetch(address)
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

func (c *statusCommand) fetch(address string) (btprocess.Status, error) {
	var status btprocess.Status
	response, err := c.client.Get("http://" + address + "/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("answer %s", response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, err
}

func (c *statusCommand) print(s btprocess.Status) error {
	if c.format == outputJSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	printSummary(c.out, s)
	printTargets(c.out, s)
	printLimits(c.out, s)
	printKeyHome(c.out, s)
	printGroup(c.out, s)
	printCounters(c.out, s)
	if c.why {
		printDecisions(c.out, s)
	}
	_, err := fmt.Fprintln(c.out)
	return err
}
