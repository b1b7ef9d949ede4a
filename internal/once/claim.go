package once

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/platform"
)

// claimBody is the body of a claim's item.
type claimBody struct {
	Digest string `json:"digest"`
	Holder string `json:"holder,omitempty"`
	// WrittenAt is the time of the write by the holder's clock, in
	// milliseconds since 1970. Only Prune reads it; no daemon compares it.
	WrittenAt int64         `json:"written_at"`
	Response  *responseBody `json:"answer,omitempty"`
}

// responseBody is the encoding of a stored response.
type responseBody struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// attempt identifies one attempt to claim a key. The Rev of a claim's item is
// the attempt's rev, and rev+1 once the response is stored. Because no two
// attempts share a rev, a delayed or repeated write of one attempt cannot
// change the claim of another.
type attempt struct {
	rev    uint64
	digest string
}

const (
	// revBits keeps a rev, and rev+1, within 63 bits.
	revBits          = 62
	attemptSeparator = "."
)

// newAttempt returns an attempt with a random even rev. The rev comes from the
// operating system's random source because revs must differ between daemons
// that run with the same seed.
func newAttempt(digest string) attempt {
	var raw [8]byte
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = rand.Read(raw[:])
	rev := binary.BigEndian.Uint64(raw[:]) >> (64 - revBits) << 1
	return attempt{rev: rev, digest: digest}
}

// String returns the text for Grant.Attempt. The text includes the digest, so
// that the response can be written without reading the claim.
func (a attempt) String() string {
	return strconv.FormatUint(a.rev, 16) + attemptSeparator + a.digest
}

func parseAttempt(text string) (attempt, error) {
	hex, digest, ok := strings.Cut(text, attemptSeparator)
	rev, err := strconv.ParseUint(hex, 16, 64)
	if !ok || err != nil {
		return attempt{}, fault.New(fault.Invalid, "attempt %q is malformed", text)
	}
	return attempt{rev: rev, digest: digest}, nil
}

// owns reports whether the attempt wrote the item.
func (a attempt) owns(item platform.Item) bool {
	return item.Rev == a.rev || item.Rev == a.rev+1
}

// itemKey returns the table key of a claim. It distributes claims over 256
// partitions by a hash of the key.
func itemKey(key Key) platform.Key {
	sort := key.Service + "/" + key.Value
	sum := sha256.Sum256([]byte(sort))
	return platform.Key{Partition: fmt.Sprintf("claim/%02x", sum[0]), Sort: sort}
}

func validateClaim(key Key, digest string) error {
	switch {
	case key.Service == "" || strings.Contains(key.Service, "/"):
		return fault.New(fault.Invalid, "service name %q of a claim is empty or has a slash", key.Service)
	case len(key.Service) > MaxServiceBytes:
		return fault.New(fault.Invalid, "the service name of a claim has %d bytes; at most %d are allowed", len(key.Service), MaxServiceBytes)
	case !utf8.ValidString(key.Service) || !utf8.ValidString(key.Value) || !utf8.ValidString(digest):
		// JSON encoding replaces invalid bytes, which would make different
		// keys equal.
		return fault.New(fault.Invalid, "a claim's service, key or digest is not UTF-8")
	case key.Value == "":
		return fault.New(fault.Invalid, "the idempotency key is empty")
	case len(key.Value) > MaxKeyBytes:
		return fault.New(fault.Invalid, "the idempotency key has %d bytes; at most %d are allowed", len(key.Value), MaxKeyBytes)
	case len(digest) > MaxDigestBytes:
		return fault.New(fault.Invalid, "the request digest has %d bytes; at most %d are allowed", len(digest), MaxDigestBytes)
	}
	return nil
}

// claimWrite returns the write that claims the key for the attempt, on the
// condition that no claim exists.
func claimWrite(key platform.Key, a attempt, holder string, now time.Time) platform.Write {
	body := encodeBody(&claimBody{Digest: a.digest, Holder: holder, WrittenAt: now.UnixMilli()})
	return platform.Write{
		Op:        platform.Put,
		Condition: platform.IfAbsent,
		Item:      platform.Item{Key: key, Rev: a.rev, Body: body},
	}
}

// responseWrite returns the write that adds the response to the attempt's
// claim.
func responseWrite(key platform.Key, a attempt, holder string, response Response, now time.Time) platform.Write {
	stored := &responseBody{Status: response.Status, ContentType: response.ContentType, Body: response.Body}
	body := encodeBody(&claimBody{Digest: a.digest, Holder: holder, WrittenAt: now.UnixMilli(), Response: stored})
	return platform.Write{
		Op:        platform.Put,
		Condition: platform.IfRev,
		WantRev:   a.rev,
		Item:      platform.Item{Key: key, Rev: a.rev + 1, Body: body},
	}
}

// releaseWrite returns the write that deletes the attempt's claim.
func releaseWrite(key platform.Key, a attempt) platform.Write {
	return platform.Write{
		Op:        platform.Delete,
		Condition: platform.IfRev,
		WantRev:   a.rev,
		Item:      platform.Item{Key: key},
	}
}

func encodeBody(body *claimBody) []byte {
	// Marshal cannot fail: the type holds only numbers, strings and bytes.
	encoded, _ := json.Marshal(body)
	return encoded
}

// grantFromItem returns the attempt's grant for the claim found in the table.
func grantFromItem(item platform.Item, a attempt) (Grant, error) {
	if a.owns(item) {
		return Grant{Decision: Granted, Attempt: a.String()}, nil
	}
	var body claimBody
	if err := json.Unmarshal(item.Body, &body); err != nil {
		return Grant{}, fault.Wrap(err, fault.Protocol, "the claim %s/%s is not readable", item.Key.Partition, item.Key.Sort)
	}
	if body.Digest != a.digest {
		return Grant{}, fault.New(fault.Invalid, "the idempotency key was used before with another request")
	}
	if body.Response == nil {
		return Grant{Decision: InDoubt}, nil
	}
	response := &Response{Status: body.Response.Status, ContentType: body.Response.ContentType, Body: body.Response.Body}
	return Grant{Decision: Replay, Response: response}, nil
}
