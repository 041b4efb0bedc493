package quarantiner

// findTrialKeys returns, for each suspect on trial that was in a crash with others on trial, the first
// of all that are connected to it by crashes.
func findTrialKeys(
	suspects map[Fingerprint]*suspect,
	quarantined map[Fingerprint]struct{},
) map[Fingerprint]Fingerprint {
	keys := make(map[Fingerprint]Fingerprint)
	// find returns the first of the suspects that are known to be connected to one.
	find := func(fingerprint Fingerprint) Fingerprint {
		for {
			next, ok := keys[fingerprint]
			if !ok || next == fingerprint {
				return fingerprint
			}
			fingerprint = next
		}
	}
	inCrash := make(map[CrashID]Fingerprint)
	for fingerprint, s := range suspects {
		if _, isCulprit := quarantined[fingerprint]; isCulprit || len(s.records) < trialCrashes {
			continue
		}
		crashes := s.counted()
		if len(crashes) < trialCrashes {
			continue
		}
		for _, crash := range crashes {
			other, ok := inCrash[crash]
			if !ok {
				inCrash[crash] = fingerprint
				continue
			}
			a, b := find(fingerprint), find(other)
			keys[a], keys[b] = min(a, b), min(a, b)
		}
	}
	for fingerprint := range keys {
		keys[fingerprint] = find(fingerprint)
	}
	return keys
}
