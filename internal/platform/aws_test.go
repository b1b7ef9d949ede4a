package platform_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

// testTimeout is the timeout of operations that are expected to succeed.
const testTimeout = 30 * time.Second

func connect(endpoint string, timeout time.Duration) *platform.Store {
	store, err := platform.NewAWS(platform.AWSConfig{
		Region: "eu-central-1", TableEndpoint: endpoint, ObjectsEndpoint: endpoint,
		Table: standin.DefaultTable, Bucket: standin.DefaultBucket,
		AccessKey: "test", SecretKey: "test", Timeout: timeout, DialTimeout: timeout,
	})
	Expect(err).NotTo(HaveOccurred())
	return store
}

func put(sort string, rev uint64, condition platform.Condition, want uint64) platform.Write {
	item := platform.Item{Key: platform.Key{Partition: "p", Sort: sort}, Rev: rev, Body: []byte("body of " + sort)}
	return platform.Write{Op: platform.Put, Condition: condition, WantRev: want, Item: item}
}

func withOp(op platform.Op, w platform.Write) platform.Write {
	w.Op = op
	return w
}

// operations holds a call of each operation of the client.
var operations = map[string]func(context.Context, *platform.Store) error{
	"Get": func(ctx context.Context, s *platform.Store) error {
		_, err := s.Table.Get(ctx, platform.Key{Partition: "p", Sort: "x"})
		return err
	},
	"Query": func(ctx context.Context, s *platform.Store) error {
		_, err := s.Table.Query(ctx, "p", "", 10)
		return err
	},
	"Objects.Get": func(ctx context.Context, s *platform.Store) error {
		_, err := s.Objects.Get(ctx, "x")
		return err
	},
	"Transact of one put": func(ctx context.Context, s *platform.Store) error {
		return s.Table.Transact(ctx, []platform.Write{put("x", 1, platform.Always, 0)})
	},
	"Transact of one delete": func(ctx context.Context, s *platform.Store) error {
		return s.Table.Transact(ctx, []platform.Write{withOp(platform.Delete, put("x", 1, platform.Always, 0))})
	},
	"Transact of two": func(ctx context.Context, s *platform.Store) error {
		return s.Table.Transact(ctx, []platform.Write{put("x", 1, platform.Always, 0), put("y", 1, platform.Always, 0)})
	},
	"Objects.Put": func(ctx context.Context, s *platform.Store) error {
		return s.Objects.Put(ctx, "x", []byte("body"))
	},
}

var isWrite = map[string]bool{"Transact of one put": true, "Transact of one delete": true, "Transact of two": true, "Objects.Put": true}

