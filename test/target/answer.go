// Package target is a test target: an HTTP server that announces itself to
// the daemon beside it, echoes the digest of each request, records each run
// to a file, and can be told to misbehave.
package target

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"math/rand/v2"
)

// Headers and parameters of a test request.
const (
	// IDHeader carries the unique id of a request.
	IDHeader = "X-Test-Id"
	// AttemptHeader carries the number of the caller's attempt, from 1.
	AttemptHeader = "X-Test-Attempt"
	// BytesParameter is the query parameter that asks for padding after the answer.
	BytesParameter = "bytes"
	// MaxPaddingBytes bounds the padding of one answer.
	MaxPaddingBytes = 256 << 20
)

// Answer is the first line of every answer's body, as JSON. Padding of the
// length asked for follows the line.
type Answer struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	Version string `json:"version"`
	ID      string `json:"id"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Bytes and Digest describe the request's body.
	Bytes  int64  `json:"bytes"`
	Digest string `json:"digest"`
	// Padding is the number of bytes after the line.
	Padding int64 `json:"padding"`
}

// Padding returns n bytes that depend only on the request's id, so that a
// caller can check them without holding them in memory.
func Padding(id string, n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8(sha256.Sum256([]byte(id))), n)
}

// NewDigest returns the hash that DigestText reads.
func NewDigest() hash.Hash { return sha256.New() }

// DigestText returns the digest of what was written to h, in hexadecimal.
func DigestText(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)) }
