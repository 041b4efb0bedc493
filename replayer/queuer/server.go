package queuer

import (
	"container/list"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/prefixer"
)

type (
	// Options is what a Server is made from.
	Options struct {
		Clock *Clock
		// Slots bounds the jobs that run at once.
		Slots int
		// PromptRate is the prompt tokens read in a second, one prompt after
		// the other.
		PromptRate float64
		// TokenTime is the time between two tokens of a job that runs alone,
		// and TokenTimeEach what each further one adds.
		TokenTime       time.Duration
		TokenTimePerJob time.Duration
		// CacheCapacity bounds the heads of prompts that are held.
		CacheCapacity int
	}

	// Job is one request with its recorded demand.
	Job struct {
		Prompt   carawaybeam.Tokens
		Output   carawaybeam.Tokens
		Prefixes []prefixer.Prefix
		// OnFirstToken, OnDone and OnLost tell the fate of the job.
		OnFirstToken func()
		OnDone       func()
		OnLost       func()

		// Cached is how much of the prompt was found in the cache.
		Cached carawaybeam.Tokens
		// BetweenTokens is the time between two tokens of the answer.
		BetweenTokens time.Duration
	}

	// Server is the queue of one backend server.
	Server struct {
		options Options
		queue   []*Job
		jobs    []*Job
		running int
		reading bool
		slow    float64
		down    bool
		life    int

		heads  map[prefixer.Hash]*list.Element
		recent *list.List
		// changes is what happened to the cache since the last CacheEvent.
		changes prefixer.Event
	}
)

// New returns a Server without jobs.
func New(options Options) *Server {
	s := &Server{options: options, slow: 1}
	s.ClearCache()
	s.changes = prefixer.Event{}
	return s
}

// ClearCache empties the prefix cache.
func (s *Server) ClearCache() {
	s.heads = make(map[prefixer.Hash]*list.Element)
	s.recent = list.New()
	s.changes = prefixer.Event{Sequence: s.changes.Sequence, Cleared: true}
}

// CacheEvent returns what happened to the prefix cache since the last call.
func (s *Server) CacheEvent() prefixer.Event {
	event := s.changes
	event.Sequence++
	s.changes = prefixer.Event{Sequence: event.Sequence}
	return event
}

// SetSlowdown makes the server so many times slower than recorded.
func (s *Server) SetSlowdown(factor float64) { s.slow = factor }

// SetDown loses all jobs and takes no more until it is undone.
func (s *Server) SetDown(down bool) {
	s.down = down
	if !down {
		return
	}
	s.life++
	lost := s.jobs
	s.jobs = nil
	s.queue, s.running, s.reading = nil, 0, false
	s.ClearCache()
	for _, job := range lost {
		s.options.Clock.After(0, job.OnLost)
	}
}

// Down tells whether the server takes no jobs.
func (s *Server) Down() bool { return s.down }

// Load returns what the server would report now.
func (s *Server) Load() carawaybeam.Load {
	load := carawaybeam.Load{Running: s.running, Waiting: len(s.queue)}
	for _, job := range s.queue {
		load.WaitingTokens += job.Prompt
	}
	return load
}

// Enqueue queues a job.
func (s *Server) Enqueue(job *Job) {
	if s.down {
		s.options.Clock.After(0, job.OnLost)
		return
	}
	s.jobs = append(s.jobs, job)
	s.queue = append(s.queue, job)
	s.start()
}

// start reads the next prompt if there is a free slot and none is being read.
func (s *Server) start() {
	if s.reading || len(s.queue) == 0 || s.running >= s.options.Slots {
		return
	}
	job := s.queue[0]
	s.queue = s.queue[1:]
	s.running++
	s.reading = true
	job.Cached = s.lookup(job.Prefixes)
	seconds := float64(job.Prompt-job.Cached) / s.options.PromptRate * s.slow
	s.after(time.Duration(seconds*float64(time.Second)), func() { s.answer(job) })
}

func (s *Server) answer(job *Job) {
	s.reading = false
	s.store(job.Prefixes)
	each := time.Duration(s.running-1) * s.options.TokenTimePerJob
	job.BetweenTokens = time.Duration(float64(s.options.TokenTime+each) * s.slow)
	job.OnFirstToken()
	s.after(time.Duration(job.Output)*job.BetweenTokens, func() { s.finish(job) })
	s.start()
}

func (s *Server) finish(job *Job) {
	i := slices.Index(s.jobs, job)
	s.jobs = slices.Delete(s.jobs, i, i+1)
	s.running--
	job.OnDone()
	s.start()
}

// after calls a function unless the server goes down before.
func (s *Server) after(wait time.Duration, call func()) {
	life := s.life
	s.options.Clock.After(wait, func() {
		if s.life == life {
			call()
		}
	})
}

func (s *Server) lookup(prefixes []prefixer.Prefix) carawaybeam.Tokens {
	var cached carawaybeam.Tokens
	for _, p := range prefixes {
		element, ok := s.heads[p.Hash]
		if !ok {
			break
		}
		s.recent.MoveToFront(element)
		cached = p.Tokens
	}
	return cached
}

func (s *Server) store(prefixes []prefixer.Prefix) {
	for _, p := range prefixes {
		if _, ok := s.heads[p.Hash]; ok {
			continue
		}
		s.heads[p.Hash] = s.recent.PushFront(p.Hash)
		s.changes.Stored = append(s.changes.Stored, p)
		if s.recent.Len() > s.options.CacheCapacity {
			oldest := s.recent.Back()
			evicted := s.recent.Remove(oldest).(prefixer.Hash)
			delete(s.heads, evicted)
			s.changes.Evicted = append(s.changes.Evicted, evicted)
		}
	}
}
