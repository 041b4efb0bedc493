// Package prefixer tracks which backend servers are likely to hold the prefix
// of a prompt in their prefix cache.
//
// A prompt is split into blocks. The hash of a block covers all blocks before
// it, so that equal hashes mean equal prefixes, as in the prefix caches of
// model engines that chain the hashes of their blocks.
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

	// bytesPerToken is the assumed mean length of a token, by which the tokens
	// of a text are estimated.
	bytesPerToken = 4
)

type (
	// Hash identifies a prefix of a prompt that ends at a block boundary.
	Hash uint64

	// Prefix is a prefix of a prompt.
	Prefix struct {
		Hash Hash
		// Tokens is the length of the prefix.
		Tokens carawaybeam.Tokens
	}
)

// Split returns the prefixes of a prompt that end at a block boundary, the
// shortest first.
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

// Affinity returns a number that is equal for prompts with the same prefix, or
// 0 for a prompt shorter than a block. It covers the blocks up to the largest
// power of two of tokens that the prompt contains, so that it covers most of
// the prompt and rarely changes while a conversation grows.
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
