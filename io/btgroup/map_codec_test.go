package btgroup_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btexpert"
	"bilberrytide/io/btgroup"
)

func ExampleEncodeMap() {
	shape := btexpert.Shape{Ranks: 2, Layers: 1, Experts: 3, Slots: 2, ExpertBytes: 1}
	fmt.Println(string(btgroup.EncodeMap(btexpert.Uniform(shape))))
	// Output: {"layers":[[[0,2],[0,1]]]}
}

// TestMapCodecRoundTrip guards against a map that changes when it is encoded and decoded.
func TestMapCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := btexpert.Shape{
			Ranks:       rapid.IntRange(1, 6).Draw(t, "ranks"),
			Layers:      rapid.IntRange(1, 3).Draw(t, "layers"),
			ExpertBytes: 1,
		}
		s.Slots = rapid.IntRange(1, 5).Draw(t, "slots")
		s.Experts = rapid.IntRange(s.Slots, s.Ranks*s.Slots).Draw(t, "experts")
		m := btexpert.Uniform(s)
		got, err := btgroup.DecodeMap(s, btgroup.EncodeMap(m))
		assert.NilError(t, err)
		assert.Equal(t, got.Digest(), m.Digest())
	})
}

// TestUnusableMapsAreRefused guards against encoded maps that are malformed, don't fit
// the group's shape or lack an expert.
func TestUnusableMapsAreRefused(t *testing.T) {
	shape := btexpert.Shape{Ranks: 2, Layers: 1, Experts: 4, Slots: 2, ExpertBytes: 1}
	for _, text := range []string{
		``, `null`, `{}`, `[]`, `{"layers":[]}`, `{"layers":[null]}`, `{"layers":[[[0,1],[2]]]}`,
		`{"layers":[[[0,1],[2,3]],[[0,1],[2,3]]]}`, `{"layers":[[[0,1],[2,-3]]]}`, `{"layers":[[[0,1],[2,4]]]}`,
		`{"layers":[[[0,1,2],[2,3]]]}`, `{"layers":[[[0,0],[1,2]]]}`, `{"layers":[[[0,1],[2,70000]]]}`,
	} {
		_, err := btgroup.DecodeMap(shape, []byte(text))
		assert.ErrorIs(t, err, btgroup.ErrMap, text)
	}
}
