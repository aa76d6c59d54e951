package btannounce_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btbundle"
)

func TestFileRoundTrip(t *testing.T) {
	raw := bytes.Repeat([]byte("slots = 8\n"), 500)
	packed := btannounce.Pack(raw)
	assert.NilError(t, packed.Validate())
	assert.DeepEqual(t, packed, btannounce.Pack(raw))
	got, err := packed.Unpack()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, raw)

	none, err := btannounce.Pack(nil).Unpack()
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)
}

// TestUnpackRejectsBadFiles guards against a peer that sends a small file which
// expands beyond the size limit, a truncated file or one that isn't compressed.
func TestUnpackRejectsBadFiles(t *testing.T) {
	var oversized bytes.Buffer
	w := gzip.NewWriter(&oversized)
	_, err := w.Write(make([]byte, btbundle.MaxBytes+1))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	for _, data := range [][]byte{oversized.Bytes(), oversized.Bytes()[:oversized.Len()/2], []byte("plain text")} {
		_, err := btannounce.File{Gzip: data}.Unpack()
		assert.ErrorIs(t, err, btannounce.ErrMessage)
	}
}

func TestAnnouncementValidate(t *testing.T) {
	read := btannounce.Read{Reader: "entry/e1", Age: time.Second}
	assert.NilError(t, btannounce.Announcement{Reads: []btannounce.Read{read}}.Validate())
	for _, reads := range [][]btannounce.Read{
		{{Reader: "", Age: 0}},
		{{Reader: "entry/e1", Age: -1}},
		{read, read, read, read, read},
	} {
		assert.ErrorIs(t, btannounce.Announcement{Reads: reads}.Validate(), btannounce.ErrMessage)
	}
}

func ExamplePack() {
	raw, err := btannounce.Pack([]byte("version = 1\n")).Unpack()
	fmt.Printf("%s%v\n", raw, err)
	// Output:
	// version = 1
	// <nil>
}

// BenchmarkPack measures the compression of a bundle of 830 targets, 380
// entries and 690 client accounts for a fetch.
func BenchmarkPack(b *testing.B) {
	var draft bytes.Buffer
	for i := range 830 {
		fmt.Fprintf(&draft, "[[targets]]\nname = \"assistant-%d\"\nservice = \"assistant-%d\"\nhost = \"gpu-%d\"\ndata_centre = \"dc-%d\"\naddress = \"10.%d.%d.%d:7101\"\nendpoint = \"127.0.0.1:8000\"\nslots = 16\nqueue = 32\n\n", i, i%15, i, i%7, i%7, i/250, i%250)
	}
	for i := range 380 {
		fmt.Fprintf(&draft, "[[entries]]\nname = \"entry-%d\"\nhost = \"edge-%d\"\ndata_centre = \"dc-%d\"\naddress = \"10.%d.%d.%d:7001\"\n\n", i, i, i%7, i%7, 100+i/250, i%250)
	}
	for i := range 690 {
		fmt.Fprintf(&draft, "[[accounts]]\nname = \"account-%d\"\nkey_hashes = [\"%s\"]\nrate = 20.0\nburst = 40\nconcurrency = 10\nweight = 1.0\n\n", i, btbundle.HashKey(fmt.Sprint(i)))
	}
	raw := draft.Bytes()
	b.ReportMetric(float64(len(raw)), "raw_bytes")
	var packed btannounce.File
	for b.Loop() {
		packed = btannounce.Pack(raw)
	}
	b.ReportMetric(float64(len(raw)), "raw_bytes")
	b.ReportMetric(float64(len(packed.Gzip)), "gzip_bytes")
}
