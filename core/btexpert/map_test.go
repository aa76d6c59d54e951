package btexpert_test

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btexpert"
)

var smallShape = btexpert.Shape{Ranks: 2, Layers: 1, Experts: 3, Slots: 2, ExpertBytes: 10}

func mapOf(ranks ...[]btexpert.Expert) btexpert.Map {
	return btexpert.Map{Shape: smallShape, Layers: []btexpert.Layer{{Ranks: ranks}}}
}

func TestMapValidate(t *testing.T) {
	type list = []btexpert.Expert
	for _, c := range []struct {
		name string
		m    btexpert.Map
		want string
	}{
		{"good", mapOf(list{0, 1}, list{1, 2}), ""},
		{"no replica", mapOf(list{0, 1}, list{1}), "layer 0: expert 2 has no replica"},
		{"too many", mapOf(list{0, 1, 2}, list{1}), "layer 0: rank 0: 3 experts in 2 slots"},
		{"unknown", mapOf(list{0, 3}, list{1, 2}), "layer 0: rank 0: unknown expert 3 of 3"},
		{"doubled", mapOf(list{0, 0}, list{1, 2}), "layer 0: rank 0: expert 0 doubled or out of order"},
		{"unknown rank", mapOf(list{0, 1}, list{1, 2}, list{0}), "layer 0: 3 ranks, want 2"},
		{"no layer", btexpert.Map{Shape: smallShape}, "0 layers, want 1"},
		{"no shape", btexpert.Map{}, "ranks = 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.m.Validate()
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestShapeOfRejectsTooFewSlots(t *testing.T) {
	g := group(shape16)
	g.SlotsPerRank = 3
	_, err := btexpert.ShapeOf(g)
	assert.ErrorIs(t, err, btexpert.ErrShape)
	assert.ErrorContains(t, err, `group "assistant": impossible group shape: 64 experts don't fit 16 ranks with 3 slots each`)
}

// Processes of different releases exchange digests, so the value for a map must
// never change.
func TestDigestIsStable(t *testing.T) {
	m := mapOf([]btexpert.Expert{0, 1}, []btexpert.Expert{1, 2})
	assert.Equal(t, m.Digest().String(), "196f7ae68d3edec47d5f0762495c72da354848071b5e300c312cb4caa4a11dd1")
	assert.Assert(t, m.Digest() != mapOf([]btexpert.Expert{1, 2}, []btexpert.Expert{0, 1}).Digest())
}

func TestMapCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShape(t)
		m := btexpert.Uniform(s)
		assert.NilError(t, m.Validate())
		var fromCBOR, fromJSON btexpert.Map
		data, err := cbor.Marshal(m)
		assert.NilError(t, err)
		assert.NilError(t, cbor.Unmarshal(data, &fromCBOR))
		data, err = json.Marshal(m)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(data, &fromJSON))
		assert.Equal(t, fromCBOR.Digest(), m.Digest())
		assert.Equal(t, fromJSON.Digest(), m.Digest())
	})
}

func TestDiffListsTransfersOnly(t *testing.T) {
	from := mapOf([]btexpert.Expert{0, 1}, []btexpert.Expert{1, 2})
	to := mapOf([]btexpert.Expert{0, 2}, []btexpert.Expert{1})
	moves := btexpert.Diff(from, to)
	assert.DeepEqual(t, moves, btexpert.Moves{{Layer: 0, Rank: 0, Expert: 2}})
	assert.Equal(t, moves.Bytes(smallShape), int64(10))
	assert.Equal(t, len(moves.ForRank(1)), 0)
	assert.Equal(t, to.Fits(smallShape), nil)
	assert.ErrorIs(t, to.Fits(shape16), btexpert.ErrMap)
}

func TestShapeOfBundleGroup(t *testing.T) {
	s, err := btexpert.ShapeOf(group(shape16))
	assert.NilError(t, err)
	assert.Equal(t, s, shape16)
	_, err = btexpert.ShapeOf(btbundle.Group{Name: "empty"})
	assert.ErrorIs(t, err, btexpert.ErrShape)
}
