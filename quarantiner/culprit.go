package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
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

	// candidate is a request with the crashes that no culprit explains, quarantineCrashes
	// or more.
	candidate struct {
		fingerprint Fingerprint
		crashes     []CrashID
		// total is the number of its crashes, with those that culprits explain.
		total int
		// position is the position of a part in prompts. Of two with as many crashes the
		// later one is chosen, by which fewer requests are refused.
		position int
	}

	// inquiry is the search for culprits.
	inquiry struct {
		// ofParts is set if the candidates are parts of prompts, and fewAnswers if the
		// process has seen so few answers that a sound part may be without one.
		ofParts    bool
		fewAnswers bool
		evidence   Evidence
		// certain is the number of crashes after which a candidate is chosen although it
		// cannot be told apart from others.
		certain    int
		candidates []candidate
		// rivals returns the requests, and the parts behind the first of a prompt, that may have
		// caused the crashes of a part as well.
		rivals func() []candidate
		// others holds, with partial evidence, the crashes that a request with too few
		// crashes for a candidate may have caused, and the highest total of such requests.
		others map[CrashID]int
	}
)

// findCulprits returns the parts of prompts and the requests that caused the crashes. A crash
// that a part caused is explained for requests. All reports of the crashes of parts are
// assumed to be known, since a group of ranks that has crashed needs longer to return. A part
// that was answered once is likely to be sound, so that only the number of its crashes counts.
func findCulprits(
	suspects map[Fingerprint]*suspect,
	evidence Evidence,
	answered func(part Fingerprint) bool,
	fewAnswers bool,
) map[Fingerprint]struct{} {
	parts := &inquiry{
		ofParts: true, fewAnswers: fewAnswers, evidence: Complete, certain: trialCrashes,
		rivals: sync.OnceValue(func() []candidate { return findRivals(suspects, answered) }),
	}
	requests := &inquiry{evidence: evidence, certain: CertainCrashes, others: make(map[CrashID]int)}
	for fingerprint, s := range suspects {
		switch {
		case !fingerprint.IsPart():
			requests.addSuspect(fingerprint, s)
		case !answered(fingerprint):
			parts.addSuspect(fingerprint, s)
		}
	}
	culprits := parts.findCulprits()
	for fingerprint, s := range suspects {
		if len(s.counted()) >= fingerprint.maxCrashesOnTrial() {
			culprits[fingerprint] = struct{}{}
		}
	}
	// The culprits so far are refused whatever else was running in their crashes, which they
	// explain before others are compared.
	for culprit := range culprits {
		requests.removeExplained(candidate{fingerprint: culprit, crashes: suspects[culprit].counted()})
	}
	maps.Copy(culprits, requests.findCulprits())
	return culprits
}

// findRivals returns the suspects that may have caused crashes of parts: requests, and parts that were never
// answered. The first part of a prompt is not among them, because it may be in all requests.
func findRivals(suspects map[Fingerprint]*suspect, answered func(part Fingerprint) bool) []candidate {
	var rivals []candidate
	for fingerprint, s := range suspects {
		if !fingerprint.IsPart() || s.position > 0 && !answered(fingerprint) {
			rivals = append(rivals, candidate{fingerprint: fingerprint, crashes: s.counted()})
		}
	}
	return rivals
}

// findOnlyParts returns the parts that were the only ones in a crash which had never been
// answered, unless a culprit explains the crash. The first part of a prompt is not among them,
// because it may be in all requests.
func findOnlyParts(
	suspects map[Fingerprint]*suspect,
	culprits map[Fingerprint]struct{},
	answered func(part Fingerprint) bool,
) map[Fingerprint]struct{} {
	parts := make(map[CrashID][]Fingerprint)
	for fingerprint, s := range suspects {
		if _, isCulprit := culprits[fingerprint]; isCulprit || fingerprint.IsPart() && !answered(fingerprint) {
			for _, crash := range s.counted() {
				parts[crash] = append(parts[crash], fingerprint)
			}
		}
	}
	only := make(map[Fingerprint]struct{})
	for _, candidates := range parts {
		if part := candidates[0]; len(candidates) == 1 && part.IsPart() && suspects[part].position > 0 {
			only[part] = struct{}{}
		}
	}
	return only
}

// maxCrashesOnTrial returns the number of crashes after which requests with the fingerprint are
// quarantined whatever else was running in them.
func (f Fingerprint) maxCrashesOnTrial() int {
	if f.IsPart() {
		return maxPartCrashesOnTrial
	}
	return maxCrashesOnTrial
}

// findCulprits returns the culprits among the candidates. Each time it chooses a
// request, it takes the crashes of that request as explained and goes on with the rest,
// so that a request which only ran beside culprits has no crash left. As long as it can
// choose none, the next crash may tell the candidates apart.
func (q *inquiry) findCulprits() map[Fingerprint]struct{} {
	culprits := make(map[Fingerprint]struct{})
	for {
		// The order of requests is the same in all processes.
		slices.SortFunc(q.candidates, func(a, b candidate) int {
			return cmp.Or(b.compareWeight(a), cmp.Compare(a.fingerprint, b.fingerprint))
		})
		i := q.choose()
		if i < 0 {
			return culprits
		}
		culprits[q.candidates[i].fingerprint] = struct{}{}
		q.removeExplained(q.candidates[i])
	}
}

// addSuspect adds a suspect with the crashes that count against it.
func (q *inquiry) addSuspect(fingerprint Fingerprint, s *suspect) {
	if q.evidence == Complete && len(s.records) < quarantineCrashes {
		return
	}
	crashes := s.counted()
	q.add(candidate{fingerprint: fingerprint, crashes: crashes, total: len(crashes), position: s.position})
}

