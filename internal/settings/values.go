package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Units of sizes, in bytes.
const (
	kilobyte = 1000
	kibibyte = 1 << 10
	megabyte = 1000 * 1000
	mebibyte = 1 << 20
)

// maxDuration is the upper limit of every duration in the file.
const maxDuration = 24 * time.Hour

// sizeUnits is in the order of matching: a unit precedes every unit that is its
// suffix, so "B" is last.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", kibibyte}, {"MiB", mebibyte}, {"KB", kilobyte}, {"MB", megabyte}, {"B", 1}}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

func required(k key) key {
	k.required = true
	return k
}

func secret(k key) key {
	k.secret = true
	return k
}

// checkedKey returns a text key. check returns "" for a valid value, or the reason
// why the value is invalid.
func checkedKey(section, name string, field func(*Settings) *string, check func(string) string) key {
	return key{
		section: section, name: name,
		get: func(s *Settings) string { return *field(s) },
		set: func(s *Settings, value string) string {
			problem := check(value)
			if problem == "" {
				*field(s) = value
			}
			return problem
		},
	}
}

func textKey(section, name string, field func(*Settings) *string) key {
	return checkedKey(section, name, field, func(string) string { return "" })
}

func nameKey(section, key string, field func(*Settings) *string) key {
	return required(checkedKey(section, key, field, func(value string) string {
		if namePattern.MatchString(value) {
			return ""
		}
		return fmt.Sprintf("%q is not 1 to 63 lower-case letters, digits, '.', '_' or '-'", value)
	}))
}

func tokenKey(section, name string, field func(*Settings) *string) key {
	return secret(required(checkedKey(section, name, field, func(value string) string {
		if len(value) < minTokenBytes {
			return fmt.Sprintf("a token has at least %d bytes", minTokenBytes)
		}
		if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
			return "a token has only printable ASCII characters without spaces"
		}
		return ""
	})))
}

func pathKey(section, name string, field func(*Settings) *string) key {
	k := textKey(section, name, field)
	k.path = true
	return k
}

func choiceKey(section, name string, allowed []string, field func(*Settings) *string) key {
	return checkedKey(section, name, field, func(value string) string {
		if slices.Contains(allowed, value) {
			return ""
		}
		return fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed, ", "))
	})
}

func addressKey(section, name string, field func(*Settings) *string) key {
	return checkedKey(section, name, field, checkAddress)
}

func checkAddress(value string) string {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		return fmt.Sprintf("%q is not IP:port with a port of 1 to 65535", value)
	}
	return ""
}

func setAddresses(field *[]string, value string) string {
	var list []string
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if problem := checkAddress(part); problem != "" {
			return problem
		}
		if slices.Contains(list, part) {
			return fmt.Sprintf("%q is named twice", part)
		}
		list = append(list, part)
	}
	*field = list
	return ""
}

func endpointKey(section, name string, field func(*Settings) *string) key {
	return checkedKey(section, name, field, func(value string) string {
		parsed, err := url.Parse(value)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return "not a URL of the form http://host:port or https://host:port"
		}
		if parsed.User != nil || parsed.RawQuery != "" || parsed.Fragment != "" {
			return "the URL must not have a user, a query or a fragment"
		}
		return ""
	})
}

func durationKey(section, name string, field func(*Settings) *time.Duration) key {
	return key{
		section: section, name: name,
		get: func(s *Settings) string { return field(s).String() },
		set: func(s *Settings, value string) string {
			parsed, err := time.ParseDuration(value)
			if err != nil {
				return fmt.Sprintf("%q is not a duration with a unit, such as 500ms, 5s or 10m", value)
			}
			if parsed < time.Millisecond || parsed > maxDuration {
				return fmt.Sprintf("%s is not between 1ms and %s", value, maxDuration)
			}
			*field(s) = parsed
			return ""
		},
	}
}

func numberKey(section, name string, low, high int, field func(*Settings) *int) key {
	return key{
		section: section, name: name,
		get: func(s *Settings) string { return strconv.Itoa(*field(s)) },
		set: func(s *Settings, value string) string {
			parsed, err := strconv.Atoi(value)
			if err != nil || parsed < low || parsed > high {
				return fmt.Sprintf("%q is not a whole number from %d to %d", value, low, high)
			}
			*field(s) = parsed
			return ""
		},
	}
}

func sizeKey[T int | int64](section, name string, low, high int64, field func(*Settings) *T) key {
	return key{
		section: section, name: name,
		get: func(s *Settings) string { return formatSize(int64(*field(s))) },
		set: func(s *Settings, value string) string {
			parsed, ok := parseSize(value)
			if !ok {
				return fmt.Sprintf("%q is not a size with a unit: B, KB, MB, KiB or MiB", value)
			}
			if parsed < low || parsed > high {
				return fmt.Sprintf("%s is not between %s and %s", value, formatSize(low), formatSize(high))
			}
			*field(s) = T(parsed)
			return ""
		},
	}
}

func parseSize(value string) (int64, bool) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(value, unit.suffix)
		if !ok {
			continue
		}
		parsed, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 32)
		if err != nil {
			return 0, false
		}
		return int64(parsed) * unit.bytes, true
	}
	return 0, false
}

func formatSize(bytes int64) string {
	switch {
	case bytes != 0 && bytes%mebibyte == 0:
		return fmt.Sprintf("%dMiB", bytes/mebibyte)
	case bytes != 0 && bytes%kibibyte == 0:
		return fmt.Sprintf("%dKiB", bytes/kibibyte)
	}
	return fmt.Sprintf("%dB", bytes)
}
