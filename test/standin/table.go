package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
)

const (
	amzTargetHeader = "X-Amz-Target"
	amzTargetPrefix = "DynamoDB_20120810."
	tableType       = "application/x-amz-json-1.0"
	errorPrefix     = "com.amazonaws.dynamodb.v20120810#"
	genericPrefix   = "com.amazon.coral.service#"
)

// Error codes of the DynamoDB API.
const (
	codeConditionFailed = "ConditionalCheckFailedException"
	codeCanceled        = "TransactionCanceledException"
	codeInvalid         = "ValidationException"
	codeTableNotFound   = "ResourceNotFoundException"
	codeUnavailable     = "ServiceUnavailable"
	codeInternal        = "InternalServerError"
)

// tableOperation describes an operation of the DynamoDB API. decode decodes its
// input and returns the function that executes it.
type tableOperation struct {
	isWrite bool
	decode  func(body []byte) (func(*Server) response, error)
}

var tableOperations = map[string]tableOperation{
	"GetItem":            {decode: decodeInto((*Server).getItem)},
	"Query":              {decode: decodeInto((*Server).query)},
	"PutItem":            {isWrite: true, decode: decodeInto((*Server).putItem)},
	"DeleteItem":         {isWrite: true, decode: decodeInto((*Server).deleteItem)},
	"TransactWriteItems": {isWrite: true, decode: decodeInto((*Server).transactWriteItems)},
}

// decodeInto returns a decode function for the input type T. It rejects fields
// that T does not have.
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

// parseTable decodes a request of the DynamoDB API. For an unsupported request it
// returns one whose execution fails.
func parseTable(r *http.Request, body []byte) request {
	q := request{errorResponse: tableErrorResponse}
	name, found := strings.CutPrefix(r.Header.Get(amzTargetHeader), amzTargetPrefix)
	operation, known := tableOperations[name]
	switch {
	case !found || !known || r.Method != http.MethodPost || r.URL.Path != "/":
		return q.withFailure(400, "UnknownOperationException", "operation "+r.Header.Get(amzTargetHeader)+" is not served")
	case r.Header.Get("Content-Type") != tableType:
		return q.withFailure(400, "SerializationException", "the content type is not "+tableType)
	case !hasSignature(r):
		return q.withFailure(400, "MissingAuthenticationTokenException", "the request is not signed")
	}
	q.operation = name
	q.isWrite = operation.isWrite
	execute, err := operation.decode(body)
	if err != nil {
		return q.withFailure(400, "SerializationException", err.Error())
	}
	q.execute = execute
	return q
}

// tableError is the body of an error response of the DynamoDB API.
type tableError struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

type cancellationReason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}

func tableErrorResponse(status int, code, message string) response {
	return tableResponse(status, tableError{Type: errorType(code), Message: message})
}

// errorType returns the value of the __type field for an error code.
func errorType(code string) string {
	switch code {
	case codeInvalid, "SerializationException", "UnknownOperationException", "MissingAuthenticationTokenException":
		return genericPrefix + code
	default:
		return errorPrefix + code
	}
}

func tableResponse(status int, value any) response {
	// Marshal cannot fail: the values contain only strings, numbers and bytes.
	body, _ := json.Marshal(value)
	return response{status: status, contentType: tableType, body: body}
}

func validationError(message string) response { return tableErrorResponse(400, codeInvalid, message) }
