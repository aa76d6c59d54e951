package btstatuscmd

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"bilberrytide/core/btroute"
	"bilberrytide/io/btprocess"
)

// table writes rows with aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, title ...any) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(title...)
	return t
}

func (t *table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, cell)
	}
	fmt.Fprintln(t.w)
}

// flush writes the buffered table. Its error is ignored: the command returns the
// error of its last write, which fails on the same writer.
func (t *table) flush() { _ = t.w.Flush() }

func printSummary(w io.Writer, s btprocess.Status) {
	fmt.Fprintf(w, "%s in %s, up since %s, ready %t, stopping %t, certificate good for %d days\n",
		s.Process, s.DataCentre, s.Started.UTC().Format(time.RFC3339), s.Ready, s.Stopping, s.CertificateDays)
	if s.Bundle.Version == 0 {
		fmt.Fprintln(w, "no bundle in force")
	} else {
		fmt.Fprintf(w, "bundle %d, digest %.12s, approved by %v; this process is %s in it\n",
			s.Bundle.Version, s.Bundle.Digest, s.Bundle.Approvers, s.Bundle.Listing)
	}
	printReaders(w, s.Readers)
}

func printReaders(w io.Writer, r btprocess.Readers) {
	fmt.Fprintf(w, "configuration service: reads it now %t, %d calls of the platform so far", r.Reads, r.Calls)
	if r.Error != "" {
		fmt.Fprintf(w, ", last failure: %s", r.Error)
	}
	fmt.Fprintln(w)
	for _, read := range r.Latest {
		fmt.Fprintf(w, "  read by %s %s ago\n", read.Reader, read.Age.Round(time.Millisecond))
	}
}

func printTargets(w io.Writer, s btprocess.Status) {
	if len(s.Targets) == 0 {
		return
	}
	t := newTable(w, "TARGET", "SERVICE", "STATE", "RUNNING", "WAITING", "STEP", "CACHED", "REPORT")
	for _, target := range s.Targets {
		t.row(target.Target, target.Service, stateOf(target), target.Running, target.Waiting,
			target.StepTime, target.CachedPrefixes, target.ReportAge.Round(time.Millisecond))
	}
	t.flush()
}

// stateOf returns "in_rotation" for a target that gets work, otherwise the reason
// why it gets none.
func stateOf(t btprocess.TargetStatus) string {
	switch {
	case !t.Eligible && t.Cause != "":
		return t.Cause
	case !t.Eligible:
		return "not_heard_of"
	case t.Draining:
		return "draining"
	case t.Ejected != nil:
		return ejectionOf(*t.Ejected)
	}
	return "in_rotation"
}

func ejectionOf(e btroute.Ejected) string {
	return fmt.Sprintf("ejected:%s until %s", e.Cause, e.Until.UTC().Format(time.TimeOnly))
}

func printLimits(w io.Writer, s btprocess.Status) {
	if len(s.Limits) == 0 {
		return
	}
	t := newTable(w, "ACCOUNT", "HOME", "RUNNING", "FIXED SLOTS", "LENT SLOTS", "FIXED TOKENS", "LENT TOKENS")
	for _, v := range s.Limits {
		t.row(v.Account, v.Home, v.Running, v.FixedSlots, v.LentSlots, v.FixedTokens, v.LentTokens)
	}
	t.flush()
}

func printKeyHome(w io.Writer, s btprocess.Status) {
	if s.Home == nil {
		return
	}
	if s.Home.Since.IsZero() {
		fmt.Fprintf(w, "key home: grants nothing, %s\n", s.Home.Reason)
		return
	}
	fmt.Fprintf(w, "key home: epoch %d, leased %t since %s, %d records %s\n",
		s.Home.Epoch, s.Home.Leased, s.Home.Since.UTC().Format(time.RFC3339), s.Home.Records, s.Home.Reason)
}

func printGroup(w io.Writer, s btprocess.Status) {
	if s.Group == nil {
		return
	}
	g := s.Group
	fmt.Fprintf(w, "group %s: rank %d, map %.12s, step %d, held %t, leads %t, skew %.3f\n",
		g.Group, g.Rank, g.Map, g.Step, g.Held, g.Leads, g.Skew)
}

func printCounters(w io.Writer, s btprocess.Status) {
	if len(s.Counters) == 0 {
		return
	}
	t := newTable(w, "COUNTER", "COUNT")
	for _, counter := range s.Counters {
		t.row(counter.Name, counter.Count)
	}
	t.flush()
}

// printDecisions writes one line per decision without aligned columns, because long
// sentences would pad every line to the longest one.
func printDecisions(w io.Writer, s btprocess.Status) {
	for _, d := range s.Decisions {
		fmt.Fprintf(w, "%s  %s  %s: %s; evidence: %s; expected: %s\n",
			d.Time.UTC().Format(time.RFC3339), d.Act, d.Subject, d.Cause, d.Evidence, d.Expected)
	}
}
