package btload

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChunkBytes is the number of prompt bytes in one prefix chunk.
const ChunkBytes = 256

// MaxChunks is how many chunks of a prompt are hashed. Later chunks hardly affect the
// choice of a target.
const MaxChunks = 64

// EnginePrefixHash returns the prefix hash in an engine's name of a prefix, which is
// the name's first eight bytes.
func EnginePrefixHash(name [32]byte) uint64 { return binary.BigEndian.Uint64(name[:8]) }

// Prefixes returns the hashes of the prompt's prefix chain, shortest first: the i-th
// covers the first (i+1)*ChunkBytes bytes. An incomplete last chunk is not hashed.
func Prefixes(prompt []byte) []uint64 {
	chunks := min(len(prompt)/ChunkBytes, MaxChunks)
	hashes := make([]uint64, chunks)
	var digest xxhash.Digest
	var previous [8]byte
	for i := range hashes {
		digest.Reset()
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(prompt[i*ChunkBytes : (i+1)*ChunkBytes])
		hashes[i] = digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hashes[i])
	}
	return hashes
}
