package main

import (
	// These packages register the kinds of traces.
	_ "github.com/carawaybeam/carawaybeam/replayer/admissions"
	_ "github.com/carawaybeam/carawaybeam/replayer/placer"
	_ "github.com/carawaybeam/carawaybeam/replayer/retries"
	_ "github.com/carawaybeam/carawaybeam/replayer/routes"
)
