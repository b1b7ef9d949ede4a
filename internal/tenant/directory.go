// Package tenant finds the tenant that an API key belongs to. It does no I/O.
package tenant

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
)

// maxKeyBytes bounds the length of an API key.
const maxKeyBytes = 512

// scheme is the authentication scheme of requests (RFC 6750), which is compared
// without regard to case.
const scheme = "Bearer"

// Identity is a tenant without its keys.
type Identity struct {
	Name          string
	Priority      uint32
	RatePerSecond float64
	Burst         float64
}

// Directory maps API keys to tenants. It is immutable. It holds digests in place of
// keys; they are computed with a secret of this directory, so that the time of a
// lookup tells nothing about the keys.
type Directory struct {
	secret   [sha256.Size]byte
	byDigest map[digest]*Identity
	tenants  []Identity
	// shared lists the names of tenants that hold a key of another tenant.
	shared []string
}

type digest [sha256.Size]byte

// NewDirectory returns the directory of the tenants, or nil when there are none. A
// key that several tenants hold belongs to none of them.
func NewDirectory(tenants []model.Tenant) *Directory {
	if len(tenants) == 0 {
		return nil
	}
	d := &Directory{byDigest: map[digest]*Identity{}, tenants: make([]Identity, len(tenants))}
	// Read never fails (crypto/rand).
	_, _ = rand.Read(d.secret[:])
	for i := range tenants {
		t := &tenants[i]
		d.tenants[i] = Identity{Name: t.Name, Priority: t.Priority, RatePerSecond: t.RatePerSecond, Burst: t.Burst}
		for _, key := range t.Keys {
			d.add(key, &d.tenants[i])
		}
	}
	slices.Sort(d.shared)
	d.shared = slices.Compact(d.shared)
	return d
}

func (d *Directory) add(key string, holder *Identity) {
	sum := d.digest(key)
	other, known := d.byDigest[sum]
	if !known {
		d.byDigest[sum] = holder
		return
	}
	if other != nil && other.Name != holder.Name {
		d.shared = append(d.shared, other.Name, holder.Name)
		d.byDigest[sum] = nil
	}
}

func (d *Directory) digest(key string) digest {
	mac := hmac.New(sha256.New, d.secret[:])
	// A hash.Hash never returns an error.
	_, _ = mac.Write([]byte(key))
	return digest(mac.Sum(nil))
}

// Tenants returns all tenants. The caller must not change them.
func (d *Directory) Tenants() []Identity { return d.tenants }

// SharedKeyHolders returns the sorted names of the tenants that hold a key of
// another tenant.
func (d *Directory) SharedKeyHolders() []string { return d.shared }

// Reason is why an Authorization header names no tenant.
type Reason string

// Reasons of a failed authentication.
const (
	Missing  Reason = "missing"
	Repeated Reason = "repeated"
	// Malformed is a header of another scheme, or without a valid key.
	Malformed Reason = "malformed"
	Unknown   Reason = "unknown"
	// Shared is a key that several tenants hold.
	Shared Reason = "shared"
)

// Authenticate returns the tenant whose key the values of an Authorization header
// hold. Otherwise it returns the reason and an error of kind fault.Unauthorized, which
// does not contain the key.
func (d *Directory) Authenticate(authorization []string) (*Identity, Reason, error) {
	switch len(authorization) {
	case 0:
		return nil, Missing, fault.New(fault.Unauthorized, "the request has no API key")
	case 1:
	default:
		return nil, Repeated, fault.New(fault.Unauthorized, "the request has %d Authorization headers", len(authorization))
	}
	name, key, _ := strings.Cut(authorization[0], " ")
	if !strings.EqualFold(name, scheme) {
		return nil, Malformed, fault.New(fault.Unauthorized, "the Authorization header does not use the scheme %s", scheme)
	}
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, notVisible) {
		return nil, Malformed, fault.New(fault.Unauthorized, "the API key is not 1 to %d visible ASCII characters", maxKeyBytes)
	}
	holder, known := d.byDigest[d.digest(key)]
	switch {
	case !known:
		return nil, Unknown, fault.New(fault.Unauthorized, "no tenant holds the API key")
	case holder == nil:
		return nil, Shared, fault.New(fault.Unauthorized, "several tenants hold the API key")
	}
	return holder, "", nil
}

func notVisible(r rune) bool { return r < '!' || r > '~' }
