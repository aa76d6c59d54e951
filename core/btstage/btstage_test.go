package btstage_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btstage"
)

func decode(t *testing.T, text string) btstage.Line {
	t.Helper()
	l, err := btstage.DecodeLine(text)
	assert.NilError(t, err)
	return l
}

func TestDecodeLineErrors(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"no object":       {`started`, btstage.ErrNotRequestEnd},
		"another message": {`{"time":"2026-01-02T03:04:05Z","msg":"request retried"}`, btstage.ErrNotRequestEnd},
		"not JSON":        {`{"msg"`, btstage.ErrMalformed},
		"of another type": {`{"time":"2026-01-02T03:04:05Z","msg":"request served","begin_ms":"5"}`, btstage.ErrMalformed},
		"no time":         {`{"msg":"request served"}`, btstage.ErrMalformed},
		"negative":        {`{"time":"2026-01-02T03:04:05Z","msg":"request served","begin_ms":-1}`, btstage.ErrMalformed},
		"negative sample": {`{"time":"2026-01-02T03:04:05Z","msg":"request served","sample":-1}`, btstage.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := btstage.DecodeLine(c.text)
			assert.ErrorIs(t, err, c.want)
		})
	}
}

// A sampled line counts for its sample, and a line after omitted ones for these as
// well. A failed request that was also refused is one end, and medians use the
// same weights.
func TestTableCountsByWeight(t *testing.T) {
	table := btstage.New(2 * time.Second)
	for _, text := range []string{
		`edge-1 {"time":"2026-01-02T03:04:04.1Z","msg":"request served","request":"a","sample":50,"begin_ms":100}`,
		`{"time":"2026-01-02T03:04:04.2Z","msg":"request served","request":"b","sample":1,"late":true,"place_wait_ms":700,"begin_ms":900}`,
		`{"time":"2026-01-02T03:04:05.9Z","msg":"request failed","request":"c"}`,
		`{"time":"2026-01-02T03:04:06.1Z","msg":"request refused","request":"c"}`,
		`{"time":"2026-01-02T03:04:06.1Z","msg":"request refused","request":"d","group_wait_ms":500,"left_out":4}`,
	} {
		table.Add(decode(t, text))
	}
	at := time.Date(2026, 1, 2, 3, 4, 4, 0, time.UTC)
	first := btstage.Row{From: at, OnTime: 50, Late: 1, Failed: 1}
	first.Median[btstage.TimeToFirstEvent] = 100 * time.Millisecond
	assert.DeepEqual(t, table.Rows(), []btstage.Row{first, {From: at.Add(2 * time.Second), Refused: 5}})
}

func FuzzDecodeLine(f *testing.F) {
	f.Add(`{"time":"2026-01-02T03:04:04.1Z","msg":"request served","sample":50,"begin_ms":100,"late":true}`)
	f.Add(`x {"msg":"request refused"}`)
	f.Fuzz(func(t *testing.T, text string) {
		l, err := btstage.DecodeLine(text)
		if err != nil {
			assert.Assert(t, errors.Is(err, btstage.ErrNotRequestEnd) || errors.Is(err, btstage.ErrMalformed))
			return
		}
		table := btstage.New(time.Second)
		table.Add(l)
		assert.Equal(t, len(table.Rows()), 1)
	})
}
