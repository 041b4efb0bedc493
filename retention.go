package carawaybeam

import "time"

// KeyRetention is how long an idempotency key is remembered after its request
// has ended. A request sent again later counts as a new one.
const KeyRetention = 24 * time.Hour
