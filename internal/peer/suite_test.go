package peer

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// testTimeout is long, so that a busy machine does not make a test fail.
const testTimeout = 60 * time.Second

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(testTimeout)
	RunSpecs(t, "peer")
}

// recorder is a Handler that records its calls.
type recorder struct {
	mu         sync.Mutex
	events     map[LinkID][]string
	frames     map[LinkID][]*wire.Frame
	upLinks    []LinkID
	downErrors map[LinkID]error
	// onFrame, when set, is called from FrameReceived.
	onFrame func(LinkID, *wire.Frame)
}

func newRecorder() *recorder {
	return &recorder{events: map[LinkID][]string{}, frames: map[LinkID][]*wire.Frame{}, downErrors: map[LinkID]error{}}
}

func (r *recorder) LinkUp(id LinkID, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[id] = append(r.events[id], "up")
	r.upLinks = append(r.upLinks, id)
}

func (r *recorder) LinkDown(id LinkID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[id] = append(r.events[id], "down")
	r.downErrors[id] = err
}

func (r *recorder) FrameReceived(id LinkID, frame *wire.Frame) {
	r.mu.Lock()
	r.events[id] = append(r.events[id], fmt.Sprint(frame.GetClock()))
	r.frames[id] = append(r.frames[id], frame)
	onFrame := r.onFrame
	r.mu.Unlock()
	if onFrame != nil {
		onFrame(id, frame)
	}
}

// eventsOf returns a function that returns the events of the link: "up", "down",
// and the clock of each received frame.
func (r *recorder) eventsOf(id LinkID) func() []string {
	return func() []string {
		r.mu.Lock()
		defer r.mu.Unlock()
		return append([]string(nil), r.events[id]...)
	}
}

func (r *recorder) upCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.upLinks)
}

func (r *recorder) downCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.downErrors)
}

// waitDown waits until the link has ended and returns the kind of its error.
func (r *recorder) waitDown(id LinkID) fault.Kind {
	GinkgoHelper()
	Eventually(r.eventsOf(id)).Should(ContainElement("down"))
	r.mu.Lock()
	defer r.mu.Unlock()
	return fault.KindOf(r.downErrors[id])
}

// waitUp waits until the nth link is open and returns its ID.
func (r *recorder) waitUp(n int) LinkID {
	GinkgoHelper()
	Eventually(r.upCount).Should(BeNumerically(">=", n))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upLinks[n-1]
}

// startTransport starts a transport and closes it at the end of the spec.
func startTransport(config Config) (*Yamux, *recorder) {
	GinkgoHelper()
	r := newRecorder()
	config.Handler = r
	if config.DialTimeout == 0 {
		config.DialTimeout = testTimeout
	}
	y, err := New(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(y.Close)
	return y, r
}

func listenerConfig() Config { return Config{Listen: "127.0.0.1:0"} }

// commitHint returns a small frame with the given clock.
func commitHint(clock uint64) *wire.Frame {
	return &wire.Frame{Clock: clock, Body: &wire.Frame_CommitHint{CommitHint: &wire.CommitHint{Revision: clock}}}
}

// snapshotFrame returns a frame of about n bytes.
func snapshotFrame(clock uint64, n int) *wire.Frame {
	return &wire.Frame{Clock: clock, Body: &wire.Frame_Snapshot{Snapshot: &wire.Snapshot{State: make([]byte, n)}}}
}
