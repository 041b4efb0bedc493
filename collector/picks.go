package collector

const (
	// Statuses contain pick counts in units of pickUnit picks, of which only the
	// lower pickBits bits are sent. They fit into two bytes of a varint. Between
	// two statuses an expert is picked some thousand times.
	pickUnit = 16
	pickBits = 14
	pickMask = 1<<pickBits - 1
)

// EncodePicks returns the encoding of a pick count in statuses.
func EncodePicks(count uint64) uint32 { return uint32(count/pickUnit) & pickMask }

// PicksSince returns how often an expert was picked between two encoded pick counts
// of the same run of a rank, to a precision of pickUnit. The result is correct as long
// as it is below pickUnit << pickBits.
func PicksSince(before, now uint32) float64 { return float64((now-before)&pickMask) * pickUnit }
