package detector_test

import (
	"bytes"
	"context"
	"errors"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/detector"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// installation is a Detector with the state of the only backend server.
type installation struct {
	*detector.Detector
	log     bytes.Buffer
	probed  int
	connect func() error
	leaving bool

	quarantiner *quarantiner.Quarantiner
}

var instance = carawaybeam.Instance{
	BackendIncarnation: carawaybeam.BackendIncarnation{ID: "a", Started: 1000}, Address: "10.0.0.1:80", Pool: "pool",
}

func refuse() error { return syscall.ECONNREFUSED }

func accept() error { return nil }

func silent() error { return errors.New("timeout") }

func newInstallation(connect func() error) *installation {
	n := &installation{connect: connect, quarantiner: quarantiner.New(quarantiner.Partial)}
	n.Detector = detector.New(detector.Options{
		Probe: func(context.Context, carawaybeam.Address) error {
			n.probed++
			return n.connect()
		},
		InUse:       func(carawaybeam.Instance) bool { return !n.leaving },
		Quarantiner: n.quarantiner,
		Log:         zerolog.New(&n.log),
	})
	return n
}

func (n *installation) begin(id carawaybeam.RequestID) *detector.Run {
	return n.Begin(id, quarantiner.Fingerprint(id), instance)
}

// TestCrash checks that a crash is laid to the attempts that were running, and to no
// others, and that it is reported once.
func TestCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newInstallation(refuse)
		n.begin("answered").End(detector.Answered)
		cut, running := n.begin("cut"), n.begin("running")
		is.Equal(cut.BreakOff(t.Context()), quarantiner.CrashID("a@1000"))
		is.Equal(running.BreakOff(t.Context()), quarantiner.CrashID("a@1000"))
		is.Equal(n.State().Crashes, uint64(1))
		is.Equal(n.probed, 1)
		is.True(bytes.Contains(n.log.Bytes(), []byte(`"running":2`)))
		is.True(!bytes.Contains(n.log.Bytes(), []byte("answered")))
		is.NoErr(n.Close())
	})
}

// TestOnlyRunsInCrash checks that a crash does not count against requests that the
// backend server answered, or never received, although they were in flight.
func TestOnlyRunsInCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newInstallation(refuse)
		cut, answered, unsent, left := n.begin("cut"), n.begin("answered"), n.begin("unsent"), n.begin("left")
		cut.BreakOff(t.Context())
		answered.End(detector.Answered)
		unsent.End(detector.NotReceived)
		left.End(detector.Abandoned)
		is.Equal(n.quarantiner.Status("cut"), quarantiner.Suspect)
		is.Equal(n.quarantiner.Status("answered"), quarantiner.Clear)
		is.Equal(n.quarantiner.Status("unsent"), quarantiner.Clear)
		is.Equal(n.quarantiner.Status("left"), quarantiner.Suspect)
		is.NoErr(n.Close())
	})
}

// TestCopyDoesNotAcquit guards against a crash that no longer counts against a request because
// another attempt with the same content was refused or not received, at this entry or another.
func TestCopyDoesNotAcquit(t *testing.T) {
	for name, ending := range map[string]detector.Ending{"refused": detector.Refused, "unsent": detector.NotReceived} {
		for _, after := range []time.Duration{0, time.Second} {
			t.Run(name+after.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					n, other := newInstallation(refuse), newInstallation(refuse)
					cause := n.Begin("1", "g", instance)
					local, remote := n.Begin("2", "g", instance), other.Begin("3", "g", instance)
					bystander := other.begin("cut")
					cause.BreakOff(t.Context())
					bystander.BreakOff(t.Context())
					time.Sleep(after)
					local.End(ending)
					is.Equal(n.quarantiner.Status("g"), quarantiner.Suspect)
					if after == 0 {
						remote.End(ending)
					} else {
						remote.BreakOff(t.Context())
					}
					records, _ := other.quarantiner.Records()
					n.quarantiner.Merge(records)
					is.Equal(n.quarantiner.Status("g"), quarantiner.Suspect)
					is.NoErr(n.Close())
					is.NoErr(other.Close())
				})
			})
		}
	}
}

// TestRefusalDoesNotDisproveCrash guards against a crash that no longer counts because the next
// incarnation at the address refuses a request.
func TestRefusalDoesNotDisproveCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newInstallation(refuse)
		n.begin("cut").BreakOff(t.Context())
		n.begin("refused").End(detector.Refused)
		is.Equal(n.quarantiner.Status("cut"), quarantiner.Suspect)
		is.NoErr(n.Close())
	})
}

// TestAnswerDisprovesCrash checks that a crash does not count if the backend server
// answers later, as one does that refused connections for another reason.
func TestAnswerDisprovesCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newInstallation(refuse)
		n.begin("cut").BreakOff(t.Context())
		is.Equal(n.quarantiner.Status("cut"), quarantiner.Suspect)
		n.begin("unsent").End(detector.NotReceived)
		is.Equal(n.quarantiner.Status("cut"), quarantiner.Suspect)
		n.begin("answered").End(detector.Answered)
		is.Equal(n.quarantiner.Status("cut"), quarantiner.Clear)
		is.NoErr(n.Close())
	})
}

