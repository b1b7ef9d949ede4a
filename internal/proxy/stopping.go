package proxy

import "net/http"

// CloseWhile returns a handler that closes the connection of each request that
// is answered while stopping returns true, so that the client opens its next one
// to another daemon. Idle connections stay open until the listener closes:
// closing one now could coincide with a request that the client is sending on it.
func CloseWhile(stopping func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		closing := &closingWriter{ResponseWriter: w, stopping: stopping}
		next.ServeHTTP(closing, r)
		closing.announce()
	})
}

// closingWriter adds "Connection: close" when the header of the final response is
// written, because a stop may begin while the request is in flight.
type closingWriter struct {
	http.ResponseWriter
	stopping func() bool
	// written is true once the header of the final response has been written.
	written bool
}

// announce adds the header field once, before the final response.
func (w *closingWriter) announce() {
	if !w.written && w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.written = true
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(p)
}

// FlushError is used by http.ResponseController.
func (w *closingWriter) FlushError() error {
	w.announce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is used by http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
