package reserver_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/reserver"
)

const kib = carawaybeam.Bytes(1 << 10)

func TestReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := reserver.New(100*kib, 0)
		first, err := r.Reserve(t.Context(), 60*kib)
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, err = r.Reserve(ctx, 60*kib)
		is.True(errors.Is(err, reserver.ErrFull))
		is.Equal(time.Since(began), time.Second)
		// Small data goes on, and data that never fits is refused at once.
		_, err = r.Reserve(t.Context(), reserver.Free)
		is.NoErr(err)
		_, err = r.Reserve(t.Context(), 101*kib)
		is.True(errors.Is(err, reserver.ErrTooLarge))
		time.AfterFunc(time.Second, first)
		second, err := r.Reserve(t.Context(), 60*kib)
		is.NoErr(err)
		first() // Calling it again does nothing.
		is.Equal(r.State(), reserver.State{Limit: 100 * kib, Held: 60 * kib, Refused: 2})
		second()
		is.Equal(r.State().Held, carawaybeam.Bytes(0))
	})
}

func TestRead(t *testing.T) {
	const limit = 64 * kib
	tests := map[string]struct {
		data, length carawaybeam.Bytes
		err          error
		held         carawaybeam.Bytes
	}{
		"empty":                       {0, 0, nil, 0},
		"empty, unknown length":       {0, -1, nil, 0},
		"small":                       {kib, kib, nil, 0},
		"small, unknown length":       {kib, -1, nil, 0},
		"large":                       {limit, limit, nil, limit},
		"large, unknown length":       {limit, -1, nil, limit + limit/2},
		"too large":                   {limit + 1, limit + 1, reserver.ErrTooLarge, 0},
		"too large, unknown length":   {limit + 1, -1, reserver.ErrTooLarge, limit + limit/2},
		"ends too early":              {kib, 2 * kib, io.ErrUnexpectedEOF, 0},
		"ends too early behind Free":  {40 * kib, 41 * kib, io.ErrUnexpectedEOF, 41 * kib},
		"longer than its stated size": {20 * kib, kib, nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := reserver.New(1<<20, 0)
			whole := bytes.Repeat([]byte("x"), int(test.data))
			data, release, err := r.Read(t.Context(), bytes.NewReader(whole), test.length, limit)
			is.True(errors.Is(err, test.err))
			if err == nil {
				want := whole
				if test.length >= 0 {
					want = whole[:test.length]
				}
				is.True(bytes.Equal(data, want))
			}
			is.Equal(r.State().Held, test.held)
			release()
			is.Equal(r.State().Held, carawaybeam.Bytes(0))
		})
	}
}

// growthReader has no end, and records the sizes of the buffers that it is read into.
type growthReader struct {
	read  int
	sizes []int
}

func (r *growthReader) Read(p []byte) (int, error) {
	if size := r.read + len(p); len(r.sizes) == 0 || size != r.sizes[len(r.sizes)-1] {
		r.sizes = append(r.sizes, size)
	}
	r.read += len(p)
	return len(p), nil
}

// TestBuffersStayWithinReservation guards against a buffer for data of an unknown length that takes
// more memory than was reserved for it, also while it is copied to a larger one.
func TestBuffersStayWithinReservation(t *testing.T) {
	const limit = 8 << 20
	is := is.New(t)
	r, from := reserver.New(2*limit, 0), &growthReader{}
	_, release, err := r.Read(t.Context(), from, -1, limit)
	defer release()
	is.True(errors.Is(err, reserver.ErrTooLarge))
	reserved, before := int(r.State().Held), 0
	is.True(len(from.sizes) > 3)
	for _, size := range from.sizes {
		is.True(before+size <= reserved+2)
		before = size
	}
}

// TestUnknownLengthFitsLittleMemory guards against refusing small data of an unknown length because
// data of the largest size would not fit.
func TestUnknownLengthFitsLittleMemory(t *testing.T) {
	is := is.New(t)
	r := reserver.New(1<<20, 0)
	data, release, err := r.Read(t.Context(), strings.NewReader(strings.Repeat("x", 100<<10)), -1, 8<<20)
	is.NoErr(err)
	is.Equal(len(data), 100<<10)
	is.True(r.State().Held <= 1<<20)
	release()
	_, release, err = r.Read(t.Context(), strings.NewReader(strings.Repeat("x", 1<<20)), -1, 8<<20)
	is.True(errors.Is(err, reserver.ErrTooLarge))
	release()
}

// TestUnbounded checks that a Reserver without a limit reserves nothing.
func TestUnbounded(t *testing.T) {
	is := is.New(t)
	data, release, err := reserver.New(0, 0).Read(t.Context(), strings.NewReader(strings.Repeat("x", 1<<20)), -1, 1<<20)
	is.NoErr(err)
	is.Equal(len(data), 1<<20)
	release()
}
