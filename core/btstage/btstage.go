// Package btstage tells from entries' log lines where the time of requests went: waiting
// for a group, waiting for a place, until the answer began, and in its pauses.
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
	// TimeToFirstEvent is from the place to the first event: the way, the target's queue and the
	// reading of the prompt.
	TimeToFirstEvent
	// LongestPause is the longest pause between two events.
	LongestPause
	// NumStages is how many there are.
	NumStages
)

// String is the stage's name in tables.
func (s Stage) String() string {
	return [NumStages]string{"group_wait", "place_wait", "begin", "longest_pause"}[s]
}

// Line is what is read of a log line about a request that has ended.
type Line struct {
	Time    time.Time    `json:"time"`
	Message string       `json:"msg"`
	Service btid.Service `json:"service"`
	Request string       `json:"request"`
	// Sample is how many requests of its kind the line stands for; none means one.
	Sample int  `json:"sample"`
	Late   bool `json:"late"`
	// Omitted is how many lines of the same message are missing before this one.
	Omitted int `json:"left_out"`

	GroupWaitMillis        int64 `json:"group_wait_ms"`
	PlaceWaitMillis        int64 `json:"place_wait_ms"`
	TimeToFirstEventMillis int64 `json:"begin_ms"`
	LongestPauseMillis     int64 `json:"longest_pause_ms"`
}

// Errors of lines that are passed over.
var (
	// ErrNotRequestEnd is the error of a line that is not about the end of a request.
	ErrNotRequestEnd = errors.New("not the end of a request")
	// ErrMalformed is the error of a line that can't be read.
	ErrMalformed = errors.New("malformed line")
)

// ends are the messages of the lines that are counted. A request that failed and was told
// so has two, of which the refusal is the one.
var ends = []string{served, failed, refused}

const (
	served  = "request served"
	failed  = "request failed"
	refused = "request refused"
)

// DecodeLine decodes and checks a line. What stands before its object, such as a
// collector's own prefix, is passed over. Every error wraps
// ErrNotRequestEnd or ErrMalformed.
func DecodeLine(text string) (Line, error) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, ErrNotRequestEnd
	}
	var l Line
	if err := json.Unmarshal([]byte(text[begin:]), &l); err != nil {
		return Line{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !slices.Contains(ends, l.Message) {
		return Line{}, ErrNotRequestEnd
	}
	return l, l.validate()
}

// validate reports a line that no entry writes.
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

// weight is how many requests the line stands for, those of missing lines among them.
func (l *Line) weight() int { return max(l.Sample, 1) * (1 + l.Omitted) }

// Row is what is told of the requests that ended within one span of time.
type Row struct {
	// From is when the span began.
	From time.Time
	// OnTime, Late, Refused and Failed count requests; a line of a sample counts for all
	// that it stands for.
	OnTime, Late, Refused, Failed int
	// Median is what each stage took of those that were served, in the middle.
	Median [NumStages]time.Duration
}

// Table tells of spans of equal length.
type Table struct {
	span  time.Duration
	rows  map[time.Time]*counted
	ended map[string]time.Time
}

// counted is a row in the making.
type counted struct {
	Row
	took [NumStages][]weighted
}

type weighted struct {
	millis int64
	weight int
}

// New returns an empty table of spans of the length, which is at least a millisecond.
func New(span time.Duration) *Table {
	return &Table{span: max(span, time.Millisecond), rows: make(map[time.Time]*counted), ended: make(map[string]time.Time)}
}

// Add counts a line. The refusal of a request whose failure has been counted is the same
// end.
func (t *Table) Add(l Line) {
	from := l.Time.Truncate(t.span)
	row, found := t.rows[from]
	if !found {
		row = &counted{Row: Row{From: from}}
		t.rows[from] = row
	}
	switch l.Message {
	case refused:
		if _, counted := t.ended[l.Request]; !counted {
			row.Refused += l.weight()
		}
	case failed:
		t.ended[l.Request] = l.Time
		row.Failed += l.weight()
	case served:
		row.served(l)
	}
}

func (c *counted) served(l Line) {
	if l.Late {
		c.Late += l.weight()
	} else {
		c.OnTime += l.weight()
	}
	for s, millis := range l.millis() {
		c.took[s] = append(c.took[s], weighted{millis: millis, weight: l.weight()})
	}
}

// Rows returns the spans in which any request ended, the earliest first.
func (t *Table) Rows() []Row {
	var rows []Row
	for _, c := range t.rows {
		for s := range c.took {
			c.Median[s] = median(c.took[s])
		}
		rows = append(rows, c.Row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return a.From.Compare(b.From) })
	return rows
}

// median returns the value at the middle of all weights, zero without any.
func median(list []weighted) time.Duration {
	slices.SortFunc(list, func(a, b weighted) int { return int(a.millis - b.millis) })
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
