package sidecar

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("gossip responses of a reader", func() {
	// Guards against a reader that encodes a configuration once per polling daemon:
	// with 30 daemons and a configuration of 95 kB that takes a tenth of a second.
	It("are encoded once for daemons that lack the same rows", func() {
		d := New(Config{VM: "a", Store: &changingStore{}, Operators: noOperators{}, Logger: logging.Discard().Component("test")})
		mergeRow := func(version uint64) {
			d.tables.operators.merge([]rows.Row{{Key: rows.Key{Table: "operators", Name: "config"}, Value: []byte("x"), Version: version}})
		}
		encoded := 0
		respond := func(version uint64) []byte {
			request := &gossipMessage{WaitMS: 1, Operators: tableUpdate{Version: version}}
			response := d.completeDigest()
			return d.responses.get(d.responseKey(request, &response), func() []byte {
				encoded++
				response.addRows(d.tables.operators.rowsAfter(version))
				return encodeCompressed(&response)
			})
		}
		mergeRow(5)
		for range 30 {
			Expect(respond(4)).NotTo(BeEmpty())
		}
		Expect(encoded).To(Equal(1))
		stale := respond(4)
		mergeRow(6)
		Expect(respond(4)).NotTo(Equal(stale), "a new row invalidates the cached response")
		for version := range uint64(20) {
			respond(version)
		}
		Expect(len(d.responses.entries)).To(Equal(maxCachedResponses))
	})
})
