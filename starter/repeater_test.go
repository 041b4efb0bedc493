package starter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/starter"
)

func TestRepeatUntilClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls := 0
		r := starter.Repeat(time.Second, func() { calls++ })
		time.Sleep(3500 * time.Millisecond)
		is.NoErr(r.Close())
		is.Equal(calls, 4)
		time.Sleep(time.Minute)
		is.Equal(calls, 4)
	})
}
