package settings_test

import (
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/settings"
)

var _ = Describe("docs/settings.md", func() {
	It("lists every key and default, guarding against documentation that differs from the code", func() {
		page, err := os.ReadFile("../../docs/settings.md")
		Expect(err).NotTo(HaveOccurred())
		s, err := settings.Load(examplePath)
		Expect(err).NotTo(HaveOccurred())
		s.Peers = settings.Peers{Addresses: []string{"a"}, Token: "t", TLSCertificate: "c", TLSKey: "k", TLSCA: "a"}
		s.Admin = settings.Admin{Token: "t", TLSCertificate: "c", TLSKey: "k"}
		for section, keys := range settings.Values(s) {
			Expect(string(page)).To(ContainSubstring("## `[" + section + "]`"))
			for key, value := range keys {
				Expect(string(page)).To(ContainSubstring("`"+key+"`"), section)
				if section == "limits" {
					Expect(string(page)).To(ContainSubstring("| `" + key + "` | `" + value + "` |"))
				}
			}
		}
	})
})
