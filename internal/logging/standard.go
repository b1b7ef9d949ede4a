package logging

import (
	"bytes"
	stdlog "log"

	"github.com/phuslu/log"
)

// maxStandardLineBytes bounds a line of the standard logger. net/http may quote the
// whole buffer of a connection. The start of the stack of a handler that panicked fits.
const maxStandardLineBytes = 4 << 10

// CaptureStandardLog passes the lines of Go's standard logger to the root's writer.
// net/http logs with that logger while it holds locks and while it accepts
// connections, so a write that waits for the reader of the standard error stream
// would stop its clients and servers.
func (r *Root) CaptureStandardLog() {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standardLogWriter{logger: r.Component("library")})
}

// standardLogWriter writes the lines of the standard logger to a logger.
type standardLogWriter struct{ logger *log.Logger }

// Write implements io.Writer.
func (w standardLogWriter) Write(line []byte) (int, error) {
	text := bytes.TrimRight(line, "\n")
	w.logger.Warn().Str("event", "library-message").Msg(string(text[:min(len(text), maxStandardLineBytes)]))
	return len(line), nil
}
