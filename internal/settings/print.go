package settings

import (
	"fmt"
	"strings"
)

// redacted replaces a secret in printed settings.
const redacted = "(hidden)"

// Format returns the settings in force as an INI file. Secrets are replaced
// by a fixed text, so the result cannot be used as a settings file.
func Format(s *Settings) string {
	var b strings.Builder
	section := ""
	for i := range keys {
		k := &keys[i]
		value := k.get(s)
		if value == "" {
			continue
		}
		if k.secret {
			value = redacted
		}
		if k.section != section {
			section = k.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fmt.Fprintf(&b, "%s = %s\n", k.name, value)
	}
	return b.String()
}

// Values returns the settings in force by section and key, in the syntax of the
// file. Secrets are replaced by a fixed text.
func Values(s *Settings) map[string]map[string]string {
	sections := map[string]map[string]string{}
	for i := range keys {
		k := &keys[i]
		value := k.get(s)
		if value == "" {
			continue
		}
		if k.secret {
			value = redacted
		}
		if sections[k.section] == nil {
			sections[k.section] = map[string]string{}
		}
		sections[k.section][k.name] = value
	}
	return sections
}
