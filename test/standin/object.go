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
	payloadHashHeader = "X-Amz-Content-Sha256"
	// unsignedPayload replaces the payload hash in requests over TLS.
	unsignedPayload = "UNSIGNED-PAYLOAD"
	operationPut    = "PutObject"
	operationGet    = "GetObject"
)

func (q *request) isObject() bool {
	return q.operation == operationPut || q.operation == operationGet
}

// parseObject decodes a request of the S3 API. For an unsupported request it
// returns one whose execution fails.
func parseObject(r *http.Request, body []byte) request {
	bucket, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	q := request{errorResponse: objectErrorResponse}
	switch {
	case !hasSignature(r):
		return q.withFailure(403, "AccessDenied", "the request is not signed")
	case name == "" || !isKnownQuery(r.URL.Query()):
		return q.withFailure(501, "NotImplemented", "only objects are served, without parameters")
	case r.Method == http.MethodPut:
		q.operation = operationPut
		q.isWrite = true
		if !hashMatches(r.Header.Get(payloadHashHeader), body) {
			return q.withFailure(400, "XAmzContentSHA256Mismatch", "the body does not have the hash of the header")
		}
		q.execute = func(s *Server) response { return s.putObject(bucket, name, body) }
	case r.Method == http.MethodGet:
		q.operation = operationGet
		q.execute = func(s *Server) response { return s.getObject(bucket, name) }
	default:
		return q.withFailure(501, "NotImplemented", "method "+r.Method+" is not served")
	}
	return q
}

// withFailure returns a copy of the request whose execution returns the error.
func (q request) withFailure(status int, code, message string) request {
	q.execute = func(*Server) response { return q.errorResponse(status, code, message) }
	return q
}

// hasSignature reports whether the request has an AWS signature. It does not
// verify the signature.
func hasSignature(r *http.Request) bool {
	return strings.HasPrefix(r.Header.Get("Authorization"), "AWS4-HMAC-SHA256 ")
}

// isKnownQuery reports whether the query contains nothing but x-id, the
// operation's name that the SDK adds.
func isKnownQuery(query url.Values) bool {
	for name, values := range query {
		if name != "x-id" || !slices.Contains([]string{operationPut, operationGet}, strings.Join(values, ",")) {
			return false
		}
	}
	return true
}

// hashMatches reports whether the payload hash header matches the body.
func hashMatches(header string, body []byte) bool {
	sum := sha256.Sum256(body)
	return header == unsignedPayload || header == hex.EncodeToString(sum[:])
}

func (s *Server) putObject(bucket, name string, body []byte) response {
	if bucket != s.bucket {
		return objectErrorResponse(404, "NoSuchBucket", "bucket "+bucket+" does not exist")
	}
	s.objects[name] = body
	s.countWrite("object|" + name)
	return s.finishWrite(response{status: 200, contentType: "application/xml", header: etag(body)}, objectErrorResponse)
}

func (s *Server) getObject(bucket, name string) response {
	if bucket != s.bucket {
		return objectErrorResponse(404, "NoSuchBucket", "bucket "+bucket+" does not exist")
	}
	s.countRead("object|" + name)
	body, ok := s.objects[name]
	if !ok {
		return objectErrorResponse(404, "NoSuchKey", "object "+name+" does not exist")
	}
	return response{status: 200, contentType: "application/octet-stream", header: etag(body), body: body}
}

func etag(body []byte) map[string]string {
	sum := sha256.Sum256(body)
	return map[string]string{"ETag": `"` + hex.EncodeToString(sum[:16]) + `"`}
}

// finishWrite returns the response to a completed write. It returns an internal
// error instead while Faults.InternalErrorNext is above 0.
func (s *Server) finishWrite(success response, errorResponse func(int, string, string) response) response {
	if s.faults.InternalErrorNext == 0 {
		return success
	}
	s.faults.InternalErrorNext--
	return errorResponse(500, codeInternal, "the stand-in failed after the write")
}

// objectError is the body of an error response of the S3 API.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string   `xml:"Code"`
	Message string   `xml:"Message"`
}

func objectErrorResponse(status int, code, message string) response {
	// Marshal cannot fail: the type holds only strings.
	body, _ := xml.Marshal(objectError{Code: objectCode(code), Message: message})
	return response{status: status, contentType: "application/xml", body: body}
}

// objectCode maps the error codes whose names differ between the two APIs to
// those of the S3 API.
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
