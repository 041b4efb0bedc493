package expected

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
)

// shortlisted refers to a candidate that will be evaluated. home is set if it is
// preferred for prompts with the prefix of the request.
type shortlisted struct {
	index int
	home  bool
}

// shortlist returns the candidates to evaluate, each once. Candidates that the
// request has tried are left out.
func shortlist(request carawaybeam.RouteRequest, candidates []carawaybeam.Candidate, random *rand.Rand) []shortlisted {
	chosen := make([]shortlisted, 0, sampleSize+2*homeCount+cacheHolderCount)
	add := func(i int, home bool) {
		if slices.Contains(request.Tried, candidates[i].Backend) ||
			slices.ContainsFunc(chosen, func(l shortlisted) bool { return l.index == i }) {
			return
		}
		chosen = append(chosen, shortlisted{index: i, home: home})
	}
	if request.Affinity != 0 {
		for _, i := range homes(request, candidates) {
			add(i, true)
		}
	}
	for _, i := range cacheHolders(candidates) {
		add(i, false)
	}
	for range sampleSize {
		if len(candidates) > 0 {
			add(random.IntN(len(candidates)), false)
		}
	}
	if len(chosen) == 0 {
		for i := range candidates {
			add(i, false)
		}
	}
	return chosen
}

// topScores keeps the indices with the highest scores, the highest first.
type topScores struct {
	indices [homeCount]int
	scores  [homeCount]uint64
	length  int
}

func (t *topScores) add(index int, score uint64) {
	at := t.length
	for at > 0 && t.scores[at-1] < score {
		at--
	}
	if at == homeCount {
		return
	}
	t.length = min(t.length+1, homeCount)
	copy(t.indices[at+1:], t.indices[at:])
	copy(t.scores[at+1:], t.scores[at:])
	t.indices[at], t.scores[at] = index, score
}

// homes returns the candidates that are preferred for prompts with this prefix,
// by rendezvous hashing. All processes choose the same ones without
// communication.
func homes(request carawaybeam.RouteRequest, candidates []carawaybeam.Candidate) []int {
	var best topScores
	for i := range candidates {
		if candidates[i].Distance > maxHomeDistance {
			continue
		}
		best.add(i, mix(xxhash.Sum64String(string(candidates[i].Backend))^request.Affinity))
	}
	return slices.Clone(best.indices[:best.length])
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// cacheHolders returns the candidates with the most of the prompt in their
// prefix cache, the most first.
func cacheHolders(candidates []carawaybeam.Candidate) []int {
	var most [cacheHolderCount]int
	n := 0
	for i := range candidates {
		if candidates[i].CachedPrompt == 0 {
			continue
		}
		at := n
		for at > 0 && candidates[most[at-1]].CachedPrompt < candidates[i].CachedPrompt {
			at--
		}
		if at == cacheHolderCount {
			continue
		}
		n = min(n+1, cacheHolderCount)
		copy(most[at+1:], most[at:])
		most[at] = i
	}
	return slices.Clone(most[:n])
}
