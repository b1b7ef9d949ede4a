package proxy

import "net/http"

// CloseWhile returns a handler that closes the connection of each request that
// is answered while stopping returns true, so that the client opens its next one
// to another daemon. Idle connections stay open until the listener closes:
// closing one now could coincide with a request that the client is sending on it.
func CloseWhile(stopping func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
