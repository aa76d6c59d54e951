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
	// Begin is from the place to the first event: the way, the target's queue and the
	// reading of the prompt.
	Begin
	// Pause is the longest pause between two events.
	Pause
	// Stages is how many there are.
	Stages
)

// String is the stage's name in tables.
func (s Stage) String() string {
	return [Stages]string{"group_wait", "place_wait", "begin", "longest_pause"}[s]
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
	// LeftOut is how many lines of the same message are missing before this one.
	LeftOut int `json:"left_out"`

	GroupWaitMillis    int64 `json:"group_wait_ms"`
	PlaceWaitMillis    int64 `json:"place_wait_ms"`
	BeginMillis        int64 `json:"begin_ms"`
	LongestPauseMillis int64 `json:"longest_pause_ms"`
}

// Errors of lines that are passed over.
var (
	// ErrOther is the error of a line that is not about the end of a request.
	ErrOther = errors.New("not the end of a request")
	// ErrLine is the error of a line that can't be read.
	ErrLine = errors.New("malformed line")
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
// collector's own prefix, is passed over. Every error wraps ErrOther or ErrLine.
func DecodeLine(text string) (Line, error) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, ErrOther
	}
	var l Line
	if err := json.Unmarshal([]byte(text[begin:]), &l); err != nil {
		return Line{}, fmt.Errorf("%w: %w", ErrLine, err)
	}
	if !slices.Contains(ends, l.Message) {
		return Line{}, ErrOther
	}
	return l, l.validate()
}

// validate reports a line that no entry writes.
func (l *Line) validate() error {
	if l.Time.IsZero() {
		return fmt.Errorf("%w: no time", ErrLine)
	}
	if l.Sample < 0 || l.LeftOut < 0 {
		return fmt.Errorf("%w: sample %d, %d left out", ErrLine, l.Sample, l.LeftOut)
	}
	for s, millis := range l.millis() {
		if millis < 0 {
			return fmt.Errorf("%w: %s of %d ms", ErrLine, Stage(s), millis)
		}
	}
	return nil
}

func (l *Line) millis() [Stages]int64 {
	return [Stages]int64{l.GroupWaitMillis, l.PlaceWaitMillis, l.BeginMillis, l.LongestPauseMillis}
}

// weight is how many requests the line stands for, those of missing lines among them.
func (l *Line) weight() int { return max(l.Sample, 1) * (1 + l.LeftOut) }

// Row is what is told of the requests that ended within one span of time.
type Row struct {
	// From is when the span began.
	From time.Time
	// InTime, Late, Refused and Failed count requests; a line of a sample counts for all
	// that it stands for.
	InTime, Late, Refused, Failed int
	// Median is what each stage took of those that were served, in the middle.
	Median [Stages]time.Duration
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
	took [Stages][]weighted
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
		c.InTime += l.weight()
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
