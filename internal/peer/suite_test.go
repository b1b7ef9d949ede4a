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

// deadline is generous, so that a busy machine does not change a verdict.
const deadline = 60 * time.Second

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(deadline)
	RunSpecs(t, "peer")
}

// recorder is a Handler that keeps what it receives.
type recorder struct {
	mu     sync.Mutex
	events map[LinkID][]string
	frames map[LinkID][]*wire.Frame
	ups    []LinkID
	downs  map[LinkID]error
	// onFrame, when set, is called from FrameReceived.
	onFrame func(LinkID, *wire.Frame)
}

func newRecorder() *recorder {
	return &recorder{events: map[LinkID][]string{}, frames: map[LinkID][]*wire.Frame{}, downs: map[LinkID]error{}}
}

func (r *recorder) LinkUp(id LinkID, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[id] = append(r.events[id], "up")
	r.ups = append(r.ups, id)
}

func (r *recorder) LinkDown(id LinkID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[id] = append(r.events[id], "down")
	r.downs[id] = err
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

func (r *recorder) log(id LinkID) func() []string {
	return func() []string {
		r.mu.Lock()
		defer r.mu.Unlock()
		return append([]string(nil), r.events[id]...)
	}
}

func (r *recorder) upCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ups)
}

func (r *recorder) downCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.downs)
}

// down waits for the end of the link and returns its error's kind.
func (r *recorder) down(id LinkID) fault.Kind {
	GinkgoHelper()
	Eventually(r.log(id)).Should(ContainElement("down"))
	r.mu.Lock()
	defer r.mu.Unlock()
	return fault.KindOf(r.downs[id])
}

// up waits for the nth link to come up and returns its ID.
func (r *recorder) up(n int) LinkID {
	GinkgoHelper()
	Eventually(r.upCount).Should(BeNumerically(">=", n))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ups[n-1]
}

// start runs a transport until the end of the spec.
func start(config Config) (*Yamux, *recorder) {
	GinkgoHelper()
	r := newRecorder()
	config.Handler = r
	if config.DialTimeout == 0 {
		config.DialTimeout = deadline
	}
	y, err := New(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(y.Close)
	return y, r
}

func listening() Config { return Config{Listen: "127.0.0.1:0"} }

// hint is a small frame that its clock identifies.
func hint(clock uint64) *wire.Frame {
	return &wire.Frame{Clock: clock, Body: &wire.Frame_CommitHint{CommitHint: &wire.CommitHint{Revision: clock}}}
}

// snapshot is a frame of about n bytes.
func snapshot(clock uint64, n int) *wire.Frame {
	return &wire.Frame{Clock: clock, Body: &wire.Frame_Snapshot{Snapshot: &wire.Snapshot{State: make([]byte, n)}}}
}
