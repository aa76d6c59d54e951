package btpeer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btpeer"
)

const limit = 1 << 16

// allShapes has a field of each type that occurs in messages.
type allShapes struct {
	Name    string            `cbor:"name"`
	Number  uint64            `cbor:"number"`
	Signed  int64             `cbor:"signed"`
	Share   float64           `cbor:"share"`
	Set     bool              `cbor:"set"`
	Data    []byte            `cbor:"data"`
	At      time.Time         `cbor:"at"`
	Wait    time.Duration     `cbor:"wait"`
	Digest  btbundle.Digest   `cbor:"digest"`
	Request *btid.Request     `cbor:"request"`
	Counts  map[string][]int  `cbor:"counts"`
	Nested  map[string]nested `cbor:"nested"`
}

type nested struct {
	Text []string `cbor:"text"`
}

// Validate dereferences the pointer without a check for nil, as a faulty message might.
func (r allShapes) Validate() error { return r.Request.Validate() }

var sample = allShapes{
	Name: "t1", Number: 1 << 63, Signed: -5, Share: 0.25, Set: true, Data: []byte{0, 1},
	At: time.Date(2024, 5, 6, 7, 8, 9, 123456789, time.UTC), Wait: time.Second,
	Digest: btbundle.DigestOf([]byte("x")), Request: &btid.Request{Entry: "e1", Incarnation: 1, Number: 2},
	Counts: map[string][]int{"a": {1, 2}}, Nested: map[string]nested{"b": {Text: []string{"c"}}},
}

// TestFrameRoundTrip guards against a field type that is lost or changed, and against a reader
// that relies on getting a frame in one piece.
func TestFrameRoundTrip(t *testing.T) {
	frame, err := btpeer.EncodeFrame(sample, limit)
	assert.NilError(t, err)
	got, err := btpeer.DecodeFrame[allShapes](iotest.OneByteReader(bytes.NewReader(frame)), limit)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, sample)
}

// TestDecodedMessageSharesNoBuffer guards against a decoded message that changes when the
// pooled buffer it was read into is reused.
func TestDecodedMessageSharesNoBuffer(t *testing.T) {
	for i := range 100 {
		want := bytes.Repeat([]byte{byte(i)}, 100)
		frame, err := btpeer.EncodeFrame(text{Data: want}, limit)
		assert.NilError(t, err)
		got, err := btpeer.DecodeFrame[text](bytes.NewReader(frame), limit)
		assert.NilError(t, err)
		other, err := btpeer.EncodeFrame(text{Data: make([]byte, 100)}, limit)
		assert.NilError(t, err)
		_, err = btpeer.DecodeFrame[text](bytes.NewReader(other), limit)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got.Data, want))
	}
}

// TestRandomTextsRoundTrip guards against texts or data that the codec changes or refuses.
func TestRandomTextsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := text{Text: rapid.String().Draw(t, "text"), Data: rapid.SliceOfN(rapid.Byte(), 1, 5000).Draw(t, "data")}
		frame, err := btpeer.EncodeFrame(want, limit)
		if err != nil {
			t.Fatal(err)
		}
		got, err := btpeer.DecodeFrame[text](bytes.NewReader(frame), limit)
		if err != nil || got.Text != want.Text || !bytes.Equal(got.Data, want.Data) {
			t.Fatalf("%v: got %v, want %v", err, got, want)
		}
	})
}

// TestMalformedFrames guards against malformed frames that are accepted, panic, or are reported
// as the regular end of the stream.
func TestMalformedFrames(t *testing.T) {
	cases := map[string]string{
		"empty":           "\x00\x00\x00\x00",
		"too large":       "\xff\xff\xff\xff",
		"cut header":      "\x00\x00",
		"cut body":        "\x00\x00\x00\x05\xa1",
		"no cbor":         "\x00\x00\x00\x01\xff",
		"two items":       "\x00\x00\x00\x02\xa0\xa0",
		"duplicate keys":  "\x00\x00\x00\x0d\xa2\x64text\x60\x64text\x60",
		"indefinite":      "\x00\x00\x00\x02\xbf\xff",
		"null to pointer": "\x00\x00\x00\x01\xf6",
	}
	for name, data := range cases {
		_, err := btpeer.DecodeFrame[allShapes](bytes.NewReader([]byte(data)), limit)
		assert.ErrorIs(t, err, btpeer.ErrMalformed, name)
	}
	_, err := btpeer.DecodeFrame[text](bytes.NewReader(nil), limit)
	assert.Equal(t, err, io.EOF)
}

// TestCutFrames guards against a message of which only a part was sent that is accepted, or that is
// reported as the regular end of the stream.
func TestCutFrames(t *testing.T) {
	frame, err := btpeer.EncodeFrame(sample, limit)
	assert.NilError(t, err)
	for n := 1; n < len(frame); n++ {
		_, err := btpeer.DecodeFrame[allShapes](bytes.NewReader(frame[:n]), limit)
		assert.ErrorIs(t, err, btpeer.ErrMalformed, "%d of %d bytes", n, len(frame))
	}
}

// FuzzDecode checks that any bytes give a valid message, io.EOF or ErrMalformed, and never
// a panic.
func FuzzDecode(f *testing.F) {
	frame, err := btpeer.EncodeFrame(sample, limit)
	assert.NilError(f, err)
	f.Add(frame)
	f.Add(frame[:len(frame)/2])
	f.Add([]byte("\x00\x00\x00\x01\xf6"))
	f.Add([]byte("\x00\x00\x00\x09\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"))
	f.Add([]byte("\x00\x00\xff\xff\x81\x81\x81\x81"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := btpeer.DecodeFrame[allShapes](bytes.NewReader(data), limit)
		if err != nil {
			if err != io.EOF && !errors.Is(err, btpeer.ErrMalformed) {
				t.Fatalf("error is neither io.EOF nor ErrMalformed: %v", err)
			}
			return
		}
		if err := got.Validate(); err != nil {
			t.Fatalf("invalid message accepted: %v", err)
		}
	})
}
