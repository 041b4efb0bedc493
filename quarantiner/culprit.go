package quarantiner

import (
	"cmp"
	"slices"
)

const (
	// Complete means that a report names all requests that were running in a crash, and
	// that suspects are kept apart.
	Complete Evidence = iota
	// Partial means that a report names only the requests that one of several processes
	// had sent, so that the cause may be missing, and that suspects run beside each
	// other. Two crashes prove nothing then if another suspect was running in one of
	// them.
	Partial
)

type (
	// Evidence is what the reports of crashes tell of their causes.
	Evidence int

	// candidate is a request with the crashes that no culprit explains.
	candidate struct {
		fingerprint Fingerprint
		crashes     []CrashID
	}
)

// findCulprits returns the requests that caused the crashes. Each time it chooses a
// request, it takes the crashes of that request as explained and goes on with the rest,
// so that a request which only ran beside culprits has no crash left. As long as it can
// choose none, the next crash may tell the candidates apart.
func findCulprits(suspects map[Fingerprint]*suspect, evidence Evidence) map[Fingerprint]struct{} {
	culprits := make(map[Fingerprint]struct{})
	candidates := findCandidates(suspects, evidence)
	for {
		// The order is the same in all processes.
		slices.SortFunc(candidates, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.fingerprint, b.fingerprint))
		})
		i := choose(candidates, evidence)
		if i < 0 {
			return culprits
		}
		culprits[candidates[i].fingerprint] = struct{}{}
		candidates = removeExplained(candidates, candidates[i], evidence)
	}
}

// findCandidates returns the requests that may be culprits, and with partial evidence also
// those with a single crash that may have caused one of theirs.
func findCandidates(suspects map[Fingerprint]*suspect, evidence Evidence) []candidate {
	var candidates []candidate
	unexplained := make(map[CrashID]struct{})
	for fingerprint, s := range suspects {
		if len(s.records) < quarantineCrashes {
			continue
		}
		if crashes := s.counted(); len(crashes) >= quarantineCrashes {
			candidates = append(candidates, candidate{fingerprint: fingerprint, crashes: crashes})
			for _, crash := range crashes {
				unexplained[crash] = struct{}{}
			}
		}
	}
	if evidence == Complete || len(candidates) == 0 {
		return candidates
	}
	for fingerprint, s := range suspects {
		crashes := s.counted()
		if len(crashes) != 1 {
			continue
		}
		if _, ok := unexplained[crashes[0]]; ok {
			candidates = append(candidates, candidate{fingerprint: fingerprint, crashes: crashes})
		}
	}
	return candidates
}

// choose returns the index of a culprit, or -1 if the candidates, in their order, cannot
// be told apart. It chooses, in this order,
//   - a request that has to be a culprit, because its crashes have no other candidate,
//   - a request whose crashes are better explained by it than by others,
//   - a request with CertainCrashes.
//
// With partial evidence CertainCrashes count for more than a comparison with others.
func choose(candidates []candidate, evidence Evidence) int {
	certain := -1
	if len(candidates) > 0 && len(candidates[0].crashes) >= CertainCrashes {
		certain = 0
	}
	if evidence == Complete {
		return firstIndex(
			slices.IndexFunc(candidates, func(c candidate) bool { return c.isEssential(candidates) }),
			slices.IndexFunc(candidates, func(c candidate) bool { return c.isDominant(candidates) }),
			certain,
		)
	}
	return firstIndex(
		slices.IndexFunc(candidates, func(c candidate) bool { return c.isProven(candidates) }),
		certain,
		slices.IndexFunc(candidates, func(c candidate) bool { return c.isIndependent(candidates) }),
	)
}

// firstIndex returns the first index that is not negative, or -1.
func firstIndex(indices ...int) int {
	for _, i := range indices {
		if i >= 0 {
			return i
		}
	}
	return -1
}

// countShared returns the number of crashes that c has in common with other.
func (c candidate) countShared(other candidate) int {
	n := 0
	for _, crash := range c.crashes {
		if slices.Contains(other.crashes, crash) {
			n++
		}
	}
	return n
}

// isEssential reports whether one of the crashes has no other candidate (an essential set
// of the set cover).
func (c candidate) isEssential(candidates []candidate) bool {
	return slices.ContainsFunc(c.crashes, func(crash CrashID) bool { return c.isAlone(crash, candidates) })
}

// isAlone reports whether a crash of c has no other candidate.
func (c candidate) isAlone(crash CrashID, candidates []candidate) bool {
	return !slices.ContainsFunc(candidates, func(other candidate) bool {
		return other.fingerprint != c.fingerprint && slices.Contains(other.crashes, crash)
	})
}

// isDominant reports whether c has more crashes than each candidate that shares one.
func (c candidate) isDominant(candidates []candidate) bool {
	return !slices.ContainsFunc(candidates, func(other candidate) bool {
		return other.fingerprint != c.fingerprint && len(other.crashes) >= len(c.crashes) && c.countShared(other) > 0
	})
}

// isProven reports whether c has to be a culprit although the evidence is partial: it has
// been alone in each of two crashes, or in one of more.
func (c candidate) isProven(candidates []candidate) bool {
	if len(c.crashes) > quarantineCrashes {
		return c.isEssential(candidates)
	}
	return len(c.crashes) == quarantineCrashes && !slices.ContainsFunc(c.crashes, func(crash CrashID) bool {
		return !c.isAlone(crash, candidates)
	})
}

// isIndependent reports whether c has been in more than quarantineCrashes crashes, no two
// of them with the same other candidate.
func (c candidate) isIndependent(candidates []candidate) bool {
	return len(c.crashes) > quarantineCrashes && !slices.ContainsFunc(candidates, func(other candidate) bool {
		return other.fingerprint != c.fingerprint && c.countShared(other) > 1
	})
}

// removeExplained returns the candidates without the culprit and its crashes. Requests
// with too few crashes left are no longer candidates.
func removeExplained(candidates []candidate, culprit candidate, evidence Evidence) []candidate {
	least := quarantineCrashes
	if evidence == Partial {
		least = 1
	}
	var left []candidate
	for _, c := range candidates {
		crashes := slices.DeleteFunc(slices.Clone(c.crashes), func(crash CrashID) bool {
			return slices.Contains(culprit.crashes, crash)
		})
		if c.fingerprint != culprit.fingerprint && len(crashes) >= least {
			left = append(left, candidate{fingerprint: c.fingerprint, crashes: crashes})
		}
	}
	return left
}
