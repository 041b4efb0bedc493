// Package spooler holds what clients have not read yet of their streams, so that a stream is read
// from the backend server at the pace at which it is made. What is held is bounded for each stream
// and for all together. At a bound a stream takes nothing more and must be ended; other streams
// are not affected.
package spooler

import (
	"context"
	"errors"
	"sync"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/reserver"
)

// BlockSize is the unit in which memory is taken, in bytes. The first block of a stream is not
// reserved, so that clients that read at the pace of their stream are served while others use up
// the memory for all streams. The number of connections bounds these blocks.
const BlockSize = 4 << 10

// blockCapacity is how many bytes of a stream a block holds beside its size, so that a block takes no more memory
// than BlockSize.
const blockCapacity = BlockSize - 8

var (
	// ErrStreamFull reports that the client has left as much unread as one stream may hold.
	ErrStreamFull = errors.New("client has not read what one stream may hold")
	// ErrAllFull reports that the memory for all streams is in use and this stream needs more.
	ErrAllFull = errors.New("client has not read, and streams hold all their memory")

	errAborted = errors.New("stream was aborted")
)

// blocks holds blocks that are not in use.
var blocks = sync.Pool{New: func() any { return new(block) }}

type (
	// block is a part of a stream.
	block struct {
		data [blockCapacity]byte
		size int
	}

	// Writer writes to a client. Write and Flush block until the client reads.
	Writer interface {
		Write(data []byte) (int, error)
		// Flush sends everything written so far.
		Flush() error
		// Interrupt makes the current and all later calls of Write and Flush fail.
		Interrupt()
	}

	// Options configures a Spool.
	Options struct {
		Writer Writer
		// Limit is how many bytes the stream may hold. A single larger part is held alone, since a client
		// cannot read it before it is taken.
		Limit carawaybeam.Bytes
		// Memory bounds what all streams hold together.
		Memory *reserver.Reserver
		// Failed is called once, from another goroutine, if writing to the client fails.
		Failed func(err error)
	}

	// Spool holds what one client has not read yet. Append, Finish and Abort must be called
	// from one goroutine. One of the last two must be called.
	Spool struct {
		options Options
		// done is closed when the goroutine that writes to the client has ended.
		done chan struct{}
		// wake has a value when there is something to write or to finish.
		wake chan struct{}

		mu sync.Mutex
		// blocks holds what was not taken for writing, in order.
		blocks []*block
		// held is the number of bytes in blocks and in the block being written, and reserved
		// how many bytes of memory are reserved.
		held     int
		reserved carawaybeam.Bytes
		// writing is set while a block is being written.
		writing bool
		closing bool
		err     error
	}
)

// New returns a Spool and starts to write to the client what is appended.
func New(options Options) *Spool {
	s := &Spool{options: options, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go s.write()
	return s
}

// Append takes a part of the stream. It does not wait for the client. On an error nothing of the
// part is taken: ErrStreamFull, ErrAllFull or an error of the Writer. The caller must then call
// Abort or Finish.
func (s *Spool) Append(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return s.err
	case s.held > 0 && s.held+len(data) > int(s.options.Limit):
		return ErrStreamFull
	case !s.reserve(len(data)):
		return ErrAllFull
	}
	s.held += len(data)
	for len(data) > 0 {
		last := len(s.blocks) - 1
		if last < 0 || s.blocks[last].size == blockCapacity {
			s.blocks = append(s.blocks, newBlock())
			last++
		}
		b := s.blocks[last]
		n := copy(b.data[b.size:], data)
		b.size += n
		data = data[n:]
	}
	s.signal()
	return nil
}

// reserve reserves the memory for the blocks that size more bytes need. The caller holds mu.
func (s *Spool) reserve(size int) bool {
	count := len(s.blocks)
	if count > 0 {
		size -= blockCapacity - s.blocks[count-1].size
	}
	count += (max(0, size) + blockCapacity - 1) / blockCapacity
	if s.writing {
		count++
	}
	need := carawaybeam.Bytes(max(0, count-1)*BlockSize) - s.reserved
	if need <= 0 {
		return true
	}
	if !s.options.Memory.TryReserve(need) {
		return false
	}
	s.reserved += need
	return true
}

// release releases memory that is reserved and not needed. The caller holds mu.
func (s *Spool) release() {
	count := len(s.blocks)
	if s.writing {
		count++
	}
	if excess := s.reserved - carawaybeam.Bytes(max(0, count-1)*BlockSize); excess > 0 {
		s.options.Memory.Release(excess)
		s.reserved -= excess
	}
}

// newBlock returns an empty block.
func newBlock() *block {
	b, _ := blocks.Get().(*block)
	b.size = 0
	return b
}

func (s *Spool) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Held returns how many bytes the client has not read.
func (s *Spool) Held() carawaybeam.Bytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return carawaybeam.Bytes(s.held)
}

// Finish waits until everything has been written to the client and returns nil, or the error of the
// Writer. If ctx is done before, it interrupts the Writer and returns the error of ctx.
func (s *Spool) Finish(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.signal()
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-ctx.Done():
		s.abort(ctx.Err())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Abort interrupts the Writer and discards what the client has not read.
func (s *Spool) Abort() { s.abort(errAborted) }

func (s *Spool) abort(cause error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = cause
	}
	s.closing = true
	s.blocks = nil
	s.signal()
	s.mu.Unlock()
	s.options.Writer.Interrupt()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = 0
	s.release()
}

// write writes blocks to the client until the stream ends or fails.
func (s *Spool) write() {
	defer close(s.done)
	for {
		b, more, ok := s.next()
		switch {
		case !ok:
			return
		case b == nil:
			<-s.wake
			continue
		}
		_, err := s.options.Writer.Write(b.data[:b.size])
		if err == nil && !more {
			err = s.options.Writer.Flush()
		}
		s.written(b.size, err)
		blocks.Put(b)
	}
}

// next takes the next block for writing, or returns nil if there is none yet. more is set if there are
// others behind it. ok is false at the end.
func (s *Spool) next() (b *block, more, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.blocks) == 0 || s.err != nil {
		return nil, false, !s.closing && s.err == nil
	}
	b = s.blocks[0]
	s.blocks[0] = nil
	s.blocks = s.blocks[1:]
	s.writing = true
	return b, len(s.blocks) > 0, true
}

// written records that a block was written or could not be.
func (s *Spool) written(size int, err error) {
	s.mu.Lock()
	s.writing = false
	s.held -= size
	failed := err != nil && s.err == nil
	if failed {
		s.err = err
	}
	if s.err != nil {
		s.blocks, s.held = nil, 0
	}
	s.release()
	s.mu.Unlock()
	if failed && s.options.Failed != nil {
		s.options.Failed(err)
	}
}
