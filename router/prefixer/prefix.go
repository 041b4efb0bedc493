// Package prefixer tells which backend servers are likely to hold the head of a
// prompt in their prefix cache.
//
// A prompt is cut into blocks. The hash of a block covers all blocks before it,
// so that equal hashes mean equal heads, as in the prefix caches of model
// engines that hash their blocks in a chain.
package prefixer

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// blockTokens is the length of a block.
	blockTokens carawaybeam.Tokens = 256

	// bytesPerToken estimates the tokens of a text from its bytes.
	bytesPerToken = 4
)

type (
	// Hash identifies the head of a prompt up to the end of a block.
	Hash uint64

	// Prefix is the head of a prompt.
	Prefix struct {
		Hash Hash
		// Tokens is the length of the head.
		Tokens carawaybeam.Tokens
	}
)

// Split returns the heads of a prompt that end with a whole block, the shortest
// first.
func Split(prompt []byte) []Prefix {
	const blockBytes = int(blockTokens) * bytesPerToken
	prefixes := make([]Prefix, 0, len(prompt)/blockBytes)
	var chain [8]byte
	digest := xxhash.New()
	for length := blockTokens; len(prompt) >= blockBytes; length += blockTokens {
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.Write(prompt[:blockBytes])
		hash := digest.Sum64()
		binary.LittleEndian.PutUint64(chain[:], hash)
		prefixes = append(prefixes, Prefix{Hash: Hash(hash), Tokens: length})
		prompt = prompt[blockBytes:]
	}
	return prefixes
}

// Affinity returns a number that is equal for prompts with the same head, or 0
// for a prompt without a whole block. The head is the longest one whose length
// is at most a power of two, so that it is most of the prompt and stays the same
// while a conversation grows a little.
func Affinity(prefixes []Prefix) uint64 {
	if len(prefixes) == 0 {
		return 0
	}
	longest := prefixes[len(prefixes)-1].Tokens
	limit := carawaybeam.Tokens(1) << (bits.Len64(uint64(longest)) - 1)
	affinity := prefixes[0].Hash
	for _, p := range prefixes {
		if p.Tokens <= limit {
			affinity = p.Hash
		}
	}
	return uint64(affinity)
}
