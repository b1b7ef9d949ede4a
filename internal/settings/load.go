package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// maxFileBytes bounds a settings file and a secret file.
const maxFileBytes = 1 << 20

// fileSuffix marks the key that names a file which holds a secret.
const fileSuffix = "_file"

// Load reads and checks a settings file. It fails with fault.NotFound when
// the file does not exist, and with fault.Invalid and every finding in
// Details when its content breaks a rule. Relative paths in the file start at
// the file's own directory.
func Load(path string) (*Settings, error) {
	content, err := readBounded(path)
	if err != nil {
		return nil, err
	}
	return Parse(content, filepath.Dir(path))
}

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

// loader collects the findings of one file.
type loader struct {
	settings *Settings
	index    *index
	file     *ini.File
	dir      string
	findings []string
}

// Parse checks the content of a settings file. Relative paths start at dir.
// Its failures are those of Load.
func Parse(content []byte, dir string) (*Settings, error) {
	l := &loader{settings: Default(), dir: dir}
	l.index = scan(content)
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
	l.fillAdvertise()
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
// line when the file does not give the key.
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
				l.add(name, key.Name(), "the key stands before the first section")
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

// value returns the text of a key as it stands in the file. Key.String would
// expand %(name)s, which may be part of a secret.
func (l *loader) value(section, name string) (string, bool) {
	if !l.file.HasSection(section) || !l.index.has(section, name) {
		return "", false
	}
	if !l.file.Section(section).HasKey(name) {
		return "", true
	}
	return l.file.Section(section).Key(name).Value(), true
}

// secret returns the content of the file that the key's companion names. It
// reports what is wrong with the file and returns false then.
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

func (l *loader) fillAdvertise() {
	listen, advertise := &l.settings.Listen, &l.settings.Advertise
	fill(&advertise.Caller, listen.Caller)
	fill(&advertise.Inbound, listen.Inbound)
	fill(&advertise.Peer, listen.Peer)
	fill(&advertise.Admin, listen.Admin)
}

func fill(value *string, otherwise string) {
	if *value == "" {
		*value = otherwise
	}
}
