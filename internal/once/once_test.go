package once_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/once"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "once")
}

// hookedTable passes writes through the function transact.
type hookedTable struct {
	platform.Table
	transact func(next platform.Table, writes []platform.Write) error
}

func (t *hookedTable) Transact(_ context.Context, writes []platform.Write) error {
	return t.transact(t.Table, writes)
}

// withTransact returns a change of the configuration that passes writes through
// transact.
func withTransact(transact func(platform.Table, []platform.Write) error) func(*once.Config) {
	return func(c *once.Config) {
		c.ReleaseRepeatDelay = 500 * time.Millisecond
		c.Table = &hookedTable{Table: c.Table, transact: transact}
	}
}

// testTimeout is the time within which expected events must happen.
const testTimeout = 60 * time.Second

func key(name string) once.Key { return once.Key{Service: "order", Value: name} }

var _ = Describe("the batcher", func() {
	var (
		ctx    context.Context
		fake   *standin.Server
		server *httptest.Server
	)
	BeforeEach(func() {
		ctx = context.Background()
		fake = standin.New()
		server = httptest.NewServer(fake)
		DeferCleanup(server.Close)
	})

	newBatcher := func(change func(*once.Config)) *once.Batcher {
		store, err := platform.NewAWS(platform.AWSConfig{
			Region: "eu-central-1", TableEndpoint: server.URL, ObjectsEndpoint: server.URL,
			Table: standin.DefaultTable, Bucket: standin.DefaultBucket,
			AccessKey: "test", SecretKey: "test", Timeout: testTimeout, DialTimeout: testTimeout,
		})
		Expect(err).NotTo(HaveOccurred())
		cfg := once.Config{
			Table: store.Table, Random: rand.New(rand.NewPCG(1, 1)), Holder: "vm",
			WritesPerSecond: 10000, Timeout: testTimeout, MinBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond,
		}
		if change != nil {
			change(&cfg)
		}
		b := once.New(cfg)
		DeferCleanup(func() {
			fake.SetFaults(standin.Faults{})
			end, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			Expect(b.Close(end)).To(Succeed())
		})
		return b
	}

	claim := func(b *once.Batcher, name string) once.Grant {
		GinkgoHelper()
		grant, err := b.Claim(ctx, key(name), "digest")
		Expect(err).NotTo(HaveOccurred())
		return grant
	}

	// waitForBackground waits until the background writer has no jobs.
	waitForBackground := func(b *once.Batcher) {
		GinkgoHelper()
		Eventually(func() int { return b.Stats().Background }).WithTimeout(testTimeout).Should(BeZero())
	}

	It("guards against a second run, a lost response, and a claim that still exists after its release", func() {
		a, b := newBatcher(nil), newBatcher(nil)
		first := claim(a, "k")
		Expect(first.Decision).To(Equal(once.Granted))
		Expect(claim(b, "k").Decision).To(Equal(once.InDoubt))

		response := once.Response{Status: 201, ContentType: "application/json", Body: []byte(`{"serial":7}`)}
		a.Finish(key("k"), first.Attempt, response)
		waitForBackground(a)
		replay := claim(b, "k")
		Expect(replay.Decision).To(Equal(once.Replay))
		Expect(*replay.Response).To(Equal(response))

		second := claim(a, "released")
		a.Release(key("released"), second.Attempt)
		waitForBackground(a)
		Expect(claim(b, "released").Decision).To(Equal(once.Granted))
	})

	It("guards against a key that is reused for another request", func() {
		b := newBatcher(nil)
		first := claim(b, "k")
		_, err := b.Claim(ctx, key("k"), "another digest")
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
		b.Finish(key("k"), first.Attempt, once.Response{Status: 200})
		waitForBackground(b)
		_, err = b.Claim(ctx, key("k"), "another digest")
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})

	DescribeTable("guards against invalid keys, which could be equal in the table",
		func(k once.Key, digest string) {
			_, err := newBatcher(nil).Claim(ctx, k, digest)
			Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
			Expect(fake.Stats().Operations).To(BeEmpty())
		},
		Entry("no key", once.Key{Service: "order"}, "d"),
		Entry("no service", once.Key{Value: "k"}, "d"),
		Entry("a slash in the service", once.Key{Service: "a/b", Value: "k"}, "d"),
		Entry("a long key", once.Key{Service: "order", Value: string(make([]byte, once.MaxKeyBytes+1))}, "d"),
		Entry("a key that is not UTF-8", once.Key{Service: "order", Value: "\xff"}, "d"),
	)

	It("guards against a response that is too large, which would make the batch of other responses fail", func() {
		b := newBatcher(nil)
		large, small := claim(b, "large"), claim(b, "small")
		b.Finish(key("large"), large.Attempt, once.Response{Status: 200, Body: make([]byte, once.MaxResponseBodyBytes+1)})
		b.Finish(key("small"), small.Attempt, once.Response{Status: 200, Body: make([]byte, once.MaxResponseBodyBytes)})
		waitForBackground(b)
		Expect(claim(b, "large").Decision).To(Equal(once.InDoubt))
		Expect(claim(b, "small").Decision).To(Equal(once.Replay))
	})

	// claimAll claims all keys concurrently from all batchers, each key repeats
	// times per batcher, and counts the grants and the errors of each key.
	claimAll := func(batchers []*once.Batcher, prefix string, keys, repeats int) (grants, failures []atomic.Int32) {
		grants, failures = make([]atomic.Int32, keys), make([]atomic.Int32, keys)
		var claims sync.WaitGroup
		for i := range keys {
			for n := range repeats * len(batchers) {
				claims.Go(func() {
					b := batchers[n%len(batchers)]
					grant, err := b.Claim(ctx, key(fmt.Sprint(prefix, i)), "digest")
					if err != nil {
						failures[i].Add(1)
					} else if grant.Decision == once.Granted {
						grants[i].Add(1)
					}
				})
			}
		}
		claims.Wait()
		return grants, failures
	}

	DescribeTable("guards against two grants of one key",
		func(faults standin.Faults) {
			const waves, keys = 40, 5
			a, b := newBatcher(nil), newBatcher(nil)
			fake.SetFaults(faults)
			for wave := range waves {
				grants, failures := claimAll([]*once.Batcher{a, b}, fmt.Sprint(wave, "-"), keys, 2)
				for i := range keys {
					Expect(grants[i].Load()).To(BeNumerically("<=", 1), "wave %d, key %d", wave, i)
					if failures[i].Load() == 0 {
						Expect(grants[i].Load()).To(BeNumerically("==", 1), "wave %d, key %d", wave, i)
					}
				}
			}
			if faults == (standin.Faults{}) {
				Expect(a.Stats().Failed + b.Stats().Failed).To(BeZero())
			}
		},
		Entry("on a healthy platform", standin.Faults{}),
		Entry("with lost responses", standin.Faults{LoseResponseRate: 0.4}),
		Entry("with internal errors after the write", standin.Faults{InternalErrorNext: 3}),
		Entry("with throttling", standin.Faults{ThrottleRate: 0.4}),
		Entry("with lost responses, throttling and latency", standin.Faults{LoseResponseRate: 0.3, ThrottleRate: 0.2, LatencyMillis: 10, ResponseLatencyMillis: 10}),
		Entry("in an outage", standin.Faults{Outage: true}),
		Entry("with closed connections", standin.Faults{DropConnections: true}),
	)

	It("guards against a claim that fails although it was written and only its response was lost", func() {
		b := newBatcher(nil)
		fake.SetFaults(standin.Faults{LoseResponseNext: 1})
		Expect(claim(b, "k").Decision).To(Equal(once.Granted))
		Expect(claim(b, "k").Decision).To(Equal(once.InDoubt))
		Expect(fake.Stats().LostResponses).To(BeEquivalentTo(1))
	})

	It("guards against a grant after a failed condition whose response was lost", func() {
		other := newBatcher(nil)
		hooked := newBatcher(withTransact(func(next platform.Table, writes []platform.Write) error {
			_ = next.Transact(ctx, writes)
			return fault.New(fault.UnknownOutcome, "the response was lost")
		}))
		Expect(claim(other, "k").Decision).To(Equal(once.Granted))
		Expect(claim(hooked, "k").Decision).To(Equal(once.InDoubt))
	})

	It("guards against a claim that is written after its release and blocks the key forever", func() {
		var delayed atomic.Pointer[[]platform.Write]
		var table platform.Table
		other := newBatcher(func(c *once.Config) { table = c.Table })
		hooked := newBatcher(withTransact(func(next platform.Table, writes []platform.Write) error {
			if writes[0].Op == platform.Delete {
				return next.Transact(ctx, writes)
			}
			delayed.Store(&writes)
			return fault.New(fault.UnknownOutcome, "the write is delayed")
		}))
		_, err := hooked.Claim(ctx, key("k"), "digest")
		Expect(fault.KindOf(err)).To(Equal(fault.Unavailable))
		Eventually(func() uint64 { return hooked.Stats().Released }).WithTimeout(testTimeout).Should(BeEquivalentTo(1))
		Expect(table.Transact(ctx, *delayed.Load())).To(Succeed())
		waitForBackground(hooked)
		Expect(claim(other, "k").Decision).To(Equal(once.Granted))
	})

	It("guards against a second grant of a key whose claim is written after the timeout", func() {
		shortTimeout := newBatcher(func(c *once.Config) { c.Timeout, c.ReleaseRepeatDelay = 200*time.Millisecond, 500*time.Millisecond })
		other := newBatcher(nil)
		fake.SetFaults(standin.Faults{LatencyMillis: 400})
		grant, err := shortTimeout.Claim(ctx, key("late"), "digest")
		Expect(fault.KindOf(err)).To(Equal(fault.Unavailable))
		Expect(grant.Decision).To(BeZero())
		fake.SetFaults(standin.Faults{})
		// The delayed writes may hold the key until the release is repeated.
		Eventually(func() once.Decision { return claim(other, "late").Decision }).WithTimeout(testTimeout).Should(Equal(once.Granted))
		waitForBackground(shortTimeout)
		Expect(claim(other, "late").Decision).To(Equal(once.InDoubt))
	})

	It("guards against a repeated release that deletes the claim of the next attempt", func() {
		a, b := newBatcher(nil), newBatcher(nil)
		first := claim(a, "k")
		fake.SetFaults(standin.Faults{LoseResponseNext: 1})
		a.Release(key("k"), first.Attempt)
		waitForBackground(a)
		Expect(claim(b, "k").Decision).To(Equal(once.Granted))
		a.Release(key("k"), first.Attempt)
		a.Finish(key("k"), first.Attempt, once.Response{Status: 200})
		waitForBackground(a)
		Expect(claim(a, "k").Decision).To(Equal(once.InDoubt))
	})

	It("guards against responses and releases that are lost in an outage", func() {
		b := newBatcher(nil)
		stored, released := claim(b, "kept"), claim(b, "released")
		fake.SetFaults(standin.Faults{Outage: true})
		b.Finish(key("kept"), stored.Attempt, once.Response{Status: 200})
		b.Release(key("released"), released.Attempt)
		before := fake.Stats().Refused
		Eventually(func() uint64 { return fake.Stats().Refused }).WithTimeout(testTimeout).Should(BeNumerically(">", before+2))
		fake.SetFaults(standin.Faults{})
		waitForBackground(b)
		Expect(claim(b, "kept").Decision).To(Equal(once.Replay))
		Expect(claim(b, "released").Decision).To(Equal(once.Granted))
		Expect(b.Stats().Dropped).To(BeZero())
	})

	It("guards against a claim that is not released after its caller stopped waiting", func() {
		b := newBatcher(nil)
		fake.SetFaults(standin.Faults{ResponseLatencyMillis: 3000})
		cancelable, cancel := context.WithCancel(ctx)
		go func() {
			defer GinkgoRecover()
			defer cancel()
			Eventually(func() uint64 { return fake.Stats().ItemWrites }).WithTimeout(testTimeout).Should(BeEquivalentTo(1))
		}()
		_, err := b.Claim(cancelable, key("k"), "digest")
		Expect(fault.KindOf(err)).To(Equal(fault.Timeout))
		fake.SetFaults(standin.Faults{})
		Eventually(func() uint64 { return b.Stats().Released }).WithTimeout(testTimeout).Should(BeEquivalentTo(1))
		Expect(claim(b, "k").Decision).To(Equal(once.Granted))
	})

	It("guards against a separate transaction for each claim", func() {
		b := newBatcher(func(c *once.Config) { c.BatchWindow = 500 * time.Millisecond })
		grants, _ := claimAll([]*once.Batcher{b}, "", 250, 1)
		for i := range grants {
			Expect(grants[i].Load()).To(BeNumerically("==", 1))
		}
		Expect(b.Stats().Writes).To(BeEquivalentTo(250))
		Expect(fake.Stats().Operations["TransactWriteItems"]).To(BeNumerically("<=", 10))
	})

	It("guards against an unbounded queue while the platform does not respond", func() {
		b := newBatcher(func(c *once.Config) { c.QueueLimit = 3 })
		fake.SetFaults(standin.Faults{LatencyMillis: 1000})
		var claims sync.WaitGroup
		var overloaded atomic.Int32
		for i := range 200 {
			claims.Go(func() {
				_, err := b.Claim(ctx, key(fmt.Sprint(i)), "digest")
				if fault.Is(err, fault.Overloaded) {
					overloaded.Add(1)
				}
			})
		}
		claims.Wait()
		Expect(overloaded.Load()).To(BeNumerically(">", 0))
	})

	It("guards against more writes per second than the limit", func() {
		b := newBatcher(func(c *once.Config) { c.WritesPerSecond = 20 })
		start := time.Now()
		claimAll([]*once.Batcher{b}, "", 60, 1)
		// 20 claims are written immediately and 40 at 20 per second.
		Expect(time.Since(start)).To(BeNumerically(">=", 1900*time.Millisecond))
		Expect(fake.Stats().ItemWrites).To(BeEquivalentTo(60))
	})

	It("guards against queued work that Close loses, and against claims that are accepted after Close", func() {
		b := newBatcher(nil)
		first, second := claim(b, "a"), claim(b, "b")
		b.Finish(key("a"), first.Attempt, once.Response{Status: 200})
		b.Release(key("b"), second.Attempt)
		Expect(b.Close(ctx)).To(Succeed())
		Expect(b.Stats().Stored).To(BeEquivalentTo(1))
		Expect(b.Stats().Released).To(BeEquivalentTo(1))
		_, err := b.Claim(ctx, key("c"), "digest")
		Expect(fault.KindOf(err)).To(Equal(fault.NotReady))
	})

	It("guards against a Close that blocks while the platform is down", func() {
		b := newBatcher(nil)
		grant := claim(b, "a")
		fake.SetFaults(standin.Faults{Outage: true})
		b.Release(key("a"), grant.Attempt)
		end, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		Expect(fault.KindOf(b.Close(end))).To(Equal(fault.Timeout))
		Eventually(func() uint64 { return b.Stats().Dropped }).WithTimeout(testTimeout).Should(BeEquivalentTo(1))
	})
})
