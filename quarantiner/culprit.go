package quarantiner

import (
	"cmp"
	"slices"
)

// candidate is a request with the crashes that no culprit explains.
type candidate struct {
	fingerprint Fingerprint
	crashes     []CrashID
}

// findCulprits returns the requests that caused the crashes. Each time it chooses a
// request, it takes the crashes of that request as explained and goes on with the rest,
// so that a request which only ran beside culprits has no crash left. It chooses, in this
// order,
//   - a request that has to be a culprit, because one of its crashes has no other
//     candidate (an essential set of the set cover),
//   - a request with more crashes than all candidates that it shares a crash with,
//   - a request with CertainCrashes.
//
// As long as none of this holds, the next crash may tell the candidates apart.
func findCulprits(suspects map[Fingerprint]*suspect) map[Fingerprint]struct{} {
	culprits := make(map[Fingerprint]struct{})
	candidates := make([]candidate, 0, len(suspects))
	for fingerprint, s := range suspects {
		if len(s.records) < quarantineCrashes {
			continue
		}
		if crashes := s.counted(); len(crashes) >= quarantineCrashes {
			candidates = append(candidates, candidate{fingerprint: fingerprint, crashes: crashes})
		}
	}
	for len(candidates) > 0 {
		// The order is the same in all processes.
		slices.SortFunc(candidates, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.fingerprint, b.fingerprint))
		})
		i := slices.IndexFunc(candidates, func(c candidate) bool { return c.isEssential(candidates) })
		if i < 0 {
			i = slices.IndexFunc(candidates, func(c candidate) bool { return c.isDominant(candidates) })
		}
		if i < 0 && len(candidates[0].crashes) >= CertainCrashes {
			i = 0
		}
		if i < 0 {
			break
		}
		culprits[candidates[i].fingerprint] = struct{}{}
		candidates = removeExplained(candidates, candidates[i])
	}
	return culprits
}

// isEssential reports whether one of the crashes has no other candidate.
func (c candidate) isEssential(candidates []candidate) bool {
	return slices.ContainsFunc(c.crashes, func(crash CrashID) bool {
		return !slices.ContainsFunc(candidates, func(other candidate) bool {
			return other.fingerprint != c.fingerprint && slices.Contains(other.crashes, crash)
		})
	})
}

// isDominant reports whether c has more crashes than each candidate that shares one.
func (c candidate) isDominant(candidates []candidate) bool {
	return !slices.ContainsFunc(candidates, func(other candidate) bool {
		return other.fingerprint != c.fingerprint && len(other.crashes) >= len(c.crashes) &&
			slices.ContainsFunc(other.crashes, func(crash CrashID) bool { return slices.Contains(c.crashes, crash) })
	})
}

// removeExplained returns the candidates without the culprit and its crashes. Requests
// with too few crashes left are no longer candidates.
func removeExplained(candidates []candidate, culprit candidate) []candidate {
	var left []candidate
	for _, c := range candidates {
		crashes := slices.DeleteFunc(slices.Clone(c.crashes), func(crash CrashID) bool {
			return slices.Contains(culprit.crashes, crash)
		})
		if c.fingerprint != culprit.fingerprint && len(crashes) >= quarantineCrashes {
			left = append(left, candidate{fingerprint: c.fingerprint, crashes: crashes})
		}
	}
	return left
}
