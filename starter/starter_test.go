package starter

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestLogIsBoundedUnderFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := newLog(&out, "entry-1")
		dropped := DroppedLines()
		for range 20 * logBurst {
			log.Warn().Msg("tracker: list of VMs is unavailable")
		}
		log.Error().Msg("server: callers are no longer served")
		is.Equal(bytes.Count(out.Bytes(), []byte("\n")), logBurst+1)
		is.Equal(DroppedLines()-dropped, uint64(19*logBurst))
		is.True(bytes.Contains(out.Bytes(), []byte("no longer served")))
		time.Sleep(2 * logPeriod)
		log.Warn().Msg("tracker: list of VMs is unavailable")
		is.Equal(bytes.Count(out.Bytes(), []byte("\n")), logBurst+2)
	})
}
