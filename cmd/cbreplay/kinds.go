package main

import (
	// Each kind of traces registers itself.
	_ "github.com/carawaybeam/carawaybeam/replayer/placer"
)
