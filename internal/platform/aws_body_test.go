package platform

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// closedBody is a closed body whose WriteTo fails, like the SDK's bodies after
// the response has arrived.
type closedBody struct{ io.Reader }

func (closedBody) Close() error                     { return nil }
func (closedBody) WriteTo(io.Writer) (int64, error) { return 0, io.EOF }

// recordedBody is an http.RoundTripper that stores the body of its request.
type recordedBody struct{ body io.ReadCloser }

func (r *recordedBody) RoundTrip(request *http.Request) (*http.Response, error) {
	r.body = request.Body
	return httptest.NewRecorder().Result(), nil
}

var _ = Describe("the bodies of requests to the platform", func() {
	// Guards against connections that are closed during the response, because
	// http.Transport reaches the end of the request's body after the response
	// arrives. 4 of 40 runs of the test of large queries failed on a busy machine
	// with "use of closed network connection".
	It("have no WriteTo, and keep their content", func() {
		next := &recordedBody{}
		body := closedBody{bytes.NewReader([]byte("content"))}
		r, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/", body)
		Expect(err).NotTo(HaveOccurred())
		_, err = plainBodyTransport{next: next}.RoundTrip(r)
		Expect(err).NotTo(HaveOccurred())
		_, hasWriteTo := next.body.(io.WriterTo)
		Expect(hasWriteTo).To(BeFalse())
		Expect(io.ReadAll(next.body)).To(Equal([]byte("content")))
		Expect(r.Body).To(Equal(io.ReadCloser(body)), "the caller's request is unchanged")
	})

	It("may be missing", func() {
		next := &recordedBody{}
		r, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = plainBodyTransport{next: next}.RoundTrip(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.body).To(BeNil())
	})
})
