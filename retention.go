package carawaybeam

import "time"

// KeyRetention is how long an idempotency key is stored after its request has
// ended. A request that arrives later with the same key is a new request.
const KeyRetention = 24 * time.Hour