// add adds a request with its crashes that no culprit explains.
func (q *inquiry) add(c candidate) {
	if len(c.crashes) >= quarantineCrashes {
		q.candidates = append(q.candidates, c)
		return
	}
	if q.evidence == Complete {
		return
	}
	for _, crash := range c.crashes {
		q.others[crash] = max(q.others[crash], c.total)
	}
}

// choose returns the index of a culprit, or -1 if the candidates, in their order, cannot
// be told apart. It chooses, in this order,
//   - a request that has to be a culprit, because its crashes have no other candidate,
//   - a request whose crashes are better explained by it than by others,
//   - a request with as many crashes as are certain.
//
// With partial evidence that many crashes count for more than a comparison with others. A
// crash may have another cause than a part, so that no part has to be a culprit. Among parts
// of which few answers are known, only that many crashes count.
func (q *inquiry) choose() int {
	certain := slices.IndexFunc(q.candidates, q.isCertain)
	if q.ofParts && q.fewAnswers {
		return certain
	}
	if q.ofParts {
		return firstIndex(slices.IndexFunc(q.candidates, q.isDominant), certain)
	}
	if q.evidence == Complete {
		return firstIndex(
			slices.IndexFunc(q.candidates, q.isEssential),
			slices.IndexFunc(q.candidates, q.isDominant),
			certain,
		)
	}
	return firstIndex(
		slices.IndexFunc(q.candidates, q.isProven),
		certain,
		slices.IndexFunc(q.candidates, q.isIndependent),
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

// compareWeight compares how likely candidates are to be a cause.
func (c candidate) compareWeight(other candidate) int {
	return cmp.Or(cmp.Compare(len(c.crashes), len(other.crashes)), cmp.Compare(c.position, other.position))
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

// isEssential reports whether one of the crashes of c has no other candidate (an essential
// set of the set cover).
func (q *inquiry) isEssential(c candidate) bool {
	return slices.ContainsFunc(c.crashes, func(crash CrashID) bool { return q.isAlone(c, crash) })
}

// isAlone reports whether nothing but c may have caused a crash of c.
func (q *inquiry) isAlone(c candidate, crash CrashID) bool {
	_, shared := q.others[crash]
	return !shared && !slices.ContainsFunc(q.candidates, func(other candidate) bool {
		return other.fingerprint != c.fingerprint && slices.Contains(other.crashes, crash)
	})
}

// isDominant reports whether c has more crashes than each candidate that shares one.
func (q *inquiry) isDominant(c candidate) bool {
	return !slices.ContainsFunc(q.candidates, func(other candidate) bool {
		return other.fingerprint != c.fingerprint && len(other.crashes) >= len(c.crashes) && c.countShared(other) > 0
	})
}

// isCertain reports whether c has as many crashes as are certain. A part is not certain while a request, or
// few other parts, may have caused all of them: it is on trial then, and an answer shows that it is
// sound. The more crashes it has, the fewer other parts excuse it, until it is refused with
// maxPartCrashesOnTrial.
func (q *inquiry) isCertain(c candidate) bool {
	if len(c.crashes) < q.certain || !q.ofParts {
		return len(c.crashes) >= q.certain
	}
	excuses := maxPartCrashesOnTrial - len(c.crashes)
	if excuses <= 0 {
		return true
	}
	full := uint(1)<<len(c.crashes) - 1
	shared := make(map[uint]struct{})
	for _, rival := range q.rivals() {
		if rival.fingerprint == c.fingerprint {
			continue
		}
		switch crashes := c.shared(rival); {
		case crashes == full:
			return false
		case crashes != 0 && rival.fingerprint.IsPart():
			shared[crashes] = struct{}{}
		}
	}
	if excuses == 1 {
		return true
	}
	for a := range shared {
		for b := range shared {
			if a|b == full {
				return false
			}
		}
	}
	return true
}

// shared returns the set of the crashes of c, by their index, that other has as well.
func (c candidate) shared(other candidate) uint {
	set := uint(0)
	for i, crash := range c.crashes {
		if slices.Contains(other.crashes, crash) {
			set |= 1 << i
		}
	}
	return set
}

// isProven reports whether c has to be a culprit although the evidence is partial: it has
// been alone in each of two crashes, or in one of more.
func (q *inquiry) isProven(c candidate) bool {
	if len(c.crashes) > quarantineCrashes {
		return q.isEssential(c)
	}
	return !slices.ContainsFunc(c.crashes, func(crash CrashID) bool { return !q.isAlone(c, crash) })
}

// isIndependent reports whether c has been in more than quarantineCrashes crashes, no two
// of them with the same other candidate, and none with a request that has been in as many. Several
// such requests may have caused the crashes of c, and a trial shows whether they have.
func (q *inquiry) isIndependent(c candidate) bool {
	if len(c.crashes) <= quarantineCrashes {
		return false
	}
	if slices.ContainsFunc(c.crashes, func(crash CrashID) bool { return q.others[crash] >= len(c.crashes) }) {
		return false
	}
	return !slices.ContainsFunc(q.candidates, func(other candidate) bool {
		if other.fingerprint == c.fingerprint {
			return false
		}
		shared := c.countShared(other)
		return shared > 1 || shared == 1 && other.total >= len(c.crashes)
	})
}

// removeExplained removes a culprit and its crashes. Requests with too few crashes left are
// no longer candidates.
func (q *inquiry) removeExplained(culprit candidate) {
	candidates := q.candidates
	q.candidates = nil
	for _, c := range candidates {
		if c.fingerprint == culprit.fingerprint {
			continue
		}
		crashes := slices.DeleteFunc(slices.Clone(c.crashes), func(crash CrashID) bool {
			return slices.Contains(culprit.crashes, crash)
		})
		c.crashes = crashes
		q.add(c)
	}
}
