package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// maxErrorBodyBytes is the maximum number of bytes read from a response that a
// daemon generated itself.
const maxErrorBodyBytes = 64 << 10

// verify reads the response and sets the fields of the attempt. It reports whether
// the response was complete and whether it matched the request.
func (q *request) verify(response *http.Response, a *Attempt) (complete, matching bool) {
	a.Status = response.StatusCode
	a.Outcome = response.Header.Get(proxy.OutcomeHeader)
	if a.Outcome != "" && a.Outcome != string(proxy.Ran) {
		q.readDaemonResponse(response, a)
		return false, false
	}
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadBytes('\n')
	if err != nil && err != io.EOF {
		a.Verdict, a.Error = Cut, err.Error()
		return false, false
	}
	var answer target.Response
	if json.Unmarshal(line, &answer) != nil || answer.Digest == "" {
		a.Verdict, a.Error = q.verdictForOtherBody(response, line)
		return false, false
	}
	a.VM, a.Version = answer.VM, answer.Version
	return q.verifyAnswer(reader, &answer, a)
}

// readDaemonResponse sets the verdict and the error of the attempt from a response
// that a daemon generated.
func (q *request) readDaemonResponse(response *http.Response, a *Attempt) {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	a.Error = string(bytes.TrimSpace(body))
	a.Verdict = Unknown
	if a.Outcome == string(proxy.NotRun) {
		a.Verdict = NotRun
	}
}

// verdictForOtherBody returns the verdict and the error text for a body that is not
// a target's answer. The outcome of an error status without an outcome header is unknown.
func (q *request) verdictForOtherBody(response *http.Response, line []byte) (Verdict, string) {
	if response.StatusCode >= http.StatusBadRequest {
		return Unknown, string(bytes.TrimSpace(line))
	}
	return Wrong, "the response body is not a target's answer"
}

func (q *request) verifyAnswer(reader io.Reader, answer *target.Response, a *Attempt) (complete, matching bool) {
	if problem := q.mismatch(answer); problem != "" {
		a.Verdict, a.Error = Wrong, problem
		return false, false
	}
	n, same, err := compare(reader, target.Padding(q.id, answer.Padding))
	switch {
	case err != nil || (same && n < answer.Padding):
		a.Verdict, a.Error = Cut, "the response ended early"
		return false, true
	case !same || n > answer.Padding:
		a.Verdict, a.Error = Wrong, "the padding of the response differs"
		return true, false
	}
	a.Verdict = Answered
	return true, true
}

// mismatch describes the first difference between an answer and the request, or
// returns an empty string if the answer matches.
func (q *request) mismatch(answer *target.Response) string {
	switch {
	case answer.ID != q.id:
		return "the response is to request " + answer.ID
	case answer.Method != q.method:
		return "the method differs"
	case answer.Path != q.path:
		return "the path differs"
	case answer.Bytes != q.bodyBytes || answer.Digest != q.digest:
		return "the size or the digest of the request body differs"
	case answer.Padding != q.padding:
		return "the length of the padding differs"
	}
	return ""
}

// compareChunkBytes is the chunk size for comparing bodies.
const compareChunkBytes = 32 << 10

// compare reads actual to its end. It returns the number of bytes read, whether they
// equal the bytes of expected, and the read error of actual.
func compare(actual, expected io.Reader) (n int64, same bool, err error) {
	actualChunk := make([]byte, compareChunkBytes)
	expectedChunk := make([]byte, compareChunkBytes)
	same = true
	for {
		k, readErr := actual.Read(actualChunk)
		n += int64(k)
		m, _ := io.ReadFull(expected, expectedChunk[:k])
		same = same && bytes.Equal(actualChunk[:k], expectedChunk[:m])
		if readErr == io.EOF {
			return n, same, nil
		}
		if readErr != nil {
			return n, same, readErr
		}
	}
}
