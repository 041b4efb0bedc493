// Package randomizer makes random numbers that several goroutines may draw.
package randomizer

import "math/rand/v2"

// lockedSource draws from the runtime's source, which many goroutines may use.
type lockedSource struct{}

// New returns a generator that may be used by several goroutines at once.
func New() *rand.Rand { return rand.New(lockedSource{}) }

// Uint64 returns a random number.
func (lockedSource) Uint64() uint64 { return rand.Uint64() }
