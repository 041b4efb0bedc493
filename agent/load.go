package agent

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

// minReportInterval is the minimum report interval of a control stream. Heartbeats
// that report a change of Leaving are sent regardless of it.
const minReportInterval = 100 * time.Millisecond

// reportingStream adds the load of the backend server to the frames that begin and
// end an answer, so that entries which use the backend server need few heartbeats.
type reportingStream struct {
	carawaybeam.Stream
	agent *Agent
}

// Send writes one frame, with the load if the frame begins or ends an answer.
func (s *reportingStream) Send(frame *framer.Frame) error {
	if frame.GetHead() != nil || frame.GetTail() != nil || frame.GetRefused() != nil || frame.GetFailed() != nil {
		heartbeat, _ := s.agent.heartbeat()
		frame.Load = heartbeat.GetHeartbeat()
	}
	return s.Stream.Send(frame)
}

// requestedInterval returns the report interval that the entry requests in a frame of
// a control stream, or 0 if the frame contains none.
func requestedInterval(frame *framer.Frame) time.Duration {
	requested := max(frame.GetHello().GetIntervalMs(), frame.GetKeepAlive().GetIntervalMs())
	if requested == 0 {
		return 0
	}
	return max(minReportInterval, time.Duration(requested)*time.Millisecond)
}
