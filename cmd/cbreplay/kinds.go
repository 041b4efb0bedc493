package main

import (
	// Each kind of traces registers itself.
	_ "github.com/carawaybeam/carawaybeam/replayer/admissions"
	_ "github.com/carawaybeam/carawaybeam/replayer/placer"
	_ "github.com/carawaybeam/carawaybeam/replayer/retries"
	_ "github.com/carawaybeam/carawaybeam/replayer/routes"
)
