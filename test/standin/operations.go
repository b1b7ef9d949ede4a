package standin

import (
	"maps"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

type getItemInput struct {
	TableName      string
	Key            attributes
	ConsistentRead bool
}

type itemOutput struct {
	Item attributes `json:"Item,omitempty"`
}

func (s *Server) getItem(in *getItemInput) response {
	if in.TableName != s.table {
		return tableNotFound(in.TableName)
	}
	key, err := in.Key.onlyKey()
	if err != nil {
		return validationError(err.Error())
	}
	s.countRead(key.name())
	found := s.find(key)
	if found == nil {
		return tableResponse(200, itemOutput{})
	}
	return tableResponse(200, itemOutput{Item: found.attributes()})
}

func tableNotFound(name string) response {
	return tableErrorResponse(400, codeTableNotFound, "table "+name+" does not exist")
}

func (s *Server) find(key item) *item {
	found, ok := s.items[key.partition][key.sort]
	if !ok {
		return nil
	}
	return &found
}

type queryInput struct {
	TableName                 string
	ConsistentRead            bool
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributes
	ExclusiveStartKey         attributes
	Limit                     int
}

type queryOutput struct {
	Items            []attributes
	Count            int
	ScannedCount     int
	LastEvaluatedKey attributes `json:",omitempty"`
}

// parseKeyCondition returns the partition and the exclusive lower bound of the
// sort keys. ok is false if the key condition is not supported.
func (in *queryInput) parseKeyCondition() (partition, after string, ok bool) {
	names, values := in.ExpressionAttributeNames, in.ExpressionAttributeValues
	switch {
	case in.KeyConditionExpression == "#pk = :pk" && maps.Equal(names, map[string]string{"#pk": "pk"}) && values.hasOnly(":pk"):
	case in.KeyConditionExpression == "#pk = :pk AND #sk > :sk" && maps.Equal(names, map[string]string{"#pk": "pk", "#sk": "sk"}) && values.hasOnly(":pk", ":sk"):
		if values[":sk"].S == nil || *values[":sk"].S == "" {
			return "", "", false
		}
		after = *values[":sk"].S
	default:
		return "", "", false
	}
	if values[":pk"].S == nil || *values[":pk"].S == "" {
		return "", "", false
	}
	return *values[":pk"].S, after, true
}

func (s *Server) query(in *queryInput) response {
	if in.TableName != s.table {
		return tableNotFound(in.TableName)
	}
	partition, after, ok := in.parseKeyCondition()
	if !ok || in.Limit < 1 {
		return validationError("the key condition or the limit is not served")
	}
	if in.ExclusiveStartKey != nil {
		start, err := in.ExclusiveStartKey.onlyKey()
		if err != nil || start.partition != partition {
			return validationError("the exclusive start key is not valid")
		}
		after = max(after, start.sort)
	}
	return tableResponse(200, s.page(partition, after, in.Limit))
}

// page returns the items of the partition whose sort key is above after, up to
// limit items or maxPageBytes, whichever is reached first.
func (s *Server) page(partition, after string, limit int) queryOutput {
	out := queryOutput{Items: []attributes{}}
	size := 0
	for _, sort := range slices.Sorted(maps.Keys(s.items[partition])) {
		if sort <= after {
			continue
		}
		found := s.items[partition][sort]
		s.countRead(found.name())
		out.Items = append(out.Items, found.attributes())
		size += found.sizeBytes()
		if len(out.Items) == limit || size >= maxPageBytes {
			out.LastEvaluatedKey = found.keyAttributes()
			break
		}
	}
	out.Count = len(out.Items)
	out.ScannedCount = out.Count
	return out
}

// pendingWrite is a decoded write that has not been applied.
type pendingWrite struct {
	item      item
	kind      writeKind
	condition *writeCondition
}

type writeKind int

const (
	writePut writeKind = iota
	writeDelete
	writeConditionCheck
)

type putItemInput struct {
	TableName string
	Item      attributes
	writeCondition
}

func (in *putItemInput) pendingWrite() (pendingWrite, error) {
	decoded, err := in.Item.item()
	return pendingWrite{item: decoded, kind: writePut, condition: &in.writeCondition}, err
}

func (s *Server) putItem(in *putItemInput) response {
	write, err := in.pendingWrite()
	return s.writeItem(in.TableName, write, err)
}

type deleteItemInput struct {
	TableName string
	Key       attributes
	writeCondition
}

func (in *deleteItemInput) pendingWrite(kind writeKind) (pendingWrite, error) {
	key, err := in.Key.onlyKey()
	return pendingWrite{item: key, kind: kind, condition: &in.writeCondition}, err
}

func (s *Server) deleteItem(in *deleteItemInput) response {
	write, err := in.pendingWrite(writeDelete)
	return s.writeItem(in.TableName, write, err)
}

// writeItem applies a write of one item if its condition is met. err is the error
// of decoding the write.
func (s *Server) writeItem(table string, write pendingWrite, err error) response {
	if table != s.table {
		return tableNotFound(table)
	}
	if err != nil {
		return validationError(err.Error())
	}
	ok, err := write.condition.isMet(s.find(write.item))
	if err != nil {
		return validationError(err.Error())
	}
	if !ok {
		return tableErrorResponse(400, codeConditionFailed, "The conditional request failed")
	}
	s.apply(&write)
	return s.finishWrite(tableResponse(200, struct{}{}), tableErrorResponse)
}

func (s *Server) apply(write *pendingWrite) {
	s.countWrite(write.item.name())
	switch write.kind {
	case writePut:
		if s.items[write.item.partition] == nil {
			s.items[write.item.partition] = map[string]item{}
		}
		s.items[write.item.partition][write.item.sort] = write.item
	case writeDelete:
		delete(s.items[write.item.partition], write.item.sort)
	case writeConditionCheck:
	}
}

type transactInput struct {
	TransactItems []transactItem
	// ClientRequestToken is accepted and ignored, because package platform never
	// retries a request.
	ClientRequestToken string
}

type transactItem struct {
	Put            *putItemInput
	Delete         *deleteItemInput
	ConditionCheck *deleteItemInput
}

// pendingWrite returns the table and the write of the entry. An entry must have
// exactly one action.
func (t *transactItem) pendingWrite() (string, pendingWrite, error) {
	switch {
	case t.Put != nil && t.Delete == nil && t.ConditionCheck == nil:
		write, err := t.Put.pendingWrite()
		return t.Put.TableName, write, err
	case t.Put == nil && t.Delete != nil && t.ConditionCheck == nil:
		write, err := t.Delete.pendingWrite(writeDelete)
		return t.Delete.TableName, write, err
	case t.Put == nil && t.Delete == nil && t.ConditionCheck != nil && t.ConditionCheck.ConditionExpression != "":
		write, err := t.ConditionCheck.pendingWrite(writeConditionCheck)
		return t.ConditionCheck.TableName, write, err
	default:
		return "", pendingWrite{}, fault.New(fault.Invalid, "entry has not exactly one action that is served")
	}
}

func (s *Server) transactWriteItems(in *transactInput) response {
	writes, refusal := s.parseTransaction(in)
	if refusal != nil {
		return *refusal
	}
	reasons := make([]cancellationReason, len(writes))
	canceled := false
	for i := range writes {
		ok, err := writes[i].condition.isMet(s.find(writes[i].item))
		if err != nil {
			return validationError(err.Error())
		}
		reasons[i].Code = "None"
		if !ok {
			reasons[i] = cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
			canceled = true
		}
	}
	if canceled {
		return tableResponse(400, tableError{Type: errorType(codeCanceled), Message: "Transaction cancelled", Reasons: reasons})
	}
	for i := range writes {
		s.apply(&writes[i])
	}
	return s.finishWrite(tableResponse(200, struct{}{}), tableErrorResponse)
}

// parseTransaction decodes the writes of the transaction and checks them against
// the limits of the API. It returns a response if the transaction is invalid.
func (s *Server) parseTransaction(in *transactInput) ([]pendingWrite, *response) {
	reject := func(result response) ([]pendingWrite, *response) { return nil, &result }
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactionItems {
		return reject(validationError("a transaction has 1 to 100 items"))
	}
	seen := map[string]bool{}
	size := 0
	writes := make([]pendingWrite, len(in.TransactItems))
	for i := range in.TransactItems {
		table, write, err := in.TransactItems[i].pendingWrite()
		switch {
		case err != nil:
			return reject(validationError(err.Error()))
		case table != s.table:
			return reject(tableNotFound(table))
		case seen[write.item.name()]:
			return reject(validationError("Transaction request cannot include multiple operations on one item"))
		}
		seen[write.item.name()] = true
		size += write.item.sizeBytes()
		writes[i] = write
	}
	if size > maxTransactionBytes {
		return reject(validationError("the transaction is larger than 4 MB"))
	}
	return writes, nil
}
