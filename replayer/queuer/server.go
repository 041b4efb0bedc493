package queuer

import (
	"container/list"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/prefixer"
)

type (
	// Options configures a Server.
	Options struct {
		Clock *Clock
		// Slots is the maximum number of jobs that run at a time.
		Slots int
		// PromptRate is the rate of reading prompts in tokens per second.
		// Prompts are read one after the other.
		PromptRate float64
		// TokenTime is the time between two output tokens of a job that runs
		// alone. TokenTimePerJob is what each other running job adds to it.
		TokenTime       time.Duration
		TokenTimePerJob time.Duration
		// CacheCapacity is the maximum number of prefixes in the prefix cache.
		CacheCapacity int
	}

	// Job is one request at a backend server.
	Job struct {
		Prompt   carawaybeam.Tokens
		Output   carawaybeam.Tokens
		Prefixes []prefixer.Prefix
		// OnFirstToken and OnDone are called at the first token and at the
		// end of the answer, OnLost when the server is down or goes down before
		// that.
		OnFirstToken func()
		OnDone       func()
		OnLost       func()

		// Cached is the number of prompt tokens found in the prefix cache.
		Cached carawaybeam.Tokens
		// BetweenTokens is the time between two output tokens.
		BetweenTokens time.Duration
	}

	// Server simulates the queue and the prefix cache of one backend server.
	Server struct {
		options Options
		queue   []*Job
		jobs    []*Job
		running int
		reading bool
		// slowdown is the factor by which the server is slower than recorded.
		slowdown float64
		down     bool
		// incarnation counts outages. Calls scheduled before an outage are
		// dropped.
		incarnation int

		cache map[prefixer.Hash]*list.Element
		// recent lists the cached hashes, most recently used first.
		recent *list.List
		// changes collects the cache's changes since the last CacheEvent.
		changes prefixer.Event
	}
)

// New returns a Server without jobs and with an empty prefix cache.
func New(options Options) *Server {
	s := &Server{options: options, slowdown: 1}
	s.ClearCache()
	s.changes = prefixer.Event{}
	return s
}

// ClearCache empties the prefix cache. The next CacheEvent reports it.
func (s *Server) ClearCache() {
	s.cache = make(map[prefixer.Hash]*list.Element)
	s.recent = list.New()
	s.changes = prefixer.Event{Sequence: s.changes.Sequence, Cleared: true}
}

// CacheEvent returns the changes of the prefix cache since the last call.
func (s *Server) CacheEvent() prefixer.Event {
	event := s.changes
	event.Sequence++
	s.changes = prefixer.Event{Sequence: event.Sequence}
	return event
}

// SetSlowdown makes the server slower than recorded by a factor, 1 being the
// recorded speed. It applies to prompts and answers that start after the call.
func (s *Server) SetSlowdown(factor float64) { s.slowdown = factor }

// SetDown starts or ends an outage. At the start the server loses all jobs and
// its prefix cache; until the end it loses each job that arrives.
func (s *Server) SetDown(down bool) {
	s.down = down
	if !down {
		return
	}
	s.incarnation++
	lost := s.jobs
	s.jobs = nil
	s.queue, s.running, s.reading = nil, 0, false
	s.ClearCache()
	for _, job := range lost {
		s.options.Clock.After(0, job.OnLost)
	}
}

// Down reports whether the server has an outage.
func (s *Server) Down() bool { return s.down }

// Load returns the present load, as the server reports it.
func (s *Server) Load() carawaybeam.Load {
	load := carawaybeam.Load{Running: s.running, Waiting: len(s.queue)}
	for _, job := range s.queue {
		load.WaitingTokens += job.Prompt
	}
	return load
}

// Enqueue queues a job, or loses it if the server is down.
func (s *Server) Enqueue(job *Job) {
	if s.down {
		s.options.Clock.After(0, job.OnLost)
		return
	}
	s.jobs = append(s.jobs, job)
	s.queue = append(s.queue, job)
	s.startNext()
}

// startNext starts to read the next prompt if a slot is free and no other prompt
// is being read.
func (s *Server) startNext() {
	if s.reading || len(s.queue) == 0 || s.running >= s.options.Slots {
		return
	}
	job := s.queue[0]
	s.queue = s.queue[1:]
	s.running++
	s.reading = true
	job.Cached = s.lookUp(job.Prefixes)
	seconds := float64(job.Prompt-job.Cached) / s.options.PromptRate * s.slowdown
	s.after(time.Duration(seconds*float64(time.Second)), func() { s.answer(job) })
}

func (s *Server) answer(job *Job) {
	s.reading = false
	s.store(job.Prefixes)
	otherJobs := time.Duration(s.running-1) * s.options.TokenTimePerJob
	job.BetweenTokens = time.Duration(float64(s.options.TokenTime+otherJobs) * s.slowdown)
	job.OnFirstToken()
	s.after(time.Duration(job.Output)*job.BetweenTokens, func() { s.finish(job) })
	s.startNext()
}

func (s *Server) finish(job *Job) {
	i := slices.Index(s.jobs, job)
	s.jobs = slices.Delete(s.jobs, i, i+1)
	s.running--
	job.OnDone()
	s.startNext()
}

// after schedules a call that is dropped if the server goes down before it.
func (s *Server) after(delay time.Duration, call func()) {
	incarnation := s.incarnation
	s.options.Clock.After(delay, func() {
		if s.incarnation == incarnation {
			call()
		}
	})
}

// lookUp returns the length of the longest cached prefix and marks the prefixes
// found as recently used.
func (s *Server) lookUp(prefixes []prefixer.Prefix) carawaybeam.Tokens {
	var cached carawaybeam.Tokens
	for _, p := range prefixes {
		element, ok := s.cache[p.Hash]
		if !ok {
			break
		}
		s.recent.MoveToFront(element)
		cached = p.Tokens
	}
	return cached
}

// store adds prefixes to the cache and evicts the least recently used ones.
func (s *Server) store(prefixes []prefixer.Prefix) {
	for _, p := range prefixes {
		if _, ok := s.cache[p.Hash]; ok {
			continue
		}
		s.cache[p.Hash] = s.recent.PushFront(p.Hash)
		s.changes.Stored = append(s.changes.Stored, p)
		if s.recent.Len() > s.options.CacheCapacity {
			oldest := s.recent.Back()
			evicted := s.recent.Remove(oldest).(prefixer.Hash)
			delete(s.cache, evicted)
			s.changes.Evicted = append(s.changes.Evicted, evicted)
		}
	}
}
