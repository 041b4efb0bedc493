package framer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
)

// MaxFrameBytes bounds the encoded size of one frame.
const MaxFrameBytes = 12 << 20

// Read decodes the next frame. A frame above MaxFrameBytes is an error.
func Read(r *bufio.Reader) (*Frame, error) {
	frame := &Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := options.UnmarshalFrom(r, frame); err != nil {
		return nil, err
	}
	return frame, nil
}

// Write encodes one frame with its length in front, in a single write.
func Write(w io.Writer, frame *Frame) error {
	_, err := protodelim.MarshalTo(w, frame)
	return err
}
