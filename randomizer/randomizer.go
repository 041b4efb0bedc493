// Package randomizer provides random numbers to several goroutines.
package randomizer

import "math/rand/v2"

// lockedSource is a rand.Source that uses the global source of math/rand/v2, which is
// safe for concurrent use.
type lockedSource struct{}

// New returns a generator that is safe for concurrent use. It cannot be seeded.
func New() *rand.Rand { return rand.New(lockedSource{}) }

// Uint64 returns a uniformly distributed random number.
func (lockedSource) Uint64() uint64 { return rand.Uint64() }
