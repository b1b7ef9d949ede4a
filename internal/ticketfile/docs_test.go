package ticketfile_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
)

var _ = Describe("docs/tickets.md", func() {
	It("has examples that can be submitted one after the other, guarding against examples that the daemon rejects", func() {
		page, err := os.ReadFile("../../docs/tickets.md")
		Expect(err).NotTo(HaveOccurred())
		state := model.NewState()
		blocks := strings.Split(string(page), "```json\n")[1:]
		Expect(blocks).To(HaveLen(3))
		for i, block := range blocks {
			text, _, _ := strings.Cut(block, "```")
			ticket, err := ticketfile.Decode([]byte(text), ticketfile.Options{Accepted: acceptedAt})
			Expect(err).NotTo(HaveOccurred())
			state, err = state.Apply(&model.Record{Revision: uint64(i) + 1, At: acceptedAt, Ticket: ticket})
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
