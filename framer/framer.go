package framer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
)

// MaxFrameBytes is the maximum encoded size of one frame that Read accepts.
const MaxFrameBytes = 12 << 20

// Read decodes the next frame. It returns an error if the frame is larger than
// MaxFrameBytes.
func Read(r *bufio.Reader) (*Frame, error) {
	frame := &Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := options.UnmarshalFrom(r, frame); err != nil {
		return nil, err
	}
	return frame, nil
}

// Write encodes one frame, prefixed with its length, and writes it in a single call
// of w.Write.
func Write(w io.Writer, frame *Frame) error {
	_, err := protodelim.MarshalTo(w, frame)
	return err
}
