package collector

const (
	// pickUnit is how many picks one unit stands for, and pickBits how many bits
	// of the units are sent: as many as fit two bytes of a varint. Between two
	// statuses an expert is picked some thousand times.
	pickUnit = 16
	pickBits = 14
	pickMask = 1<<pickBits - 1
)

// EncodePicks returns a count of picks as statuses carry it.
func EncodePicks(count uint64) uint32 { return uint32(count/pickUnit) & pickMask }

// PicksSince returns how often an expert was picked from one count of a status to
// a later one of the same life of the rank.
func PicksSince(before, now uint32) float64 { return float64((now-before)&pickMask) * pickUnit }
