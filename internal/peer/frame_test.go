package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

func withLengthPrefix(size uint64, body string) []byte {
	return append(binary.AppendUvarint(nil, size), body...)
}

// malformedFrames are inputs that must close the link.
var malformedFrames = map[string][]byte{
	"a length above the limit": withLengthPrefix(MaxFrameBytes+1, ""),
	"an unterminated length":   {0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	"an empty frame":           withLengthPrefix(0, ""),
	"a frame without a body":   withLengthPrefix(2, "\x78\x01"),
	"invalid protobuf bytes":   withLengthPrefix(3, "\xff\xff\xff"),
}

var _ = Describe("a malformed frame closes only the link that it arrived on", func() {
	for name, input := range malformedFrames {
		It(name, func() {
			server, accepted := startTransport(listenerConfig())
			client, dialed := startTransport(Config{})
			client.Dial(1, server.Addr().String())
			good := accepted.waitUp(1)
			raw, err := net.Dial("tcp", server.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			conn, err := client.open(context.Background(), raw, true)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.close)
			bad := accepted.waitUp(2)
			// The server may end the session before Write returns, so the error
			// of Write is ignored. The kind of the server's error shows that the
			// input arrived.
			_, _ = conn.stream.Write(input)
			Expect(accepted.waitDown(bad)).To(Equal(fault.Protocol))
			client.Send(1, commitHint(4), false)
			Eventually(accepted.eventsOf(good)).Should(Equal([]string{"up", "4"}))
			Expect(dialed.eventsOf(1)()).To(Equal([]string{"up"}))
		})
	}

	It("a second yamux stream", func() {
		server, accepted := startTransport(listenerConfig())
		client, _ := startTransport(Config{})
		raw, err := net.Dial("tcp", server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		conn, err := client.open(context.Background(), raw, true)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.close)
		id := accepted.waitUp(1)
		// The server may end the session before OpenStream returns.
		_, _ = conn.session.OpenStream()
		Expect(accepted.waitDown(id)).To(Equal(fault.Protocol))
	})
})

var _ = It("ignores a frame body of a newer version, so that links stay open during a rolling upgrade", func() {
	server, accepted := startTransport(listenerConfig())
	client, _ := startTransport(Config{})
	raw, err := net.Dial("tcp", server.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	conn, err := client.open(context.Background(), raw, true)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.close)
	supported, err := encodeFrame(commitHint(3))
	Expect(err).NotTo(HaveOccurred())
	newer := withLengthPrefix(4, "\xa2\x06\x01x")
	_, err = conn.stream.Write(append(newer, supported...))
	Expect(err).NotTo(HaveOccurred())
	Eventually(accepted.eventsOf(accepted.waitUp(1))).Should(Equal([]string{"up", "3"}))
	Expect(server.Stats().Received[unknownKind]).To(Equal(Count{Frames: 1, Bytes: 5}))
})

// FuzzReadFrame guards against input that makes readFrame panic or fail with an
// unexpected kind of error, and against frames that change when they are
// encoded and read again.
func FuzzReadFrame(f *testing.F) {
	for _, input := range malformedFrames {
		f.Add(input)
	}
	for _, frame := range []*wire.Frame{
		commitHint(1),
		snapshotFrame(2, 300),
		{Body: &wire.Frame_Hello{Hello: &wire.Hello{Vm: "vm1", Incarnation: 7, Token: "t"}}},
		{Body: &wire.Frame_Redirect{Redirect: &wire.Redirect{PeerAddresses: []string{"a:1", "b:2"}}}},
		{Body: &wire.Frame_Ack{Ack: &wire.Ack{Revision: 9, Laggards: []*wire.Laggard{{Vm: "v"}}}}},
	} {
		encoded, err := encodeFrame(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
		f.Add(encoded[:len(encoded)/2])
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		frame, n, err := readFrame(bufio.NewReader(bytes.NewReader(input)))
		if err != nil {
			if !fault.Is(err, fault.Protocol) && !fault.Is(err, fault.Unavailable) {
				t.Fatalf("unexpected kind of error: %v", err)
			}
			return
		}
		if n > len(input) || n > MaxFrameBytes+maxPrefixBytes {
			t.Fatalf("readFrame reports %d bytes read from an input of %d bytes", n, len(input))
		}
		encoded, err := encodeFrame(frame)
		if err != nil {
			t.Fatal(err)
		}
		again, _, err := readFrame(bufio.NewReader(bytes.NewReader(encoded)))
		if err != nil || !proto.Equal(frame, again) {
			t.Fatalf("decoded frame differs from the encoded one: %v", err)
		}
	})
}