// TestEvidence checks which events prove that the backend server of a broken attempt
// crashed.
func TestEvidence(t *testing.T) {
	later := instance
	later.ID, later.Started = "b", 2000
	leaving := instance
	leaving.Leaving = true
	restarted := instance
	restarted.Started = 2000
	tests := map[string]struct {
		connect func() error
		leaving bool
		after   time.Duration
		event   func(n *installation)
		crashes uint64
	}{
		"refused":           {connect: refuse, crashes: 1},
		"refused, leaving":  {connect: refuse, leaving: true},
		"connected":         {connect: accept},
		"unreachable":       {connect: silent},
		"same announcement": {connect: silent, event: func(n *installation) { n.Announced(instance) }},
		"unreachable, address taken over": {
			connect: silent, after: 10 * time.Second, event: func(n *installation) { n.Announced(later) }, crashes: 1,
		},
		"unreachable, restarted": {
			connect: silent,
			after:   10 * time.Second,
			event:   func(n *installation) { n.Announced(restarted) },
			crashes: 1,
		},
		"unreachable, restarted much later": {
			connect: silent, after: time.Minute, event: func(n *installation) { n.Announced(restarted) },
		},
		"connected to a restarted one": {
			connect: accept, after: 3 * time.Second,
			event: func(n *installation) { n.Announced(restarted) }, crashes: 1,
		},
		"connected, answers, restarted later": {
			connect: accept, after: 3 * time.Second, event: func(n *installation) {
				n.begin("answered").End(detector.Answered)
				n.Announced(restarted)
			},
		},
		"connected, announced that it leaves": {
			connect: accept, after: 3 * time.Second, event: func(n *installation) {
				n.Announced(leaving)
				n.Announced(later)
			},
		},
		"another one answers": {
			connect: accept, event: func(n *installation) { n.Replaced(instance.BackendIncarnation) }, crashes: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newInstallation(test.connect)
				n.leaving = test.leaving
				n.begin("cut").BreakOff(t.Context())
				time.Sleep(test.after)
				if test.event != nil {
					test.event(n)
				}
				is.Equal(n.State().Crashes, test.crashes)
				is.NoErr(n.Close())
			})
		})
	}
}

// TestLaterProbe checks that a connection that was opened before an attempt broke off
// does not count as proof that the backend server lives.
func TestLaterProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newInstallation(nil)
		n.connect = func() error {
			time.Sleep(10 * time.Millisecond)
			if n.probed == 1 {
				return nil
			}
			return syscall.ECONNREFUSED
		}
		first, second := n.begin("first"), n.begin("second")
		go first.BreakOff(t.Context())
		time.Sleep(5 * time.Millisecond)
		is.Equal(second.BreakOff(t.Context()), quarantiner.CrashID("a@1000"))
		is.Equal(n.probed, 2)
		is.NoErr(n.Close())
	})
}

// TestUnreachableDoesNotDelay guards against a backend server that is unreachable and
// delays the attempt that follows on another one, which clients wait for.
func TestUnreachableDoesNotDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newInstallation(func() error {
			time.Sleep(300 * time.Millisecond)
			return syscall.ECONNREFUSED
		})
		began := time.Now()
		is.Equal(n.begin("cut").BreakOff(t.Context()), quarantiner.CrashID(""))
		is.True(time.Since(began) <= 50*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		began = time.Now()
		is.Equal(n.begin("cut, caller leaves").BreakOff(ctx), quarantiner.CrashID(""))
		is.Equal(time.Since(began), 20*time.Millisecond)
		time.Sleep(2 * time.Second)
		is.Equal(n.State().Crashes, uint64(1))
		is.NoErr(n.Close())
	})
}

// TestPortClosesLate guards against a crash that is noticed late because the attempt broke
// off a moment before the port of the backend server closed.
func TestPortClosesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newInstallation(nil)
		n.connect = func() error {
			if n.probed == 1 {
				return nil
			}
			return syscall.ECONNREFUSED
		}
		is.Equal(n.begin("cut").BreakOff(t.Context()), quarantiner.CrashID(""))
		time.Sleep(200 * time.Millisecond)
		is.Equal(n.State().Crashes, uint64(1))
		is.Equal(n.quarantiner.Status("cut"), quarantiner.Suspect)
		is.Equal(n.probed, 2)
		is.NoErr(n.Close())
	})
}

// TestOtherEntrySeesCrash guards against an entry that sent the cause of a crash and does
// not notice the crash, while another one lays it to requests that ran beside the cause.
func TestOtherEntrySeesCrash(t *testing.T) {
	tests := map[string]struct {
		leaving bool
		record  quarantiner.Record
		crashes uint64
	}{
		"crash":      {record: quarantiner.Record{Crash: "a@1000"}, crashes: 1},
		"taken back": {record: quarantiner.Record{Crash: "a@1000", Cleared: true}},
		"other one":  {record: quarantiner.Record{Crash: "a@2000"}},
		"expired":    {record: quarantiner.Record{Crash: "a@1000", At: time.Unix(1, 0)}},
		"leaving":    {leaving: true, record: quarantiner.Record{Crash: "a@1000"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newInstallation(silent)
				cut, running := n.begin("cut"), n.begin("running")
				cut.BreakOff(t.Context())
				n.leaving = test.leaving
				test.record.Fingerprint = "beside"
				if test.record.At.IsZero() {
					test.record.At = time.Now()
				}
				n.quarantiner.Merge([]quarantiner.Record{test.record})
				synctest.Wait()
				is.Equal(n.State().Crashes, test.crashes)
				is.Equal(len(n.quarantiner.Crashes("cut")), int(test.crashes))
				is.Equal(len(n.quarantiner.Crashes("running")), int(test.crashes))
				running.End(detector.Answered)
				is.Equal(len(n.quarantiner.Crashes("running")), 0)
				is.NoErr(n.Close())
			})
		})
	}
}
