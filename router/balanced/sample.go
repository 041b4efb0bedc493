package balanced

import (
	"math/rand/v2"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// maxCompared is the maximum number of candidates that are compared. Of more, a random
	// sample of half as many in the own data centre and as many in others is compared. The best
	// of 64 is among the best 5% of all with a probability of 0.96.
	maxCompared = 128
)

// sample appends the indices of the candidates to compare. Candidates whose group is closed are
// among them only if there are few candidates or all are closed.
func sample(
	indices []int,
	request *carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	random *rand.Rand,
) []int {
	n := len(candidates)
	if n <= maxCompared {
		for i := range n {
			indices = append(indices, i)
		}
		return indices
	}
	// A random stride that has no common divisor with n visits all candidates in an order that
	// does not favour the neighbours of others.
	stride, at := 1+random.IntN(n-1), random.IntN(n)
	for greatestCommonDivisor(stride, n) != 1 {
		stride = 1 + random.IntN(n-1)
	}
	own, others := 0, 0
	for range n {
		at = (at + stride) % n
		c := &candidates[at]
		count := &others
		if c.DataCentre == request.DataCentre {
			count = &own
		}
		if c.ClosedFor > 0 || *count >= maxCompared/2 {
			continue
		}
		*count++
		indices = append(indices, at)
		if len(indices) == maxCompared {
			break
		}
	}
	if len(indices) > 0 {
		return indices
	}
	for range maxCompared {
		at = (at + stride) % n
		indices = append(indices, at)
	}
	return indices
}

// greatestCommonDivisor returns the greatest common divisor of two positive numbers.
func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
