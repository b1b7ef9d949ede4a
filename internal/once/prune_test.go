package once_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/once"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

// Guards against the deletion of a claim whose request may still be retried, and
// against claims that are never deleted.
var _ = Describe("the deletion of old claims", func() {
	const minAge = 48 * time.Hour
	now := time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)
	var (
		ctx    = context.Background()
		fake   *standin.Server
		table  platform.Table
		config once.PruneConfig
	)

	put := func(sort, body string) platform.Key {
		GinkgoHelper()
		key := platform.Key{Partition: "claim/a7", Sort: sort}
		Expect(table.Transact(ctx, []platform.Write{{Op: platform.Put, Item: platform.Item{Key: key, Rev: 4, Body: []byte(body)}}})).To(Succeed())
		return key
	}
	putClaim := func(sort string, age time.Duration) platform.Key {
		GinkgoHelper()
		return put(sort, fmt.Sprintf(`{"digest":"d","written_at":%d}`, now.Add(-age).UnixMilli()))
	}

	BeforeEach(func() {
		fake = standin.New()
		server := httptest.NewServer(fake)
		DeferCleanup(server.Close)
		store, err := platform.NewAWS(platform.AWSConfig{
			Region: "eu-central-1", TableEndpoint: server.URL, ObjectsEndpoint: server.URL,
			Table: standin.DefaultTable, Bucket: standin.DefaultBucket, AccessKey: "test", SecretKey: "test",
		})
		Expect(err).NotTo(HaveOccurred())
		table = store.Table
		config = once.PruneConfig{Table: table, OlderThan: minAge, PerSecond: 100000, Now: now}
	})

	It("deletes the claims of the minimum age on all pages and keeps the others", func() {
		var old, recent []platform.Key
		for i := range 150 {
			old = append(old, putClaim(fmt.Sprintf("order/%03d-old", i), minAge))
			recent = append(recent, putClaim(fmt.Sprintf("order/%03d-young", i), minAge-time.Minute))
		}
		damaged := put("order/damaged", "{")
		result, err := once.Prune(ctx, config)
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(once.PruneResult{Read: 301, Old: 150, Deleted: 150, Unreadable: 1}))
		for _, key := range old {
			_, err := table.Get(ctx, key)
			Expect(fault.Is(err, fault.NotFound)).To(BeTrue())
		}
		for _, key := range append(recent, damaged) {
			_, err := table.Get(ctx, key)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("counts without deleting in a dry run", func() {
		key := putClaim("order/1", minAge)
		config.DryRun = true
		Expect(once.Prune(ctx, config)).To(Equal(once.PruneResult{Read: 1, Old: 1}))
		_, err := table.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
	})

	It("keeps a claim that was written after it was read", func() {
		key := putClaim("order/1", minAge)
		config.Table = &hookedTable{Table: table, transact: func(next platform.Table, writes []platform.Write) error {
			renewed := platform.Write{Op: platform.Put, Item: platform.Item{Key: key, Rev: 5, Body: []byte("{}")}}
			Expect(next.Transact(ctx, []platform.Write{renewed})).To(Succeed())
			return next.Transact(ctx, writes)
		}}
		Expect(once.Prune(ctx, config)).To(Equal(once.PruneResult{Read: 1, Old: 1}))
		Expect(table.Get(ctx, key)).To(HaveField("Rev", uint64(5)))
	})

	It("continues after throttled calls and lost responses", func() {
		putClaim("order/1", minAge)
		fake.SetFaults(standin.Faults{ThrottleNext: 2, LoseResponseNext: 1})
		Expect(once.Prune(ctx, config)).To(Equal(once.PruneResult{Read: 1, Old: 1, Deleted: 1}))
	})

	It("rejects an age or a rate that is too low before it calls the table", func() {
		config.Table = nil
		config.OlderThan = once.MinPruneAge - time.Second
		_, err := once.Prune(ctx, config)
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
		config.OlderThan = minAge
		config.PerSecond = 0
		_, err = once.Prune(ctx, config)
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})
})
