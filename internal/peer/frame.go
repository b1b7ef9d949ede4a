package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// maxPrefixBytes is the longest length prefix that a frame within
// MaxFrameBytes needs.
const maxPrefixBytes = 3

// unknownKind counts frames whose body this version does not know.
const unknownKind = "unknown"

var frameBody = (&wire.Frame{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// kindOf names the body of a frame, as in wire.proto.
func kindOf(frame *wire.Frame) string {
	field := frame.ProtoReflect().WhichOneof(frameBody)
	if field == nil {
		return unknownKind
	}
	return string(field.Name())
}

// encodeFrame returns the frame after its length as a varint. It fails with
// fault.Invalid for a frame above MaxFrameBytes.
func encodeFrame(frame *wire.Frame) ([]byte, error) {
	size := proto.Size(frame)
	if size > MaxFrameBytes {
		return nil, fault.New(fault.Invalid, "frame %s of %d bytes is above the limit of %d", kindOf(frame), size, MaxFrameBytes)
	}
	encoded := make([]byte, 0, size+maxPrefixBytes)
	encoded = binary.AppendUvarint(encoded, uint64(size))
	encoded, err := proto.MarshalOptions{}.MarshalAppend(encoded, frame)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "encode frame %s", kindOf(frame))
	}
	return encoded, nil
}

// readFrame returns the next frame and the number of bytes it took. It fails
// with fault.Protocol for a malformed frame and with fault.Unavailable when
// the stream ends.
func readFrame(r *bufio.Reader) (*wire.Frame, int, error) {
	size, prefix, err := readPrefix(r)
	if err != nil {
		return nil, 0, err
	}
	// The buffer grows with the bytes that arrive, so that a peer cannot make
	// this process allocate by announcing a length.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return nil, 0, fault.Wrap(err, fault.Unavailable, "link ended within a frame")
	}
	frame := &wire.Frame{}
	if err := proto.Unmarshal(body.Bytes(), frame); err != nil {
		return nil, 0, fault.Wrap(err, fault.Protocol, "decode frame of %d bytes", size)
	}
	if frame.GetBody() == nil && len(frame.ProtoReflect().GetUnknown()) == 0 {
		return nil, 0, fault.New(fault.Protocol, "frame of %d bytes has no body", size)
	}
	return frame, prefix + int(size), nil
}

func readPrefix(r *bufio.Reader) (size uint64, n int, err error) {
	for shift := 0; n < maxPrefixBytes; shift += 7 {
		b, err := r.ReadByte()
		if errors.Is(err, io.EOF) && n == 0 {
			return 0, 0, fault.Wrap(err, fault.Unavailable, "peer closed the link")
		}
		if err != nil {
			return 0, 0, fault.Wrap(err, fault.Unavailable, "read length of a frame")
		}
		n++
		size |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return checkSize(size, n)
		}
	}
	return 0, 0, fault.New(fault.Protocol, "length of a frame takes more than %d bytes", maxPrefixBytes)
}

func checkSize(size uint64, n int) (uint64, int, error) {
	if size > MaxFrameBytes {
		return 0, 0, fault.New(fault.Protocol, "frame of %d bytes is above the limit of %d", size, MaxFrameBytes)
	}
	if size == 0 {
		return 0, 0, fault.New(fault.Protocol, "frame is empty")
	}
	return size, n, nil
}
