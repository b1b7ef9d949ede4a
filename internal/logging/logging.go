// Package logging writes the daemon's log as JSON lines. Every line names the
// VM and the component that wrote it.
package logging

import (
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// levels are the names that the settings allow.
var levels = map[string]log.Level{
	"debug": log.DebugLevel,
	"info":  log.InfoLevel,
	"warn":  log.WarnLevel,
	"error": log.ErrorLevel,
}

// Root makes the loggers of one daemon.
type Root struct {
	writer io.Writer
	level  log.Level
	vm     string
}

// New returns the root of a daemon's loggers. Each line is one call of
// w.Write, which must be safe for use by several goroutines. It fails with
// fault.Invalid for a level other than debug, info, warn or error.
func New(w io.Writer, level, vm string) (*Root, error) {
	parsed, ok := levels[level]
	if !ok {
		return nil, fault.New(fault.Invalid, "log level %q is not debug, info, warn or error", level)
	}
	return &Root{writer: w, level: parsed, vm: vm}, nil
}

// Discard returns a root whose loggers write nothing.
func Discard() *Root {
	return &Root{writer: io.Discard, level: log.PanicLevel}
}

// Component returns the logger of a part of the daemon.
func (r *Root) Component(name string) *log.Logger {
	return &log.Logger{
		Level:        r.level,
		TimeLocation: time.UTC,
		Context:      log.NewContext(nil).Str("vm", r.vm).Str("component", name).Value(),
		Writer:       log.IOWriter{Writer: r.writer},
	}
}

// Failure adds a failure's kind, text and findings to a log entry.
func Failure(e *log.Entry, err error) *log.Entry {
	if err == nil {
		return e
	}
	e = e.Str("kind", string(fault.KindOf(err))).Str("error", err.Error())
	if typed := fault.As(err); typed != nil && len(typed.Details) > 0 {
		e = e.Strs("details", typed.Details)
	}
	return e
}
