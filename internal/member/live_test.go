package member_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

// Guards against a LiveCount that differs from the length of Live, and against an
// Expire that skips endpoints which are no longer live.
func TestLiveCountAndExpiryFollowTheStates(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := member.NewTable()
	for _, e := range []member.Endpoint{
		{VM: "ready", Incarnation: 1, State: member.Ready}, {VM: "draining", Incarnation: 1, State: member.Draining},
		{VM: "z-lost", Incarnation: 1, State: member.Ready}, {VM: "a-lost", Incarnation: 1, State: member.Ready},
		{VM: "gone", Incarnation: 1, State: member.Gone},
	} {
		table.Merge(now, e)
	}
	g.Expect(table.LiveCount()).To(Equal(len(table.Live())))
	table.MarkLost(now, "z-lost")
	table.MarkLost(now, "a-lost")
	g.Expect(table.LiveCount()).To(Equal(2))
	g.Expect(table.Expire(now.Add(time.Second), time.Minute, time.Hour)).To(BeEmpty())
	expired := table.Expire(now.Add(time.Minute), time.Minute, time.Hour)
	g.Expect(expired).To(HaveLen(2))
	g.Expect(expired[0].VM).To(Equal("a-lost"))
	g.Expect(table.Expire(now.Add(2*time.Hour), time.Minute, time.Hour)).To(BeEmpty())
	g.Expect(table.All()).To(HaveLen(2))
}
