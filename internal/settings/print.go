package settings

import (
	"fmt"
	"strings"
)

// hidden stands for a secret in printed settings.
const hidden = "(hidden)"

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
			value = hidden
		}
		if k.section != section {
			section = k.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fmt.Fprintf(&b, "%s = %s\n", k.name, value)
	}
	return b.String()
}

// Values returns the settings in force by section and key, as the file would
// give them. Secrets are replaced by a fixed text.
func Values(s *Settings) map[string]map[string]string {
	sections := map[string]map[string]string{}
	for i := range keys {
		k := &keys[i]
		value := k.get(s)
		if value == "" {
			continue
		}
		if k.secret {
			value = hidden
		}
		if sections[k.section] == nil {
			sections[k.section] = map[string]string{}
		}
		sections[k.section][k.name] = value
	}
	return sections
}
