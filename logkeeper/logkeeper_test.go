package logkeeper_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/logkeeper"
)

func TestLinesOfRequest(t *testing.T) {
	is := is.New(t)
	c := logkeeper.New(1 << 10)
	log := zerolog.New(c)
	log.Info().Str("request", "r1").Msg("first")
	log.Info().Str("request", "r10").Msg("other")
	log.Info().Msg("of no request")
	log.Info().Str("request", "r1").Msg("second")
	is.Equal(c.Lines("r1"), []string{
		`{"level":"info","request":"r1","message":"first"}`,
		`{"level":"info","request":"r1","message":"second"}`,
	})
	is.Equal(len(c.Lines("r2")), 0)
}

// TestLinesWithSeveralRequests checks that a line with a list of requests is found by
// each of them.
func TestLinesWithSeveralRequests(t *testing.T) {
	is := is.New(t)
	c := logkeeper.New(1 << 10)
	log := zerolog.New(c)
	log.Info().Strs("requests", []string{"r1", "r2"}).Strs("fingerprints", []string{"r3"}).Msg("crash")
	is.Equal(len(c.Lines("r1")), 1)
	is.Equal(len(c.Lines("r2")), 1)
	is.Equal(len(c.Lines("r3")), 0)
}

// TestLimit checks that the latest line is kept, the oldest one is dropped and the kept
// lines are within the limit.
func TestLimit(t *testing.T) {
	is := is.New(t)
	c := logkeeper.New(1 << 10)
	log := zerolog.New(c)
	const n = 1000
	kept := 0
	for i := range n {
		log.Info().Str("request", fmt.Sprint(i)).Msg("m")
	}
	for i := range n {
		kept += len(c.Lines(requestID(i)))
	}
	is.Equal(len(c.Lines("0")), 0)
	is.Equal(len(c.Lines(requestID(n-1))), 1)
	is.True(kept*len(`{"level":"info","request":"999","message":"m"}`) <= 1<<10)
}

func requestID(i int) carawaybeam.RequestID { return carawaybeam.RequestID(fmt.Sprint(i)) }
