// Package logging writes the daemon's log as JSON lines. Every line includes the
// names of the VM and the component.
package logging

import (
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// levels maps the level names allowed in the settings.
var levels = map[string]log.Level{
	"debug": log.DebugLevel,
	"info":  log.InfoLevel,
	"warn":  log.WarnLevel,
	"error": log.ErrorLevel,
}

// Root creates the loggers of one daemon.
type Root struct {
	writer io.Writer
	level  log.Level
	vm     string
}

// New returns the root of a daemon's loggers. Each line is one call of w.Write,
// which must be safe for concurrent use. New returns a fault.Invalid error for a
// level other than debug, info, warn or error.
func New(w io.Writer, level, vm string) (*Root, error) {
	parsed, ok := levels[level]
	if !ok {
		return nil, fault.New(fault.Invalid, "log level %q is not debug, info, warn or error", level)
	}
	if async, ok := w.(*AsyncWriter); ok {
		direct := &Root{writer: async.writer, level: parsed, vm: vm}
		async.logger.Store(direct.Component("log"))
	}
	return &Root{writer: w, level: parsed, vm: vm}, nil
}

// Discard returns a root whose loggers write nothing.
func Discard() *Root {
	return &Root{writer: io.Discard, level: log.PanicLevel}
}

// Component returns the logger of the named component.
func (r *Root) Component(name string) *log.Logger {
	return &log.Logger{
		Level:        r.level,
		TimeLocation: time.UTC,
		Context:      log.NewContext(nil).Str("vm", r.vm).Str("component", name).Value(),
		Writer:       log.IOWriter{Writer: r.writer},
	}
}

// Failure adds the kind, text and details of err to a log entry. It returns e
// unchanged when err is nil.
func Failure(e *log.Entry, err error) *log.Entry {
	if err == nil {
		return e
	}
	e = e.Str("kind", string(fault.KindOf(err))).Str("error", err.Error())
	if faultErr := fault.As(err); faultErr != nil && len(faultErr.Details) > 0 {
		e = e.Strs("details", faultErr.Details)
	}
	return e
}
