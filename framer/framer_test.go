package framer_test

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/carawaybeam/carawaybeam/framer"
)

func encode(tb testing.TB, frames ...*framer.Frame) []byte {
	tb.Helper()
	var b bytes.Buffer
	for _, frame := range frames {
		if err := framer.Write(&b, frame); err != nil {
			tb.Fatal(err)
		}
	}
	return b.Bytes()
}

func TestFramesAreReadAsWritten(t *testing.T) {
	is := is.New(t)
	frames := []*framer.Frame{
		{ConfigVersion: 7, Body: &framer.Frame_Dispatch{Dispatch: &framer.Dispatch{Attempt: "a", Body: []byte("b")}}},
		{Body: &framer.Frame_Tail{Tail: &framer.Tail{Attempt: "a", Total: 3, Checksum: 1}}},
		{},
	}
	r := bufio.NewReader(bytes.NewReader(encode(t, frames...)))
	for _, want := range frames {
		got, err := framer.Read(r)
		is.NoErr(err)
		is.True(proto.Equal(got, want))
	}
	_, err := framer.Read(r)
	is.True(err != nil)
}

func TestOversizeFrameIsRefused(t *testing.T) {
	is := is.New(t)
	// The length prefix alone is refused, before a buffer of that size is read.
	length := []byte{0xff, 0xff, 0xff, 0xff, 0x0f}
	_, err := framer.Read(bufio.NewReader(bytes.NewReader(length)))
	is.True(err != nil)
}

func FuzzRead(f *testing.F) {
	f.Add(encode(f, &framer.Frame{Body: &framer.Frame_Chunk{Chunk: &framer.Chunk{Attempt: "a", Data: []byte("x")}}}))
	f.Add(encode(f, &framer.Frame{Body: &framer.Frame_Propose{Propose: &framer.Propose{Group: "g", Step: 1 << 40}}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 1, 2})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := framer.Read(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		again, err := framer.Read(bufio.NewReader(bytes.NewReader(encode(t, frame))))
		if err != nil || !proto.Equal(frame, again) {
			t.Errorf("frame changed when written and read again: %v", err)
		}
	})
}