var _ = Describe("the platform client", func() {
	var (
		ctx    context.Context
		fake   *standin.Server
		server *httptest.Server
		store  *platform.Store
	)
	BeforeEach(func() {
		ctx = context.Background()
		fake = standin.New()
		server = httptest.NewServer(fake)
		DeferCleanup(server.Close)
		store = connect(server.URL, testTimeout)
	})

	It("guards against items and objects that differ after they are written and read", func() {
		Expect(store.Table.Transact(ctx, []platform.Write{put("a", 1<<63, platform.IfAbsent, 0)})).To(Succeed())
		item, err := store.Table.Get(ctx, platform.Key{Partition: "p", Sort: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(item).To(Equal(put("a", 1<<63, platform.IfAbsent, 0).Item))
		_, err = store.Table.Get(ctx, platform.Key{Partition: "p", Sort: "b"})
		Expect(fault.KindOf(err)).To(Equal(fault.NotFound))

		Expect(store.Objects.Put(ctx, "snapshot/64", []byte{0, 1, 255})).To(Succeed())
		Expect(store.Objects.Get(ctx, "snapshot/64")).To(Equal([]byte{0, 1, 255}))
		_, err = store.Objects.Get(ctx, "snapshot/128")
		Expect(fault.KindOf(err)).To(Equal(fault.NotFound))
	})

	It("guards against a query that omits items at the end of a page or at the limit", func() {
		large := make([]byte, 300<<10)
		for i := range 9 {
			w := put(fmt.Sprintf("%02d", i), uint64(i), platform.Always, 0)
			w.Item.Body = large
			Expect(store.Table.Transact(ctx, []platform.Write{w})).To(Succeed())
		}
		sorts := func(after string, limit int) (keys []string) {
			items, err := store.Table.Query(ctx, "p", after, limit)
			Expect(err).NotTo(HaveOccurred())
			for i := range items {
				keys = append(keys, items[i].Key.Sort)
			}
			return keys
		}
		Expect(sorts("", 100)).To(Equal([]string{"00", "01", "02", "03", "04", "05", "06", "07", "08"}))
		Expect(sorts("02", 5)).To(Equal([]string{"03", "04", "05", "06", "07"}))
		Expect(sorts("08", 5)).To(BeEmpty())
	})

	DescribeTable("guards against a failed condition without its index in the error, and against a partly written transaction",
		func(writes []platform.Write, failed []int) {
			Expect(store.Table.Transact(ctx, []platform.Write{put("old", 7, platform.Always, 0)})).To(Succeed())
			err := store.Table.Transact(ctx, writes)
			if failed == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(fault.KindOf(err)).To(Equal(fault.ConditionFailed))
			Expect(platform.FailedWrites(err)).To(Equal(failed))
			items, err := store.Table.Query(ctx, "p", "", 10)
			Expect(err).NotTo(HaveOccurred())
			Expect(items).To(Equal([]platform.Item{put("old", 7, platform.Always, 0).Item}))
		},
		Entry("put if absent", []platform.Write{put("old", 8, platform.IfAbsent, 0)}, []int{0}),
		Entry("put if rev", []platform.Write{put("old", 8, platform.IfRev, 6)}, []int{0}),
		Entry("put if rev of an absent item", []platform.Write{put("new", 8, platform.IfRev, 0)}, []int{0}),
		Entry("delete if rev", []platform.Write{withOp(platform.Delete, put("old", 0, platform.IfRev, 6))}, []int{0}),
		Entry("a check alone", []platform.Write{withOp(platform.Check, put("old", 0, platform.IfAbsent, 0))}, []int{0}),
		Entry("two of four writes", []platform.Write{
			put("a", 1, platform.IfAbsent, 0), put("b", 1, platform.IfRev, 3),
			withOp(platform.Check, put("old", 0, platform.IfRev, 7)), withOp(platform.Delete, put("c", 0, platform.IfRev, 1)),
		}, []int{1, 3}),
		Entry("all conditions hold", []platform.Write{
			put("a", 1, platform.IfAbsent, 0), put("old", 8, platform.IfRev, 7), withOp(platform.Check, put("z", 0, platform.IfAbsent, 0)),
		}, nil),
		Entry("a delete whose condition holds", []platform.Write{withOp(platform.Delete, put("old", 0, platform.IfRev, 7))}, nil),
	)

	DescribeTable("guards against invalid transactions that are sent to the platform",
		func(writes []platform.Write) {
			err := store.Table.Transact(ctx, writes)
			Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
			Expect(fake.Stats().Operations).To(BeEmpty())
		},
		Entry("no writes", nil),
		Entry("too many writes", make([]platform.Write, platform.MaxTransactWrites+1)),
		Entry("an empty key", []platform.Write{put("", 1, platform.Always, 0)}),
		Entry("two writes of one key", []platform.Write{put("a", 1, platform.Always, 0), put("a", 2, platform.Always, 0)}),
		Entry("a check without condition", []platform.Write{withOp(platform.Check, put("a", 1, platform.Always, 0))}),
	)

	// expectKinds calls every operation and checks the kind of its error.
	expectKinds := func(s *platform.Store, faults standin.Faults, reads, writes fault.Kind) {
		GinkgoHelper()
		for name, call := range operations {
			fake.SetFaults(faults)
			want := reads
			if isWrite[name] {
				want = writes
			}
			Expect(fault.KindOf(call(ctx, s))).To(Equal(want), name)
		}
	}

	DescribeTable("guards against an error of the wrong kind when the outcome of a write is unknown",
		func(faults standin.Faults, timeout time.Duration, reads, writes fault.Kind) {
			expectKinds(connect(server.URL, timeout), faults, reads, writes)
		},
		Entry("an outage with error responses", standin.Faults{Outage: true}, testTimeout, fault.Unavailable, fault.Unavailable),
		Entry("throttling", standin.Faults{ThrottleRate: 1}, testTimeout, fault.Throttled, fault.Throttled),
		Entry("a closed connection", standin.Faults{DropConnections: true}, testTimeout, fault.Unavailable, fault.UnknownOutcome),
		Entry("a response after the timeout", standin.Faults{LatencyMillis: 1500}, 300*time.Millisecond, fault.Unavailable, fault.UnknownOutcome),
	)

	It("guards against a write that is reported as not carried out after a lost response or an internal error", func() {
		for name, call := range operations {
			if !isWrite[name] {
				continue
			}
			fake.SetFaults(standin.Faults{LoseResponseNext: 1})
			Expect(fault.KindOf(call(ctx, store))).To(Equal(fault.UnknownOutcome), name)
			fake.SetFaults(standin.Faults{InternalErrorNext: 1})
			Expect(fault.KindOf(call(ctx, store))).To(Equal(fault.UnknownOutcome), name)
		}
		_, err := store.Table.Get(ctx, platform.Key{Partition: "p", Sort: "y"})
		Expect(err).NotTo(HaveOccurred())
	})

	It("guards against retries by the SDK, which would hide that the first attempt took effect", func() {
		expectKinds(store, standin.Faults{Outage: true}, fault.Unavailable, fault.Unavailable)
		for name, count := range fake.Stats().Operations {
			want := uint64(1)
			Expect(count).To(Equal(want), name)
		}
	})

	It("guards against a refused connection that is reported as an unknown outcome", func() {
		server.Close()
		expectKinds(store, standin.Faults{}, fault.Unavailable, fault.Unavailable)
	})

	It("guards against an operation that is sent after its context has ended", func() {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		for name, call := range operations {
			Expect(fault.KindOf(call(ended, store))).To(Equal(fault.Unavailable), name)
		}
		Expect(fake.Stats().Operations).To(BeEmpty())
	})

	It("guards against an error that reports only the first missing setting", func() {
		_, err := platform.NewAWS(platform.AWSConfig{Region: "eu-central-1"})
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
		Expect(fault.As(err).Details).To(HaveLen(6))
	})
})

var _ = DescribeTable("guards against responses of the platform that are mapped to the wrong kind",
	func(status int, body string, reads, writes fault.Kind) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The handler reads the body so that the response does not interrupt
			// the request.
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", "application/x-amz-json-1.0")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}))
		defer server.Close()
		store := connect(server.URL, testTimeout)
		ctx := context.Background()
		Expect(fault.KindOf(operations["Get"](ctx, store))).To(Equal(reads))
		Expect(fault.KindOf(operations["Transact of two"](ctx, store))).To(Equal(writes))
	},
	Entry("a conflict with another transaction", 400,
		`{"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException","CancellationReasons":[{"Code":"None"},{"Code":"TransactionConflict"}]}`,
		fault.Throttled, fault.Throttled),
	Entry("a transaction with an invalid write", 400,
		`{"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException","CancellationReasons":[{"Code":"ConditionalCheckFailed"},{"Code":"ValidationError"}]}`,
		fault.Invalid, fault.Invalid),
	Entry("a missing table", 400, `{"__type":"com.amazonaws.dynamodb.v20120810#ResourceNotFoundException"}`, fault.Unavailable, fault.Unavailable),
	Entry("wrong credentials", 400, `{"__type":"com.amazon.coral.service#UnrecognizedClientException"}`, fault.Unauthorized, fault.Unauthorized),
	Entry("a gateway's 502", 502, `<html>bad gateway</html>`, fault.Unavailable, fault.UnknownOutcome),
	Entry("a response that is not valid JSON", 200, `{"Item":`, fault.Unavailable, fault.UnknownOutcome),
)
