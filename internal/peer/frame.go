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

// maxPrefixBytes is the length, in bytes, of the varint prefix of a frame of
// MaxFrameBytes.
const maxPrefixBytes = 3

// unknownKind is the kind of frames whose body type this version does not
// support.
const unknownKind = "unknown"

var frameBodyOneof = (&wire.Frame{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// frameKind returns the field name of the frame's body in wire.proto, or
// unknownKind.
func frameKind(frame *wire.Frame) string {
	field := frame.ProtoReflect().WhichOneof(frameBodyOneof)
	if field == nil {
		return unknownKind
	}
	return string(field.Name())
}

// encodeFrame returns the encoded frame, prefixed with its length as a varint.
// It fails with fault.Invalid for a frame larger than MaxFrameBytes.
func encodeFrame(frame *wire.Frame) ([]byte, error) {
	size := proto.Size(frame)
	if size > MaxFrameBytes {
		return nil, fault.New(fault.Invalid, "frame %s of %d bytes is above the limit of %d", frameKind(frame), size, MaxFrameBytes)
	}
	encoded := make([]byte, 0, size+maxPrefixBytes)
	encoded = binary.AppendUvarint(encoded, uint64(size))
	encoded, err := proto.MarshalOptions{}.MarshalAppend(encoded, frame)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "encode frame %s", frameKind(frame))
	}
	return encoded, nil
}

// readFrame returns the next frame and the number of bytes read. It fails
// with fault.Protocol for a malformed frame and with fault.Unavailable when
// the stream ends.
func readFrame(r *bufio.Reader) (*wire.Frame, int, error) {
	size, prefix, err := readPrefix(r)
	if err != nil {
		return nil, 0, err
	}
	// The buffer grows with the bytes that arrive, so that a peer cannot make
	// this process allocate memory by sending a large length prefix.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return nil, 0, fault.Wrap(err, fault.Unavailable, "connection ended inside a frame")
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
			return 0, 0, fault.Wrap(err, fault.Unavailable, "read length prefix of a frame")
		}
		n++
		size |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return checkSize(size, n)
		}
	}
	return 0, 0, fault.New(fault.Protocol, "length prefix of a frame is longer than %d bytes", maxPrefixBytes)
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
