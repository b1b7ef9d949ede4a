package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/settings"
)

const examplePath = "../../magnoliamount.example.ini"

func example() string {
	content, err := os.ReadFile(examplePath)
	Expect(err).NotTo(HaveOccurred())
	return string(content)
}

// editExample returns the example with one line replaced.
func editExample(before, after string) string {
	text := example()
	ExpectWithOffset(1, strings.Count(text, before)).To(Equal(1), before)
	return strings.Replace(text, before, after, 1)
}

func findings(content string) []string {
	_, err := settings.Parse([]byte(content), GinkgoT().TempDir())
	ExpectWithOffset(1, fault.Is(err, fault.Invalid)).To(BeTrue(), "%v", err)
	return fault.As(err).Details
}

var _ = Describe("Load", func() {
	It("loads the example file, guarding against an example that differs from the code", func() {
		s, err := settings.Load(examplePath)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.VM).To(Equal(settings.VM{Name: "order-1", FailureDomain: "domain-a", Region: "region-1"}))
		Expect(s.Advertise).To(Equal(settings.Advertise(s.Listen)))
		Expect(s.Timeouts).To(Equal(settings.Default().Timeouts))
		Expect(s.Limits).To(Equal(settings.Default().Limits))
		Expect(s.Platform.Timeout).To(Equal(settings.Default().Platform.Timeout))
	})

	It("accepts the commented-out defaults of the example file, guarding against wrong ones", func() {
		text := example()
		for _, line := range strings.Split(text, "\n") {
			key, _, isKey := strings.Cut(line, " = ")
			if isKey && strings.HasPrefix(key, "# ") && !strings.Contains(key, "tls_") && !strings.Contains(key, "addresses") {
				text = strings.Replace(text, line, strings.TrimPrefix(line, "# "), 1)
			}
		}
		s, err := settings.Parse([]byte(text), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Timeouts).To(Equal(settings.Default().Timeouts))
		Expect(s.Limits).To(Equal(settings.Default().Limits))
		Expect(s.Log).To(Equal(settings.Default().Log))
	})

	It("accepts only all and adaptive for processors, guarding against a number of processors", func() {
		s, err := settings.Parse([]byte(editExample("# processors = all", "processors = adaptive")), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Limits.Processors).To(Equal(settings.AdaptiveProcessors))
		Expect(findings(editExample("# processors = all", "processors = 2"))).To(ContainElement(ContainSubstring(`"2" is not one of all, adaptive`)))
	})

	It("refuses a missing file and a directory with the matching fault kind", func() {
		_, err := settings.Load(filepath.Join(GinkgoT().TempDir(), "none.ini"))
		Expect(fault.KindOf(err)).To(Equal(fault.NotFound))
		_, err = settings.Load(GinkgoT().TempDir())
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})

	It("reports all faults at once, guarding against a load that stops at the first one", func() {
		text := "[vm]\nname = X!\nfailure_domain = a\n[bogus]\nx = 1\n[limits]\nretry_percent = 101\ntypo = 1\n"
		Expect(findings(text)).To(ContainElements(
			`line 2: [vm] name: "X!" is not 1 to 63 lower-case letters, digits, '.', '_' or '-'`,
			"line 1: [vm] region: missing",
			"line 4: [bogus]: unknown section",
			`line 7: [limits] retry_percent: "101" is not a whole number from 0 to 100`,
			"line 8: [limits] typo: unknown key",
			"line -: [admin] token: missing",
		))
	})

	DescribeTable("refuses one wrong line of the example and reports its section and key",
		func(before, after, finding string) {
			Expect(findings(editExample(before, after))).To(ConsistOf(ContainSubstring(finding)))
		},
		Entry("a duration without a unit", "# drain = 10m", "drain = 10", `[timeouts] drain: "10" is not a duration with a unit`),
		Entry("a duration with an unknown unit", "# drain = 10m", "drain = 10min", `[timeouts] drain: "10min" is not a duration`),
		Entry("a negative duration", "# timeout = 2s", "timeout = -2s", "[platform] timeout: -2s is not between"),
		Entry("a size without a unit", "# max_header_bytes = 64KiB", "max_header_bytes = 65536", `[limits] max_header_bytes: "65536" is not a size with a unit`),
		Entry("a size beyond its bound", "# max_header_bytes = 64KiB", "max_header_bytes = 2MiB", "[limits] max_header_bytes: 2MiB is not between 4KiB and 1MiB"),
		Entry("a number with a fraction", "# claims_per_second = 50", "claims_per_second = 1.5", `[limits] claims_per_second: "1.5" is not a whole number`),
		Entry("an address without a port", "caller = 127.0.0.1:8600", "caller = 127.0.0.1", "[listen] caller: \"127.0.0.1\" is not IP:port"),
		Entry("a host name as address", "caller = 127.0.0.1:8600", "caller = localhost:8600", "[listen] caller: \"localhost:8600\" is not IP:port"),
		Entry("port 0, which no other daemon can dial", "caller = 127.0.0.1:8600", "caller = 127.0.0.1:0", "with a port of 1 to 65535"),
		Entry("two listeners on one address", "caller = 127.0.0.1:8600", "caller = 127.0.0.1:8601", "[listen] inbound: 127.0.0.1:8601 is also the caller listener's address"),
		Entry("an advertised address that is unspecified", "peer = 127.0.0.1:8602", "peer = 0.0.0.0:8602", "[advertise] peer: 0.0.0.0:8602 is the unspecified address"),
		Entry("a peer named twice", "# addresses = 127.0.0.2:8602, 127.0.0.3:8602", "addresses = 127.0.0.2:8602, 127.0.0.2:8602", "named twice"),
		Entry("an endpoint without scheme", "table_endpoint = http://127.0.0.1:8000", "table_endpoint = 127.0.0.1:8000", "[platform] table_endpoint: not a URL"),
		Entry("a lease that is lost after one slow renewal", "# lease = 4s", "lease = 2s", "[timeouts] lease: 2s is less than 3 times lease_renew"),
		Entry("members that expire too soon after their loss", "# member_expiry = 45s", "member_expiry = 5s", "[timeouts] member_expiry: 5s is less than 2 times endpoint_lost"),
		Entry("an unknown log level", "# level = info", "level = loud", `[log] level: "loud" is not one of debug, info, warn, error`),
		Entry("an empty value", "bucket = magnoliamount", "bucket =", "[platform] bucket: empty"),
		Entry("a short token", "token = change-this-admin-token", "token = short", "[admin] token: a token has at least 8 bytes"),
		Entry("a key given twice", "bucket = magnoliamount", "bucket = a\nbucket = b", "[platform] bucket: the key is already set at line"),
		Entry("a section given twice", "[log]", "[log]\n[vm]", "[vm]: the section already starts at line"),
		Entry("a key in the wrong case", "bucket = magnoliamount", "bucket = magnoliamount\nBucket = b", "[platform] Bucket: unknown key"),
		Entry("a line without a value", "bucket = magnoliamount", "bucket = magnoliamount\nnonsense", "is not of the form key = value"),
		Entry("a certificate without its key", "# tls_certificate = admin.crt", "tls_certificate = admin.crt", "[admin] tls_key: tls_certificate and tls_key go together"),
		Entry("a CA without a certificate", "# tls_ca = peer-ca.crt", "tls_ca = peer-ca.crt", "[peers] tls_ca: tls_ca and tls_certificate go together"),
		Entry("a key before the first section", "# Settings of one magnoliamount daemon.", "stray = 1\n#", "[DEFAULT] stray: the key precedes the first section"),
		Entry("a secret file that does not exist", "token = change-this-admin-token", "token_file = none", "[admin] token_file: file"),
		Entry("a secret given twice", "token = change-this-admin-token", "token = change-this-admin-token\ntoken_file = none", "[admin] token_file: clashes with token"),
		Entry("a file for a key that is not secret", "bucket = magnoliamount", "bucket = b\nbucket_file = f", "[platform] bucket_file: unknown key"),
	)

	It("does not change a secret, guarding against %(name)s expansion and truncation at '#'", func() {
		s, err := settings.Parse([]byte(editExample("secret_key = example-secret-key", "secret_key = a%(region)s#b;c=d")), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Platform.SecretKey).To(Equal("a%(region)s#b;c=d"))
	})

	It("keeps the comment character in a quoted value, as docs/settings.md specifies", func() {
		s, err := settings.Parse([]byte(editExample("secret_key = example-secret-key", `secret_key = "a #b"`)), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Platform.SecretKey).To(Equal("a #b"))
	})

	It("reads a secret file relative to the settings file and trims its line ending", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "token"), []byte("from-the-file\n"), 0o600)).To(Succeed())
		path := filepath.Join(dir, "daemon.ini")
		Expect(os.WriteFile(path, []byte(editExample("token = change-this-admin-token", "token_file = token")), 0o600)).To(Succeed())
		s, err := settings.Load(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Admin.Token).To(Equal("from-the-file"))
	})

	It("omits secrets from printed settings", func() {
		s, err := settings.Load(examplePath)
		Expect(err).NotTo(HaveOccurred())
		s.Timeouts.Drain = 90 * time.Second
		printed := settings.Format(s)
		Expect(printed).To(ContainSubstring("drain = 1m30s"))
		for _, secret := range []string{s.Admin.Token, s.Peers.Token, s.Platform.AccessKey, s.Platform.SecretKey} {
			Expect(printed).NotTo(ContainSubstring(secret))
		}
		Expect(settings.Values(s)["admin"]["token"]).NotTo(Equal(s.Admin.Token))
	})
})

// FuzzParse guards against content that makes Parse panic instead of fail, and
// against accepted settings that lack a required value.
func FuzzParse(f *testing.F) {
	content, err := os.ReadFile(examplePath)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte("[vm]\nname = \"\"\"\n"))
	f.Add([]byte("\ufeff[vm\n=x\n[]\n`"))
	f.Add([]byte("[peers]\naddresses = ,\ntoken_file = .\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := settings.Parse(content, t.TempDir())
		if err != nil {
			if len(fault.As(err).Details) == 0 {
				t.Fatalf("Parse failed without findings: %v", err)
			}
			return
		}
		if s.VM.Name == "" || s.Admin.Token == "" || s.Listen.Admin == "" || s.Advertise.Admin == "" {
			t.Fatalf("Parse accepted settings without a required value: %+v", s)
		}
	})
}
