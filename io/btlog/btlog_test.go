package btlog_test

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btlog"
)

// blockedWriter is an output that nobody reads until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A pipe that nobody reads must not block the requests that log.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	sink := btlog.NewSink(out)
	log := btlog.New(sink, slog.LevelInfo)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100_000 {
			log.Info("request refused", "request", "r-1")
			_, _ = sink.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logging waits for the output")
	}
	assert.Assert(t, sink.Dropped() > 0)
	close(out.release)
	sink.Close(time.Minute)
}

// A message that is logged very often must not suppress other messages.
func TestRateIsLimitedPerMessage(t *testing.T) {
	var out bytes.Buffer
	sink := btlog.NewSink(&out)
	log := btlog.New(sink, slog.LevelInfo).With("process", "p")
	for range 1000 {
		log.Info("often")
	}
	log.Info("once")
	log.Debug("below the level")
	sink.Close(time.Minute)
	kinds := map[string]int{}
	decoder := json.NewDecoder(&out)
	for {
		var line struct {
			Message string `json:"msg"`
			Process string `json:"process"`
		}
		err := decoder.Decode(&line)
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		assert.Equal(t, line.Process, "p")
		kinds[line.Message]++
	}
	assert.Equal(t, kinds["once"], 1)
	assert.Assert(t, kinds["often"] >= 200 && kinds["often"] < 1000, "%d lines", kinds["often"])
	assert.Equal(t, kinds["below the level"], 0)
}

// The next line with a message must tell how many were suppressed before it.
func TestSuppressedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	sink := btlog.NewSink(&out)
	log := btlog.New(sink, slog.LevelInfo)
	for range 1000 {
		log.Info("often")
	}
	time.Sleep(100 * time.Millisecond)
	log.Info("often")
	sink.Close(time.Minute)
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte(`"left_out":`)))
}
