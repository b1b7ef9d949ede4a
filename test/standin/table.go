package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
)

const (
	targetHeader  = "X-Amz-Target"
	targetPrefix  = "DynamoDB_20120810."
	tableType     = "application/x-amz-json-1.0"
	errorPrefix   = "com.amazonaws.dynamodb.v20120810#"
	genericPrefix = "com.amazon.coral.service#"
)

// Codes of errors of the DynamoDB API.
const (
	codeCondition   = "ConditionalCheckFailedException"
	codeCanceled    = "TransactionCanceledException"
	codeInvalid     = "ValidationException"
	codeNoTable     = "ResourceNotFoundException"
	codeUnavailable = "ServiceUnavailable"
	codeInternal    = "InternalServerError"
)

// tableOperation decodes an operation's input and returns its execution.
type tableOperation struct {
	writes bool
	decode func(body []byte) (func(*Server) response, error)
}

var tableOperations = map[string]tableOperation{
	"GetItem":            {decode: decodeInto((*Server).getItem)},
	"Query":              {decode: decodeInto((*Server).query)},
	"PutItem":            {writes: true, decode: decodeInto((*Server).putItem)},
	"DeleteItem":         {writes: true, decode: decodeInto((*Server).deleteItem)},
	"TransactWriteItems": {writes: true, decode: decodeInto((*Server).transactWriteItems)},
}

// decodeInto refuses fields that the input type does not have.
func decodeInto[T any](execute func(*Server, *T) response) func([]byte) (func(*Server) response, error) {
	return func(body []byte) (func(*Server) response, error) {
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		input := new(T)
		if err := decoder.Decode(input); err != nil {
			return nil, err
		}
		return func(s *Server) response { return execute(s, input) }, nil
	}
}

// parseTable reads a request of the DynamoDB API. A request that is not known
// becomes one that fails.
func parseTable(r *http.Request, body []byte) request {
	q := request{failure: tableFailure}
	name, found := strings.CutPrefix(r.Header.Get(targetHeader), targetPrefix)
	operation, known := tableOperations[name]
	switch {
	case !found || !known || r.Method != http.MethodPost || r.URL.Path != "/":
		return q.failing(400, "UnknownOperationException", "operation "+r.Header.Get(targetHeader)+" is not served")
	case r.Header.Get("Content-Type") != tableType:
		return q.failing(400, "SerializationException", "the content type is not "+tableType)
	case !signed(r):
		return q.failing(400, "MissingAuthenticationTokenException", "the request is not signed")
	}
	q.operation = name
	q.writes = operation.writes
	execute, err := operation.decode(body)
	if err != nil {
		return q.failing(400, "SerializationException", err.Error())
	}
	q.execute = execute
	return q
}

// tableError is the body of an error of the DynamoDB API.
type tableError struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

type cancellationReason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}

func tableFailure(status int, code, message string) response {
	return tableResponse(status, tableError{Type: errorType(code), Message: message})
}

func errorType(code string) string {
	switch code {
	case codeInvalid, "SerializationException", "UnknownOperationException", "MissingAuthenticationTokenException":
		return genericPrefix + code
	default:
		return errorPrefix + code
	}
}

func tableResponse(status int, value any) response {
	// Marshal cannot fail: the types hold only strings, numbers and bytes.
	body, _ := json.Marshal(value)
	return response{status: status, contentType: tableType, body: body}
}

func invalid(message string) response { return tableFailure(400, codeInvalid, message) }
