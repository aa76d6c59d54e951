package btload

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChunkBytes is how many bytes of a prompt one prefix chunk covers.
const ChunkBytes = 256

// MaxChunks is how many chunks of a prompt are hashed; what follows adds little
// to the choice of a target.
const MaxChunks = 64

// EnginePrefixHash returns the hash in an engine's name of a prefix, which is its first
// eight bytes.
func EnginePrefixHash(name [32]byte) uint64 { return binary.BigEndian.Uint64(name[:8]) }

// Prefixes returns the hashes of a prompt's chunk chain, shortest prefix first:
// the i-th stands for the first (i+1)*ChunkBytes bytes. A chunk that is not full
// has no hash.
func Prefixes(prompt []byte) []uint64 {
	chunks := min(len(prompt)/ChunkBytes, MaxChunks)
	hashes := make([]uint64, chunks)
	var digest xxhash.Digest
	var link [8]byte
	for i := range hashes {
		digest.Reset()
		_, _ = digest.Write(link[:])
		_, _ = digest.Write(prompt[i*ChunkBytes : (i+1)*ChunkBytes])
		hashes[i] = digest.Sum64()
		binary.LittleEndian.PutUint64(link[:], hashes[i])
	}
	return hashes
}
