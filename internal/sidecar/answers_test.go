package sidecar

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("answers of a reader", func() {
	// Guards against a reader that encodes a configuration for each daemon that
	// asks: 30 daemons and a configuration of 95 kB take it a tenth of a second.
	It("are encoded once for daemons that lack the same rows", func() {
		d := New(Config{VM: "a", Store: &changing{}, Operators: noOperators{}, Logger: logging.Discard().Component("test")})
		put := func(version uint64) {
			d.tables.operators.merge([]rows.Row{{Key: rows.Key{Table: "operators", Name: "config"}, Value: []byte("x"), Version: version}})
		}
		encoded := 0
		ask := func(version uint64) []byte {
			message := &gossip{WaitMS: 1, Operators: known{Version: version}}
			answer := d.cursors()
			return d.answers.get(d.answerKey(message, &answer), func() []byte {
				encoded++
				answer.addRows(d.tables.operators.since(version))
				return encodeGossip(&answer)
			})
		}
		put(5)
		for range 30 {
			Expect(ask(4)).NotTo(BeEmpty())
		}
		Expect(encoded).To(Equal(1))
		stale := ask(4)
		put(6)
		Expect(ask(4)).NotTo(Equal(stale), "a new row makes a new answer")
		for version := range uint64(20) {
			ask(version)
		}
		Expect(len(d.answers.kept)).To(Equal(maxAnswers))
	})
})
