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

// generous bounds operations that are expected to succeed.
const generous = 30 * time.Second

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

func with(op platform.Op, w platform.Write) platform.Write {
	w.Op = op
	return w
}

// operations calls each operation of the adapter once.
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
		return s.Table.Transact(ctx, []platform.Write{with(platform.Delete, put("x", 1, platform.Always, 0))})
	},
	"Transact of two": func(ctx context.Context, s *platform.Store) error {
		return s.Table.Transact(ctx, []platform.Write{put("x", 1, platform.Always, 0), put("y", 1, platform.Always, 0)})
	},
	"Objects.Put": func(ctx context.Context, s *platform.Store) error {
		return s.Objects.Put(ctx, "x", []byte("body"))
	},
}

var isWrite = map[string]bool{"Transact of one put": true, "Transact of one delete": true, "Transact of two": true, "Objects.Put": true}

var _ = Describe("the adapter", func() {
	var (
		ctx    context.Context
		stand  *standin.Server
		server *httptest.Server
		store  *platform.Store
	)
	BeforeEach(func() {
		ctx = context.Background()
		stand = standin.New()
		server = httptest.NewServer(stand)
		DeferCleanup(server.Close)
		store = connect(server.URL, generous)
	})

	It("guards against items and objects that change on the way", func() {
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

	It("guards against a query that misses items at the end of a page or of the limit", func() {
		large := make([]byte, 300<<10)
		for i := range 9 {
			w := put(fmt.Sprintf("%02d", i), uint64(i), platform.Always, 0)
			w.Item.Body = large
			Expect(store.Table.Transact(ctx, []platform.Write{w})).To(Succeed())
		}
		sorts := func(after string, limit int) (got []string) {
			items, err := store.Table.Query(ctx, "p", after, limit)
			Expect(err).NotTo(HaveOccurred())
			for i := range items {
				got = append(got, items[i].Key.Sort)
			}
			return got
		}
		Expect(sorts("", 100)).To(Equal([]string{"00", "01", "02", "03", "04", "05", "06", "07", "08"}))
		Expect(sorts("02", 5)).To(Equal([]string{"03", "04", "05", "06", "07"}))
		Expect(sorts("08", 5)).To(BeEmpty())
	})

	DescribeTable("guards against a failed condition that is not reported with its index, or a part that is written",
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
		Entry("delete if rev", []platform.Write{with(platform.Delete, put("old", 0, platform.IfRev, 6))}, []int{0}),
		Entry("a check alone", []platform.Write{with(platform.Check, put("old", 0, platform.IfAbsent, 0))}, []int{0}),
		Entry("two of four", []platform.Write{
			put("a", 1, platform.IfAbsent, 0), put("b", 1, platform.IfRev, 3),
			with(platform.Check, put("old", 0, platform.IfRev, 7)), with(platform.Delete, put("c", 0, platform.IfRev, 1)),
		}, []int{1, 3}),
		Entry("all hold", []platform.Write{
			put("a", 1, platform.IfAbsent, 0), put("old", 8, platform.IfRev, 7), with(platform.Check, put("z", 0, platform.IfAbsent, 0)),
		}, nil),
		Entry("a delete that holds", []platform.Write{with(platform.Delete, put("old", 0, platform.IfRev, 7))}, nil),
	)

	DescribeTable("guards against transactions that the platform would refuse in its own ways",
		func(writes []platform.Write) {
			err := store.Table.Transact(ctx, writes)
			Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
			Expect(stand.Stats().Operations).To(BeEmpty())
		},
		Entry("no writes", nil),
		Entry("too many", make([]platform.Write, platform.MaxTransactWrites+1)),
		Entry("an empty key", []platform.Write{put("", 1, platform.Always, 0)}),
		Entry("a key twice", []platform.Write{put("a", 1, platform.Always, 0), put("a", 2, platform.Always, 0)}),
		Entry("a check without condition", []platform.Write{with(platform.Check, put("a", 1, platform.Always, 0))}),
	)

	// expectKinds calls every operation and compares the kinds of failures.
	expectKinds := func(s *platform.Store, faults standin.Faults, reads, writes fault.Kind) {
		GinkgoHelper()
		for name, call := range operations {
			stand.SetFaults(faults)
			want := reads
			if isWrite[name] {
				want = writes
			}
			Expect(fault.KindOf(call(ctx, s))).To(Equal(want), name)
		}
	}

	DescribeTable("guards against a failure whose kind promises more than is known",
		func(faults standin.Faults, timeout time.Duration, reads, writes fault.Kind) {
			expectKinds(connect(server.URL, timeout), faults, reads, writes)
		},
		Entry("an outage that is answered", standin.Faults{Outage: true}, generous, fault.Unavailable, fault.Unavailable),
		Entry("throttling", standin.Faults{ThrottleRate: 1}, generous, fault.Throttled, fault.Throttled),
		Entry("a connection that is cut", standin.Faults{Cut: true}, generous, fault.Unavailable, fault.UnknownOutcome),
		Entry("an answer that never comes", standin.Faults{LatencyMillis: 1500}, 300*time.Millisecond, fault.Unavailable, fault.UnknownOutcome),
	)

	It("guards against a lost answer or an internal error after a write that is reported as not written", func() {
		for name, call := range operations {
			if !isWrite[name] {
				continue
			}
			stand.SetFaults(standin.Faults{LoseNext: 1})
			Expect(fault.KindOf(call(ctx, store))).To(Equal(fault.UnknownOutcome), name)
			stand.SetFaults(standin.Faults{InternalErrorNext: 1})
			Expect(fault.KindOf(call(ctx, store))).To(Equal(fault.UnknownOutcome), name)
		}
		_, err := store.Table.Get(ctx, platform.Key{Partition: "p", Sort: "y"})
		Expect(err).NotTo(HaveOccurred())
	})

	It("guards against retries by the SDK, which would hide the first attempt", func() {
		expectKinds(store, standin.Faults{Outage: true}, fault.Unavailable, fault.Unavailable)
		for name, count := range stand.Stats().Operations {
			want := uint64(1)
			Expect(count).To(Equal(want), name)
		}
	})

	It("guards against a refused dial that is taken for an unknown outcome", func() {
		server.Close()
		expectKinds(store, standin.Faults{}, fault.Unavailable, fault.Unavailable)
	})

	It("guards against a write that is sent although its context has ended", func() {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		for name, call := range operations {
			Expect(fault.KindOf(call(ended, store))).To(Equal(fault.Unavailable), name)
		}
		Expect(stand.Stats().Operations).To(BeEmpty())
	})

	It("guards against missing settings that are found only one by one", func() {
		_, err := platform.NewAWS(platform.AWSConfig{Region: "eu-central-1"})
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
		Expect(fault.As(err).Details).To(HaveLen(6))
	})
})

var _ = DescribeTable("guards against answers of the platform that are mapped to the wrong kind",
	func(status int, body string, reads, writes fault.Kind) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The body is read so that the answer does not cut the request.
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", "application/x-amz-json-1.0")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}))
		defer server.Close()
		store := connect(server.URL, generous)
		ctx := context.Background()
		Expect(fault.KindOf(operations["Get"](ctx, store))).To(Equal(reads))
		Expect(fault.KindOf(operations["Transact of two"](ctx, store))).To(Equal(writes))
	},
	Entry("a conflict with another transaction", 400,
		`{"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException","CancellationReasons":[{"Code":"None"},{"Code":"TransactionConflict"}]}`,
		fault.Throttled, fault.Throttled),
	Entry("a transaction with an invalid part", 400,
		`{"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException","CancellationReasons":[{"Code":"ConditionalCheckFailed"},{"Code":"ValidationError"}]}`,
		fault.Invalid, fault.Invalid),
	Entry("a missing table", 400, `{"__type":"com.amazonaws.dynamodb.v20120810#ResourceNotFoundException"}`, fault.Unavailable, fault.Unavailable),
	Entry("wrong credentials", 400, `{"__type":"com.amazon.coral.service#UnrecognizedClientException"}`, fault.Unauthorized, fault.Unauthorized),
	Entry("a gateway's 502", 502, `<html>bad gateway</html>`, fault.Unavailable, fault.UnknownOutcome),
	Entry("an answer that is not JSON", 200, `{"Item":`, fault.Unavailable, fault.UnknownOutcome),
)
