// Package target implements a test target: an HTTP server that announces itself
// to the daemon on its VM, returns the digest of each request's body, records
// each run (the execution of one request) in a file, and injects failures and
// latency on demand.
package target

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"math/rand/v2"
)

// Headers and query parameters of a test request.
const (
	// IDHeader carries the unique id of a request.
	IDHeader = "X-Test-Id"
	// AttemptHeader carries the number of the caller's attempt, starting at 1.
	AttemptHeader = "X-Test-Attempt"
	// BytesParameter is the query parameter with the number of padding bytes
	// that the response must contain.
	BytesParameter = "bytes"
	// MaxPaddingBytes bounds the padding of one response.
	MaxPaddingBytes = 256 << 20
)

// Response is the first line of every response body, as JSON. The requested
// amount of padding follows the line.
type Response struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Version string `json:"version"`
	ID      string `json:"id"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Bytes and Digest are the length and the digest of the request's body.
	Bytes  int64  `json:"bytes"`
	Digest string `json:"digest"`
	// Padding is the number of padding bytes after the line.
	Padding int64 `json:"padding"`
}

// Padding returns a reader of n pseudo-random bytes that depend only on the
// request's id, so that a caller can verify them without keeping them in memory.
func Padding(id string, n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8(sha256.Sum256([]byte(id))), n)
}

// NewDigest returns the hash for body digests; DigestText formats its sum.
func NewDigest() hash.Hash { return sha256.New() }

// DigestText returns the hexadecimal digest of the data written to h.
func DigestText(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)) }
