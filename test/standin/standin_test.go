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

// Requests for the item with the key p, a.
const (
	getItemRequest = `{"TableName":"magnoliamount","Key":{"pk":{"S":"p"},"sk":{"S":"a"}},"ConsistentRead":true}`
	putItemRequest = `{"TableName":"magnoliamount","Item":{"pk":{"S":"p"},"sk":{"S":"a"},"rev":{"N":"1"},"body":{"B":""}}}`
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
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, string(content)
	}
	table := func(operation, body string) (int, string) {
		GinkgoHelper()
		return send("POST", "/", body, map[string]string{
			"X-Amz-Target": "DynamoDB_20120810." + operation, "Content-Type": "application/x-amz-json-1.0",
			"Authorization": "AWS4-HMAC-SHA256 test",
		})
	}

	DescribeTable("rejects a request of which a part is not supported, instead of ignoring that part",
		func(operation, body, code string) {
			status, response := table(operation, body)
			Expect(status).To(Equal(400))
			Expect(response).To(ContainSubstring(code))
		},
		Entry("an unknown operation", "Scan", `{}`, "UnknownOperationException"),
		Entry("an unknown field", "GetItem", strings.Replace(getItemRequest, "ConsistentRead", "AttributesToGet", 1), "SerializationException"),
		Entry("an unknown table", "GetItem", strings.Replace(getItemRequest, "magnoliamount", "other", 1), "ResourceNotFoundException"),
		Entry("an unsupported attribute type", "PutItem", strings.Replace(putItemRequest, `{"N":"1"}`, `{"BOOL":true}`, 1), "SerializationException"),
		Entry("an unknown attribute", "PutItem", strings.Replace(putItemRequest, `"rev"`, `"version"`, 1), "ValidationException"),
		Entry("an empty key", "GetItem", strings.Replace(getItemRequest, `"a"`, `""`, 1), "ValidationException"),
		Entry("an unsupported condition", "PutItem", strings.Replace(putItemRequest, `{"TableName"`, `{"ConditionExpression":"rev < :x","TableName"`, 1), "ValidationException"),
		Entry("a transaction entry without an action", "TransactWriteItems", `{"TransactItems":[{}]}`, "ValidationException"),
		Entry("two actions on one item", "TransactWriteItems", `{"TransactItems":[{"Put":`+putItemRequest+`},{"Put":`+putItemRequest+`}]}`, "ValidationException"),
	)

	It("rejects requests without a signature, with unsupported parameters or with a wrong payload hash", func() {
		status, _ := send("POST", "/", getItemRequest, map[string]string{"X-Amz-Target": "DynamoDB_20120810.GetItem", "Content-Type": "application/x-amz-json-1.0"})
		Expect(status).To(Equal(400))
		status, _ = send("GET", "/magnoliamount/x", "", nil)
		Expect(status).To(Equal(403))
		signed := map[string]string{"Authorization": "AWS4-HMAC-SHA256 test", "X-Amz-Content-Sha256": "wrong"}
		status, _ = send("GET", "/magnoliamount?list-type=2", "", signed)
		Expect(status).To(Equal(501))
		status, _ = send("PUT", "/magnoliamount/x", "body", signed)
		Expect(status).To(Equal(400))
	})

	It("injects faults that are set over HTTP, and counts accesses by item", func() {
		status, _ := send("POST", "/_standin/faults", `{"throttle_next":1}`, nil)
		Expect(status).To(Equal(200))
		status, response := table("PutItem", putItemRequest)
		Expect(status).To(Equal(400))
		Expect(response).To(ContainSubstring("ProvisionedThroughputExceededException"))
		status, _ = table("PutItem", putItemRequest)
		Expect(status).To(Equal(200))
		status, _ = table("GetItem", getItemRequest)
		Expect(status).To(Equal(200))

		_, response = send("GET", "/_standin/stats", "", nil)
		var stats standin.Stats
		Expect(json.Unmarshal([]byte(response), &stats)).To(Succeed())
		Expect(stats.Operations).To(Equal(map[string]uint64{"PutItem": 2, "GetItem": 1}))
		Expect(stats.Items).To(Equal(map[string]standin.AccessCounts{"p|a": {Reads: 1, Writes: 1}}))
		Expect(stats.Throttled).To(BeEquivalentTo(1))
	})

	DescribeTable("rejects invalid faults, which would otherwise inject nothing",
		func(body string) {
			status, _ := send("POST", "/_standin/faults", body, nil)
			Expect(status).To(Equal(400))
		},
		Entry("an unknown field", `{"outtage":true}`),
		Entry("a rate above one", `{"lose_rate":2}`),
		Entry("a negative number", `{"latency_ms":-1}`),
	)
})
