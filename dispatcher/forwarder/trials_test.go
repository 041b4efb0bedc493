package forwarder

import (
	"testing"

	"github.com/matryer/is"
)

// TestTrials checks that a request on trial begins again only after it has ended.
func TestTrials(t *testing.T) {
	is := is.New(t)
	var running trials
	is.True(running.begin("g"))
	is.True(!running.begin("g"))
	is.True(running.begin("a"))
	running.end("g")
	is.True(running.begin("g"))
}
