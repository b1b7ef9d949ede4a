package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// maxFileBytes limits the size of a settings file and of a secret file.
const maxFileBytes = 1 << 20

// fileSuffix is appended to the name of a secret key to form the key that gives
// the path of a file with the secret.
const fileSuffix = "_file"

// Load reads and checks a settings file. It fails with fault.NotFound when
// the file does not exist, and with fault.Invalid and every finding in
// Details when its content is invalid. Relative paths in the file are resolved
// against the directory of the file.
func Load(path string) (*Settings, error) {
	content, err := readBounded(path)
	if err != nil {
		return nil, err
	}
	return Parse(content, filepath.Dir(path))
}

// readBounded reads a regular file of at most maxFileBytes.
func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if os.IsNotExist(err) {
		return nil, fault.Wrap(err, fault.NotFound, "file %s does not exist", path)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "file %s cannot be read", path)
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, fault.New(fault.Invalid, "%s is not a regular file of at most %d bytes", path, maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "file %s cannot be read", path)
	}
	return content, nil
}

// loader reads the keys of one file into settings and collects its findings.
type loader struct {
	settings *Settings
	index    *lineIndex
	file     *ini.File
	dir      string
	findings []string
}

// Parse reads and checks the content of a settings file. Relative paths are
// resolved against dir. It fails like Load for invalid content.
func Parse(content []byte, dir string) (*Settings, error) {
	l := &loader{settings: Default(), dir: dir}
	l.index = indexLines(content)
	l.findings = append(l.findings, l.index.findings...)
	options := ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		SkipUnrecognizableLines:  true,
		KeyValueDelimiters:       "=",
	}
	file, err := ini.LoadSources(options, content)
	if err != nil {
		l.findings = append(l.findings, fmt.Sprintf("the file is not valid INI: %v", err))
		return nil, l.failure()
	}
	l.file = file
	l.refuseUnknown()
	for i := range keys {
		l.loadKey(&keys[i])
	}
	l.setAdvertiseDefaults()
	l.checkClashes()
	if len(l.findings) > 0 {
		return nil, l.failure()
	}
	return l.settings, nil
}

func (l *loader) failure() error {
	message := fmt.Sprintf("the settings have %d faults", len(l.findings))
	return fault.WithDetails(fault.Invalid, message, l.findings)
}

// add reports a finding about a key at the key's line, or at its section's
// line when the file does not set the key.
func (l *loader) add(section, key, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if line := l.index.line(section, key); line > 0 {
		l.findings = append(l.findings, fmt.Sprintf("line %d: [%s] %s: %s", line, section, key, text))
		return
	}
	l.findings = append(l.findings, fmt.Sprintf("line -: [%s] %s: %s", section, key, text))
}

func (l *loader) refuseUnknown() {
	for _, section := range l.file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			for _, key := range section.Keys() {
				l.add(name, key.Name(), "the key precedes the first section")
			}
			continue
		}
		if !knownSection(name) {
			l.findings = append(l.findings, fmt.Sprintf("line %d: [%s]: unknown section", l.index.line(name, ""), name))
			continue
		}
		for _, key := range section.Keys() {
			if !knownKey(name, key.Name()) {
				l.add(name, key.Name(), "unknown key")
			}
		}
	}
}

func (l *loader) loadKey(k *key) {
	text, given := l.value(k.section, k.name)
	if k.secret && l.index.has(k.section, k.name+fileSuffix) {
		var ok bool
		if text, ok = l.secret(k, given); !ok {
			return
		}
		given = true
	}
	if !given {
		if k.required {
			l.add(k.section, k.name, "missing")
		}
		return
	}
	if text == "" {
		l.add(k.section, k.name, "empty")
		return
	}
	if k.path && !filepath.IsAbs(text) {
		text = filepath.Join(l.dir, text)
	}
	if problem := k.set(l.settings, text); problem != "" {
		l.add(k.section, k.name, "%s", problem)
	}
}

// value returns the unexpanded text of a key and whether the file sets the key.
// Key.String would expand %(name)s, which may be part of a secret.
func (l *loader) value(section, name string) (string, bool) {
	if !l.file.HasSection(section) || !l.index.has(section, name) {
		return "", false
	}
	if !l.file.Section(section).HasKey(name) {
		return "", true
	}
	return l.file.Section(section).Key(name).Value(), true
}

// secret returns the content of the file that the key with fileSuffix names. If
// the file cannot be used, it reports a finding and returns false.
func (l *loader) secret(k *key, alsoInline bool) (string, bool) {
	fileKey := k.name + fileSuffix
	if alsoInline {
		l.add(k.section, fileKey, "clashes with %s; give one of them", k.name)
		return "", false
	}
	path, _ := l.value(k.section, fileKey)
	if path == "" {
		l.add(k.section, fileKey, "empty")
		return "", false
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(l.dir, path)
	}
	content, err := readBounded(path)
	if err != nil {
		l.add(k.section, fileKey, "%s", fault.As(err).Message)
		return "", false
	}
	return strings.TrimSpace(string(content)), true
}

// setAdvertiseDefaults sets missing advertised addresses to the listen addresses.
func (l *loader) setAdvertiseDefaults() {
	listen, advertise := &l.settings.Listen, &l.settings.Advertise
	setDefault(&advertise.Caller, listen.Caller)
	setDefault(&advertise.Inbound, listen.Inbound)
	setDefault(&advertise.Peer, listen.Peer)
	setDefault(&advertise.Admin, listen.Admin)
}

func setDefault(value *string, fallback string) {
	if *value == "" {
		*value = fallback
	}
}
