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

func prefixed(size uint64, body string) []byte {
	return append(binary.AppendUvarint(nil, size), body...)
}

// malformed are inputs that a link must not survive.
var malformed = map[string][]byte{
	"a length above the limit": prefixed(MaxFrameBytes+1, ""),
	"a length without an end":  {0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	"an empty frame":           prefixed(0, ""),
	"a frame without a body":   prefixed(2, "\x78\x01"),
	"bytes that are no frame":  prefixed(3, "\xff\xff\xff"),
}

var _ = Describe("a malformed frame closes its link only", func() {
	for name, input := range malformed {
		It(name, func() {
			server, accepted := start(listening())
			client, dialed := start(Config{})
			client.Dial(1, server.Addr().String())
			good := accepted.up(1)
			raw, err := net.Dial("tcp", server.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			p, err := client.open(context.Background(), raw, true)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(p.close)
			bad := accepted.up(2)
			// The server may end the session before yamux reports the write as
			// done; that the input arrived shows in the kind of the failure.
			_, _ = p.stream.Write(input)
			Expect(accepted.down(bad)).To(Equal(fault.Protocol))
			client.Send(1, hint(4), false)
			Eventually(accepted.log(good)).Should(Equal([]string{"up", "4"}))
			Expect(dialed.log(1)()).To(Equal([]string{"up"}))
		})
	}

	It("a second stream", func() {
		server, accepted := start(listening())
		client, _ := start(Config{})
		raw, err := net.Dial("tcp", server.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		p, err := client.open(context.Background(), raw, true)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.close)
		id := accepted.up(1)
		// As above, the server may end the session before this returns.
		_, _ = p.session.OpenStream()
		Expect(accepted.down(id)).To(Equal(fault.Protocol))
	})
})

var _ = It("skips a body of a newer version, so that a rolling upgrade keeps its links", func() {
	server, accepted := start(listening())
	client, _ := start(Config{})
	raw, err := net.Dial("tcp", server.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	p, err := client.open(context.Background(), raw, true)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.close)
	known, err := encodeFrame(hint(3))
	Expect(err).NotTo(HaveOccurred())
	newer := prefixed(4, "\xa2\x06\x01x")
	_, err = p.stream.Write(append(newer, known...))
	Expect(err).NotTo(HaveOccurred())
	Eventually(accepted.log(accepted.up(1))).Should(Equal([]string{"up", "3"}))
	Expect(server.Stats().Received[unknownKind]).To(Equal(Count{Frames: 1, Bytes: 5}))
})

// FuzzReadFrame guards against input that crashes the reader, that it fails
// on without a type, or that it reads differently from what was sent.
func FuzzReadFrame(f *testing.F) {
	for _, input := range malformed {
		f.Add(input)
	}
	for _, frame := range []*wire.Frame{
		hint(1),
		snapshot(2, 300),
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
				t.Fatalf("kind of %v", err)
			}
			return
		}
		if n > len(input) || n > MaxFrameBytes+maxPrefixBytes {
			t.Fatalf("read %d bytes of %d", n, len(input))
		}
		encoded, err := encodeFrame(frame)
		if err != nil {
			t.Fatal(err)
		}
		again, _, err := readFrame(bufio.NewReader(bytes.NewReader(encoded)))
		if err != nil || !proto.Equal(frame, again) {
			t.Fatalf("frame changed: %v", err)
		}
	})
}
