package standin_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/test/standin"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

const (
	getA = `{"TableName":"magnoliamount","Key":{"pk":{"S":"p"},"sk":{"S":"a"}},"ConsistentRead":true}`
	putA = `{"TableName":"magnoliamount","Item":{"pk":{"S":"p"},"sk":{"S":"a"},"rev":{"N":"1"},"body":{"B":""}}}`
)

var _ = Describe("the stand-in", func() {
	var server *httptest.Server
	BeforeEach(func() {
		server = httptest.NewServer(standin.New())
		DeferCleanup(server.Close)
	})

	send := func(method, path, body string, header map[string]string) (int, string) {
		GinkgoHelper()
		request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		for name, value := range header {
			request.Header.Set(name, value)
		}
		answer, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		got, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		return answer.StatusCode, string(got)
	}
	table := func(operation, body string) (int, string) {
		GinkgoHelper()
		return send("POST", "/", body, map[string]string{
			"X-Amz-Target": "DynamoDB_20120810." + operation, "Content-Type": "application/x-amz-json-1.0",
			"Authorization": "AWS4-HMAC-SHA256 test",
		})
	}

	DescribeTable("guards against a request that is answered although part of it is not understood",
		func(operation, body, want string) {
			status, answer := table(operation, body)
			Expect(status).To(Equal(400))
			Expect(answer).To(ContainSubstring(want))
		},
		Entry("an operation", "Scan", `{}`, "UnknownOperationException"),
		Entry("a field", "GetItem", strings.Replace(getA, "ConsistentRead", "AttributesToGet", 1), "SerializationException"),
		Entry("a table", "GetItem", strings.Replace(getA, "magnoliamount", "other", 1), "ResourceNotFoundException"),
		Entry("a type of attribute", "PutItem", strings.Replace(putA, `{"N":"1"}`, `{"BOOL":true}`, 1), "SerializationException"),
		Entry("an attribute", "PutItem", strings.Replace(putA, `"rev"`, `"version"`, 1), "ValidationException"),
		Entry("an empty key", "GetItem", strings.Replace(getA, `"a"`, `""`, 1), "ValidationException"),
		Entry("a condition", "PutItem", strings.Replace(putA, `{"TableName"`, `{"ConditionExpression":"rev < :x","TableName"`, 1), "ValidationException"),
		Entry("an action without a table", "TransactWriteItems", `{"TransactItems":[{}]}`, "ValidationException"),
		Entry("an item twice", "TransactWriteItems", `{"TransactItems":[{"Put":`+putA+`},{"Put":`+putA+`}]}`, "ValidationException"),
	)

	It("guards against requests without signature or with parameters that are not understood", func() {
		status, _ := send("POST", "/", getA, map[string]string{"X-Amz-Target": "DynamoDB_20120810.GetItem", "Content-Type": "application/x-amz-json-1.0"})
		Expect(status).To(Equal(400))
		status, _ = send("GET", "/magnoliamount/x", "", nil)
		Expect(status).To(Equal(403))
		signed := map[string]string{"Authorization": "AWS4-HMAC-SHA256 test", "X-Amz-Content-Sha256": "wrong"}
		status, _ = send("GET", "/magnoliamount?list-type=2", "", signed)
		Expect(status).To(Equal(501))
		status, _ = send("PUT", "/magnoliamount/x", "body", signed)
		Expect(status).To(Equal(400))
	})

	It("guards against faults that cannot be set over HTTP and counts that leave out items", func() {
		status, _ := send("POST", "/_standin/faults", `{"throttle_next":1}`, nil)
		Expect(status).To(Equal(200))
		status, answer := table("PutItem", putA)
		Expect(status).To(Equal(400))
		Expect(answer).To(ContainSubstring("ProvisionedThroughputExceededException"))
		status, _ = table("PutItem", putA)
		Expect(status).To(Equal(200))
		status, _ = table("GetItem", getA)
		Expect(status).To(Equal(200))

		_, answer = send("GET", "/_standin/stats", "", nil)
		var stats standin.Stats
		Expect(json.Unmarshal([]byte(answer), &stats)).To(Succeed())
		Expect(stats.Operations).To(Equal(map[string]uint64{"PutItem": 2, "GetItem": 1}))
		Expect(stats.Items).To(Equal(map[string]standin.Access{"p|a": {Reads: 1, Writes: 1}}))
		Expect(stats.Throttled).To(BeEquivalentTo(1))
	})

	DescribeTable("guards against faults with a typing error, which would switch nothing on",
		func(body string) {
			status, _ := send("POST", "/_standin/faults", body, nil)
			Expect(status).To(Equal(400))
		},
		Entry("an unknown name", `{"outtage":true}`),
		Entry("a rate above one", `{"lose_rate":2}`),
		Entry("a negative number", `{"latency_ms":-1}`),
	)
})
