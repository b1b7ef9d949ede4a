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
		return noTable(in.TableName)
	}
	key, err := in.Key.onlyKey()
	if err != nil {
		return invalid(err.Error())
	}
	s.countRead(key.name())
	found := s.find(key)
	if found == nil {
		return tableResponse(200, itemOutput{})
	}
	return tableResponse(200, itemOutput{Item: found.attributes()})
}

func noTable(name string) response {
	return tableFailure(400, codeNoTable, "table "+name+" does not exist")
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

// bounds returns the partition and the sort key after which items match.
func (in *queryInput) bounds() (partition, after string, ok bool) {
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
		return noTable(in.TableName)
	}
	partition, after, ok := in.bounds()
	if !ok || in.Limit < 1 {
		return invalid("the key condition or the limit is not served")
	}
	if in.ExclusiveStartKey != nil {
		start, err := in.ExclusiveStartKey.onlyKey()
		if err != nil || start.partition != partition {
			return invalid("the exclusive start key is not valid")
		}
		after = max(after, start.sort)
	}
	return tableResponse(200, s.page(partition, after, in.Limit))
}

// page collects items up to the limit or the size of a page, whichever comes first.
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
		size += found.bytes()
		if len(out.Items) == limit || size >= maxPageBytes {
			out.LastEvaluatedKey = found.keyAttributes()
			break
		}
	}
	out.Count = len(out.Items)
	out.ScannedCount = out.Count
	return out
}

// change is a write that is ready to be applied.
type change struct {
	item  item
	kind  changeKind
	guard *guard
}

type changeKind int

const (
	putting changeKind = iota
	deleting
	checking
)

type putItemInput struct {
	TableName string
	Item      attributes
	guard
}

func (in *putItemInput) change() (change, error) {
	read, err := in.Item.item()
	return change{item: read, kind: putting, guard: &in.guard}, err
}

func (s *Server) putItem(in *putItemInput) response {
	c, err := in.change()
	return s.single(in.TableName, c, err)
}

type deleteItemInput struct {
	TableName string
	Key       attributes
	guard
}

func (in *deleteItemInput) change(kind changeKind) (change, error) {
	key, err := in.Key.onlyKey()
	return change{item: key, kind: kind, guard: &in.guard}, err
}

func (s *Server) deleteItem(in *deleteItemInput) response {
	c, err := in.change(deleting)
	return s.single(in.TableName, c, err)
}

func (s *Server) single(table string, c change, err error) response {
	if table != s.table {
		return noTable(table)
	}
	if err != nil {
		return invalid(err.Error())
	}
	ok, err := c.guard.holds(s.find(c.item))
	if err != nil {
		return invalid(err.Error())
	}
	if !ok {
		return tableFailure(400, codeCondition, "The conditional request failed")
	}
	s.apply(&c)
	return s.wrote(tableResponse(200, struct{}{}), tableFailure)
}

func (s *Server) apply(c *change) {
	s.countWrite(c.item.name())
	switch c.kind {
	case putting:
		if s.items[c.item.partition] == nil {
			s.items[c.item.partition] = map[string]item{}
		}
		s.items[c.item.partition][c.item.sort] = c.item
	case deleting:
		delete(s.items[c.item.partition], c.item.sort)
	case checking:
	}
}

type transactInput struct {
	TransactItems []transactItem
	// ClientRequestToken is accepted and ignored: the adapter repeats no request.
	ClientRequestToken string
}

type transactItem struct {
	Put            *putItemInput
	Delete         *deleteItemInput
	ConditionCheck *deleteItemInput
}

// change reads the one action of the entry, and its table.
func (t *transactItem) change() (string, change, error) {
	switch {
	case t.Put != nil && t.Delete == nil && t.ConditionCheck == nil:
		c, err := t.Put.change()
		return t.Put.TableName, c, err
	case t.Put == nil && t.Delete != nil && t.ConditionCheck == nil:
		c, err := t.Delete.change(deleting)
		return t.Delete.TableName, c, err
	case t.Put == nil && t.Delete == nil && t.ConditionCheck != nil && t.ConditionCheck.ConditionExpression != "":
		c, err := t.ConditionCheck.change(checking)
		return t.ConditionCheck.TableName, c, err
	default:
		return "", change{}, fault.New(fault.Invalid, "entry has not exactly one action that is served")
	}
}

func (s *Server) transactWriteItems(in *transactInput) response {
	changes, refusal := s.readChanges(in)
	if refusal != nil {
		return *refusal
	}
	reasons := make([]cancellationReason, len(changes))
	canceled := false
	for i := range changes {
		ok, err := changes[i].guard.holds(s.find(changes[i].item))
		if err != nil {
			return invalid(err.Error())
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
	for i := range changes {
		s.apply(&changes[i])
	}
	return s.wrote(tableResponse(200, struct{}{}), tableFailure)
}

// readChanges checks the transaction against the limits of the API.
func (s *Server) readChanges(in *transactInput) ([]change, *response) {
	refuse := func(answer response) ([]change, *response) { return nil, &answer }
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactionItems {
		return refuse(invalid("a transaction has 1 to 100 items"))
	}
	seen := map[string]bool{}
	size := 0
	changes := make([]change, len(in.TransactItems))
	for i := range in.TransactItems {
		table, c, err := in.TransactItems[i].change()
		switch {
		case err != nil:
			return refuse(invalid(err.Error()))
		case table != s.table:
			return refuse(noTable(table))
		case seen[c.item.name()]:
			return refuse(invalid("Transaction request cannot include multiple operations on one item"))
		}
		seen[c.item.name()] = true
		size += c.item.bytes()
		changes[i] = c
	}
	if size > maxTransactionBytes {
		return refuse(invalid("the transaction is larger than 4 MB"))
	}
	return changes, nil
}
