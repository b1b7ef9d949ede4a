package model

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
)

const (
	// routeDigestBytes is the length of the digest in a route's identifier. Two routes
	// among 10,000 have the same digest with a probability of 10^-21.
	routeDigestBytes = 12
	// routeHintBytes bounds the part of the path in a route's identifier.
	routeHintBytes = 12
	// maxTitlePathRunes bounds the host and path prefix in a route's title.
	maxTitlePathRunes = 120
)

// NormalizeHost returns the host of a request in lower case and without its port.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// RouteID returns the identifier of the route for the host and the path prefix. It is a valid
// Route.Name for routes whose given names need not be unique or valid. It begins with letters
// and digits of the path, which only help to recognize the route.
func RouteID(host, pathPrefix string) string {
	digest := sha256.Sum256([]byte(strings.ToLower(host) + "\x00" + pathPrefix))
	hint := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return -1
	}, pathPrefix)
	return hint[:min(len(hint), routeHintBytes)] + "." + base64.RawURLEncoding.EncodeToString(digest[:routeDigestBytes])
}

// SameRequests reports whether both routes match the same requests.
func (r *Route) SameRequests(other *Route) bool {
	return strings.EqualFold(r.Host, other.Host) && r.PathPrefix == other.PathPrefix
}

// Title returns the route's name for people, with its host and path prefix. Long ones are cut
// off, since log lines contain the title.
func (r *Route) Title() string {
	return fmt.Sprintf("%.*q (%.*q)", MaxNameLength, cmp.Or(r.Label, r.Name), maxTitlePathRunes, r.Host+r.PathPrefix)
}
