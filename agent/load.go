package agent

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

// minReportPause is the least time between two reports on a control stream that
// no change of Leaving asked for.
const minReportPause = 100 * time.Millisecond

// reportingStream reports the load of the backend server on the frames that
// begin and end an answer, so that entries which use it need few heartbeats.
type reportingStream struct {
	carawaybeam.Stream
	agent *Agent
}

// Send writes one frame.
func (s *reportingStream) Send(frame *framer.Frame) error {
	if frame.GetHead() != nil || frame.GetTail() != nil || frame.GetRefused() != nil || frame.GetFailed() != nil {
		heartbeat, _ := s.agent.heartbeat()
		frame.Load = heartbeat.GetHeartbeat()
	}
	return s.Stream.Send(frame)
}

// wantedInterval returns how often the entry asked for heartbeats on a control
// stream, or 0 if the frame tells nothing of it.
func wantedInterval(frame *framer.Frame) time.Duration {
	wanted := max(frame.GetHello().GetIntervalMs(), frame.GetKeepAlive().GetIntervalMs())
	if wanted == 0 {
		return 0
	}
	return max(minReportPause, time.Duration(wanted)*time.Millisecond)
}
