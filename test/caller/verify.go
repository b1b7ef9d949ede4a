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

// maxErrorBytes bounds what is read of a daemon's own answer.
const maxErrorBytes = 64 << 10

// verify reads the answer and fills the attempt. It returns the request's
// verdict and whether the answer was whole and its own.
func (q *request) verify(response *http.Response, a *Attempt) (whole, own bool) {
	a.Status = response.StatusCode
	a.Outcome = response.Header.Get(proxy.OutcomeHeader)
	if a.Outcome != "" && a.Outcome != string(proxy.Ran) {
		q.daemonAnswer(response, a)
		return false, false
	}
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadBytes('\n')
	if err != nil && err != io.EOF {
		a.Verdict, a.Error = Cut, err.Error()
		return false, false
	}
	var answer target.Answer
	if json.Unmarshal(line, &answer) != nil || answer.Digest == "" {
		a.Verdict, a.Error = q.foreignAnswer(response, line)
		return false, false
	}
	a.VM, a.Version = answer.VM, answer.Version
	return q.verifyAnswer(reader, &answer, a)
}

// daemonAnswer handles an answer that a daemon generated.
func (q *request) daemonAnswer(response *http.Response, a *Attempt) {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	a.Error = string(bytes.TrimSpace(body))
	a.Verdict = Unknown
	if a.Outcome == string(proxy.NotRun) {
		a.Verdict = NotRun
	}
}

// foreignAnswer handles an answer that is not a target's. An error status
// without an outcome leaves the outcome unknown.
func (q *request) foreignAnswer(response *http.Response, line []byte) (Verdict, string) {
	if response.StatusCode >= http.StatusBadRequest {
		return Unknown, string(bytes.TrimSpace(line))
	}
	return Wrong, "the body is not a target's answer"
}

func (q *request) verifyAnswer(reader io.Reader, answer *target.Answer, a *Attempt) (whole, own bool) {
	if problem := q.mismatch(answer); problem != "" {
		a.Verdict, a.Error = Wrong, problem
		return false, false
	}
	n, same, err := compare(reader, target.Padding(q.id, answer.Padding))
	switch {
	case err != nil || (same && n < answer.Padding):
		a.Verdict, a.Error = Cut, "the answer ended early"
		return false, true
	case !same || n > answer.Padding:
		a.Verdict, a.Error = Wrong, "the padding differs"
		return true, false
	}
	a.Verdict = Answered
	return true, true
}

// mismatch says in what an answer differs from the one to this request.
func (q *request) mismatch(answer *target.Answer) string {
	switch {
	case answer.ID != q.id:
		return "the answer is to request " + answer.ID
	case answer.Method != q.method:
		return "the method differs"
	case answer.Path != q.path:
		return "the path differs"
	case answer.Bytes != q.bodyBytes || answer.Digest != q.digest:
		return "the digest of the body differs"
	case answer.Padding != q.padding:
		return "the length of the padding differs"
	}
	return ""
}

// compareChunkBytes is the unit of a comparison of bodies.
const compareChunkBytes = 32 << 10

// compare reads got to its end. It returns the number of bytes read, whether
// each of them was as in want, and the error of got.
func compare(got, want io.Reader) (n int64, same bool, err error) {
	buffer := make([]byte, compareChunkBytes)
	expected := make([]byte, compareChunkBytes)
	same = true
	for {
		k, readErr := got.Read(buffer)
		n += int64(k)
		m, _ := io.ReadFull(want, expected[:k])
		same = same && bytes.Equal(buffer[:k], expected[:m])
		if readErr == io.EOF {
			return n, same, nil
		}
		if readErr != nil {
			return n, same, readErr
		}
	}
}
