// Package btstage breaks the time of requests down into stages, by the log lines
// of entries: the wait for a group, the wait for a place, the time to the first
// event and the longest pause between events.
package btstage

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bilberrytide/core/btid"
)

// Stage is a part of a request's time at an entry.
type Stage int

// The stages, in the order in which a request passes them.
const (
	// GroupWait is the wait for a broken group, PlaceWait the wait for a place.
	GroupWait Stage = iota
	PlaceWait
	// TimeToFirstEvent is from the place to the first event. It includes the
	// network, the target's queue and the processing of the prompt.
	TimeToFirstEvent
	// LongestPause is the longest time between two events.
	LongestPause
	// NumStages is the number of stages.
	NumStages
)

// String returns the stage's name in tables.
func (s Stage) String() string {
	return [NumStages]string{"group_wait", "place_wait", "begin", "longest_pause"}[s]
}

// Line has the fields used of a log line about the end of a request.
type Line struct {
	Time    time.Time    `json:"time"`
	Message string       `json:"msg"`
	Service btid.Service `json:"service"`
	Request string       `json:"request"`
	// Sample is the number of requests of the same kind that a sampled line stands
	// for; zero means one.
	Sample int  `json:"sample"`
	Late   bool `json:"late"`
	// Omitted is the number of lines with the same message that were left out
	// before this one.
	Omitted int `json:"left_out"`

	GroupWaitMillis        int64 `json:"group_wait_ms"`
	PlaceWaitMillis        int64 `json:"place_wait_ms"`
	TimeToFirstEventMillis int64 `json:"begin_ms"`
	LongestPauseMillis     int64 `json:"longest_pause_ms"`
}

// Errors of lines that are skipped.
var (
	// ErrNotRequestEnd is the error of a line that is not about the end of a
	// request.
	ErrNotRequestEnd = errors.New("not the end of a request")
	// ErrMalformed is the error of a line that can't be parsed or has invalid
	// fields.
	ErrMalformed = errors.New("malformed line")
)

// endMessages are the messages of lines that are counted. A failed request whose
// caller got an answer has two lines, "request failed" and "request refused", which
// count as one end.
var endMessages = []string{served, failed, refused}

const (
	served  = "request served"
	failed  = "request failed"
	refused = "request refused"
)

// DecodeLine decodes and validates a line. It skips any prefix before the JSON
// object, such as a log collector's. Every error wraps ErrNotRequestEnd or
// ErrMalformed.
func DecodeLine(text string) (Line, error) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, ErrNotRequestEnd
	}
	var l Line
	if err := json.Unmarshal([]byte(text[start:]), &l); err != nil {
		return Line{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !slices.Contains(endMessages, l.Message) {
		return Line{}, ErrNotRequestEnd
	}
	return l, l.validate()
}

// validate returns an error for a line that no entry writes.
func (l *Line) validate() error {
	if l.Time.IsZero() {
		return fmt.Errorf("%w: no time", ErrMalformed)
	}
	if l.Sample < 0 || l.Omitted < 0 {
		return fmt.Errorf("%w: sample %d, %d left out", ErrMalformed, l.Sample, l.Omitted)
	}
	for s, millis := range l.millis() {
		if millis < 0 {
			return fmt.Errorf("%w: %s of %d ms", ErrMalformed, Stage(s), millis)
		}
	}
	return nil
}

func (l *Line) millis() [NumStages]int64 {
	return [NumStages]int64{l.GroupWaitMillis, l.PlaceWaitMillis, l.TimeToFirstEventMillis, l.LongestPauseMillis}
}

// weight returns the number of requests that the line stands for, including those
// of omitted lines.
func (l *Line) weight() int { return max(l.Sample, 1) * (1 + l.Omitted) }

// Row sums up the requests that ended within one interval.
type Row struct {
	// From is the start of the interval.
	From time.Time
	// OnTime, Late, Refused and Failed are numbers of requests. A line counts with
	// the number of requests that it stands for.
	OnTime, Late, Refused, Failed int
	// Median is the median duration of each stage of the served requests.
	Median [NumStages]time.Duration
}

// Table sums up requests by intervals of equal length.
type Table struct {
	interval       time.Duration
	rows           map[time.Time]*rowBuilder
	failedRequests map[string]time.Time
}

// rowBuilder collects the values of a row.
type rowBuilder struct {
	Row
	durations [NumStages][]weightedMillis
}

type weightedMillis struct {
	millis int64
	weight int
}

// New returns an empty table with intervals of the given length, at least a
// millisecond.
func New(interval time.Duration) *Table {
	return &Table{interval: max(interval, time.Millisecond), rows: make(map[time.Time]*rowBuilder), failedRequests: make(map[string]time.Time)}
}

// Add counts a line. A request whose failure was counted isn't counted again as
// refused.
func (t *Table) Add(l Line) {
	from := l.Time.Truncate(t.interval)
	row, found := t.rows[from]
	if !found {
		row = &rowBuilder{Row: Row{From: from}}
		t.rows[from] = row
	}
	switch l.Message {
	case refused:
		if _, counted := t.failedRequests[l.Request]; !counted {
			row.Refused += l.weight()
		}
	case failed:
		t.failedRequests[l.Request] = l.Time
		row.Failed += l.weight()
	case served:
		row.addServed(l)
	}
}

func (c *rowBuilder) addServed(l Line) {
	if l.Late {
		c.Late += l.weight()
	} else {
		c.OnTime += l.weight()
	}
	for s, millis := range l.millis() {
		c.durations[s] = append(c.durations[s], weightedMillis{millis: millis, weight: l.weight()})
	}
}

// Rows returns the intervals in which any request ended, earliest first.
func (t *Table) Rows() []Row {
	var rows []Row
	for _, c := range t.rows {
		for s := range c.durations {
			c.Median[s] = median(c.durations[s])
		}
		rows = append(rows, c.Row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return a.From.Compare(b.From) })
	return rows
}

// median returns the weighted median, zero for an empty list.
func median(list []weightedMillis) time.Duration {
	slices.SortFunc(list, func(a, b weightedMillis) int { return int(a.millis - b.millis) })
	total := 0
	for _, w := range list {
		total += w.weight
	}
	seen := 0
	for _, w := range list {
		seen += w.weight
		if 2*seen >= total {
			return time.Duration(w.millis) * time.Millisecond
		}
	}
	return 0
}
