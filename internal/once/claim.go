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
	// WrittenAt is the holder's clock in milliseconds since 1970. It is for
	// the operator who deletes old claims; no daemon compares it.
	WrittenAt int64       `json:"written_at"`
	Answer    *answerBody `json:"answer,omitempty"`
}

// answerBody is a kept answer.
type answerBody struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// attempt identifies one try to claim a key. The Rev of a claim's item is the
// attempt's rev, and rev+1 once the answer is kept. Because no two attempts
// share a rev, a delayed or repeated write of one attempt cannot change the
// claim of another.
type attempt struct {
	rev    uint64
	digest string
}

const (
	// revBits keeps a rev, and rev+1, within 63 bits.
	revBits          = 62
	attemptSeparator = "."
)

// newAttempt draws a random even rev. The operating system's source is used
// because revs must differ between daemons, whatever seeds they run with.
func newAttempt(digest string) attempt {
	var raw [8]byte
	// crypto/rand.Read never fails: it ends the process instead.
	_, _ = rand.Read(raw[:])
	rev := binary.BigEndian.Uint64(raw[:]) >> (64 - revBits) << 1
	return attempt{rev: rev, digest: digest}
}

// String is the text that Grant.Attempt holds. It carries the digest, so that
// the answer can be written without reading the claim.
func (a attempt) String() string {
	return strconv.FormatUint(a.rev, 16) + attemptSeparator + a.digest
}

func parseAttempt(text string) (attempt, error) {
	hex, digest, ok := strings.Cut(text, attemptSeparator)
	rev, err := strconv.ParseUint(hex, 16, 64)
	if !ok || err != nil {
		return attempt{}, fault.New(fault.Invalid, "attempt %q was not made by a claim", text)
	}
	return attempt{rev: rev, digest: digest}, nil
}

// holds reports whether the item was written by the attempt.
func (a attempt) holds(item platform.Item) bool {
	return item.Rev == a.rev || item.Rev == a.rev+1
}

// itemKey spreads claims over 256 partitions by a hash of the key.
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
		// JSON would replace other bytes, so that two keys became one.
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

// claimWrite takes the key for the attempt if nobody holds it.
func claimWrite(key platform.Key, a attempt, holder string, now time.Time) platform.Write {
	body := encodeBody(&claimBody{Digest: a.digest, Holder: holder, WrittenAt: now.UnixMilli()})
	return platform.Write{
		Op:        platform.Put,
		Condition: platform.IfAbsent,
		Item:      platform.Item{Key: key, Rev: a.rev, Body: body},
	}
}

// answerWrite adds the answer to the attempt's claim.
func answerWrite(key platform.Key, a attempt, holder string, answer Answer, now time.Time) platform.Write {
	kept := &answerBody{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	body := encodeBody(&claimBody{Digest: a.digest, Holder: holder, WrittenAt: now.UnixMilli(), Answer: kept})
	return platform.Write{
		Op:        platform.Put,
		Condition: platform.IfRev,
		WantRev:   a.rev,
		Item:      platform.Item{Key: key, Rev: a.rev + 1, Body: body},
	}
}

// releaseWrite deletes the attempt's claim.
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

// judge returns what the claim in the table means for the attempt.
func judge(item platform.Item, a attempt) (Grant, error) {
	if a.holds(item) {
		return Grant{Decision: Granted, Attempt: a.String()}, nil
	}
	var body claimBody
	if err := json.Unmarshal(item.Body, &body); err != nil {
		return Grant{}, fault.Wrap(err, fault.Protocol, "the claim %s/%s is not readable", item.Key.Partition, item.Key.Sort)
	}
	if body.Digest != a.digest {
		return Grant{}, fault.New(fault.Invalid, "the idempotency key was used before with another request")
	}
	if body.Answer == nil {
		return Grant{Decision: InDoubt}, nil
	}
	answer := &Answer{Status: body.Answer.Status, ContentType: body.Answer.ContentType, Body: body.Answer.Body}
	return Grant{Decision: Replay, Answer: answer}, nil
}
