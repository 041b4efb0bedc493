package evacuator

import (
	"hash/maphash"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// filterBits and filterHashes are the numbers of bits and of hashes of a filter. With 10,000
	// data centres it takes 0.5% of the others for members.
	filterBits   = 1 << 17
	filterHashes = 4
	wordBits     = 64
	hashBits     = 32
)

// seed is that of all filters, so that their union can be formed.
var seed = maphash.MakeSeed()

// filter is a Bloom filter of data centres. It never misses a member and may take others for members.
// A nil filter has none.
type filter struct {
	words [filterBits / wordBits]uint64
}

// add returns the filter, or a new one if it is nil, with another member.
func (f *filter) add(dataCentre carawaybeam.DataCentre) *filter {
	if f == nil {
		f = &filter{}
	}
	hash := maphash.String(seed, string(dataCentre))
	for i := range uint64(filterHashes) {
		bit := bitOf(hash, i)
		f.words[bit/wordBits] |= 1 << (bit % wordBits)
	}
	return f
}

// has reports whether a data centre may be a member.
func (f *filter) has(dataCentre carawaybeam.DataCentre) bool {
	if f == nil {
		return false
	}
	hash := maphash.String(seed, string(dataCentre))
	for i := range uint64(filterHashes) {
		bit := bitOf(hash, i)
		if f.words[bit/wordBits]&(1<<(bit%wordBits)) == 0 {
			return false
		}
	}
	return true
}

// bitOf returns the bit of one of the hashes, all of which are derived from one (Kirsch and Mitzenmacher).
func bitOf(hash, i uint64) uint64 {
	return (hash>>hashBits + i*(hash&(1<<hashBits-1)|1)) % filterBits
}

// clone returns a copy.
func (f *filter) clone() *filter {
	if f == nil {
		return nil
	}
	copied := *f
	return &copied
}

// union returns a filter with the members of both. The other one may be nil.
func (f *filter) union(other *filter) *filter {
	both := f.clone()
	if other == nil {
		return both
	}
	for i, word := range other.words {
		both.words[i] |= word
	}
	return both
}
