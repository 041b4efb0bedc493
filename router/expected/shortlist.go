package expected

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
)

// listed is the index of a candidate to be weighed.
type listed struct {
	index int
	home  bool
}

// shortlist returns the candidates to be weighed, without repetition.
func shortlist(request carawaybeam.RouteRequest, candidates []carawaybeam.Candidate, random *rand.Rand) []listed {
	chosen := make([]listed, 0, sampleSize+2*homeCount+holderCount)
	add := func(i int, home bool) {
		if slices.Contains(request.Tried, candidates[i].Backend) ||
			slices.ContainsFunc(chosen, func(l listed) bool { return l.index == i }) {
			return
		}
		chosen = append(chosen, listed{index: i, home: home})
	}
	if request.Affinity != 0 {
		for _, i := range homes(request, candidates) {
			add(i, true)
		}
	}
	for _, i := range holders(candidates) {
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

// top keeps the indices with the highest scores.
type top struct {
	indices [homeCount]int
	scores  [homeCount]uint64
	length  int
}

func (t *top) add(index int, score uint64) {
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

// homes returns where prompts with this head gather, by rendezvous hashing.
func homes(request carawaybeam.RouteRequest, candidates []carawaybeam.Candidate) []int {
	var all top
	for i := range candidates {
		if candidates[i].Distance > regionDistance {
			continue
		}
		all.add(i, mix(xxhash.Sum64String(string(candidates[i].Backend))^request.Affinity))
	}
	return slices.Clone(all.indices[:all.length])
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// holders returns the candidates with the most of the prompt cached.
func holders(candidates []carawaybeam.Candidate) []int {
	var most [holderCount]int
	n := 0
	for i := range candidates {
		if candidates[i].CachedPrompt == 0 {
			continue
		}
		at := n
		for at > 0 && candidates[most[at-1]].CachedPrompt < candidates[i].CachedPrompt {
			at--
		}
		if at == holderCount {
			continue
		}
		n = min(n+1, holderCount)
		copy(most[at+1:], most[at:])
		most[at] = i
	}
	return slices.Clone(most[:n])
}
