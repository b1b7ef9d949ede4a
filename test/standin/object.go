package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/xml"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

const (
	hashHeader = "X-Amz-Content-Sha256"
	// unsignedPayload is sent in place of the hash over TLS.
	unsignedPayload = "UNSIGNED-PAYLOAD"
	operationPut    = "PutObject"
	operationGet    = "GetObject"
)

func (q *request) isObject() bool {
	return q.operation == operationPut || q.operation == operationGet
}

// parseObject reads a request of the S3 API. A request that is not known
// becomes one that fails.
func parseObject(r *http.Request, body []byte) request {
	bucket, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	q := request{failure: objectFailure}
	switch {
	case !signed(r):
		return q.failing(403, "AccessDenied", "the request is not signed")
	case name == "" || !knownQuery(r.URL.Query()):
		return q.failing(501, "NotImplemented", "only objects are served, without parameters")
	case r.Method == http.MethodPut:
		q.operation = operationPut
		q.writes = true
		if !hashMatches(r.Header.Get(hashHeader), body) {
			return q.failing(400, "XAmzContentSHA256Mismatch", "the body does not have the hash of the header")
		}
		q.execute = func(s *Server) response { return s.putObject(bucket, name, body) }
	case r.Method == http.MethodGet:
		q.operation = operationGet
		q.execute = func(s *Server) response { return s.getObject(bucket, name) }
	default:
		return q.failing(501, "NotImplemented", "method "+r.Method+" is not served")
	}
	return q
}

// failing is the request with a fixed failure as its result.
func (q request) failing(status int, code, message string) request {
	q.execute = func(*Server) response { return q.failure(status, code, message) }
	return q
}

func signed(r *http.Request) bool {
	return strings.HasPrefix(r.Header.Get("Authorization"), "AWS4-HMAC-SHA256 ")
}

// knownQuery accepts only the operation's name, which the SDK adds.
func knownQuery(query url.Values) bool {
	for name, values := range query {
		if name != "x-id" || !slices.Contains([]string{operationPut, operationGet}, strings.Join(values, ",")) {
			return false
		}
	}
	return true
}

func hashMatches(header string, body []byte) bool {
	sum := sha256.Sum256(body)
	return header == unsignedPayload || header == hex.EncodeToString(sum[:])
}

func (s *Server) putObject(bucket, name string, body []byte) response {
	if bucket != s.bucket {
		return objectFailure(404, "NoSuchBucket", "bucket "+bucket+" does not exist")
	}
	s.objects[name] = body
	s.countWrite("object|" + name)
	return s.wrote(response{status: 200, contentType: "application/xml", header: etag(body)}, objectFailure)
}

func (s *Server) getObject(bucket, name string) response {
	if bucket != s.bucket {
		return objectFailure(404, "NoSuchBucket", "bucket "+bucket+" does not exist")
	}
	s.countRead("object|" + name)
	body, ok := s.objects[name]
	if !ok {
		return objectFailure(404, "NoSuchKey", "object "+name+" does not exist")
	}
	return response{status: 200, contentType: "application/octet-stream", header: etag(body), body: body}
}

func etag(body []byte) map[string]string {
	sum := sha256.Sum256(body)
	return map[string]string{"ETag": `"` + hex.EncodeToString(sum[:16]) + `"`}
}

// wrote replaces the answer to a write by an internal error when that fault is on.
func (s *Server) wrote(answer response, failure func(int, string, string) response) response {
	if s.faults.InternalErrorNext == 0 {
		return answer
	}
	s.faults.InternalErrorNext--
	return failure(500, codeInternal, "the stand-in failed after the write")
}

// objectError is the body of an error of the S3 API.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
}

func objectFailure(status int, code, message string) response {
	// Marshal cannot fail: the type holds only strings.
	body, _ := xml.Marshal(objectError{Code: objectCode(code), Message: message})
	return response{status: status, contentType: "application/xml", body: body}
}

// objectCode maps the codes that both APIs have under different names.
func objectCode(code string) string {
	switch code {
	case codeUnavailable:
		return "ServiceUnavailable"
	case codeInternal:
		return "InternalError"
	default:
		return code
	}
}
