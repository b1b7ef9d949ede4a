package platform

import (
	"context"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Attributes of an item.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrRev       = "rev"
	attrBody      = "body"
)

// Expressions of conditions and queries. Attribute names are passed as
// placeholders, because the API reserves many words.
const (
	exprAbsent     = "attribute_not_exists(#pk)"
	exprRev        = "#rev = :rev"
	exprPartition  = "#pk = :pk"
	exprAfter      = "#pk = :pk AND #sk > :sk"
	namePartition  = "#pk"
	nameSort       = "#sk"
	nameRev        = "#rev"
	valuePartition = ":pk"
	valueSort      = ":sk"
	valueRev       = ":rev"
)

type attributes = map[string]types.AttributeValue

// awsTable implements Table with the DynamoDB API.
type awsTable struct {
	client  *dynamodb.Client
	table   string
	timeout time.Duration
}

var _ Table = (*awsTable)(nil)

// Get implements Table.
func (t *awsTable) Get(ctx context.Context, key Key) (Item, error) {
	call, cancel := newCall(ctx, t.timeout, readAccess, "GetItem")
	defer cancel()
	out, err := t.client.GetItem(call.ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.table),
		Key:            keyAttributes(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Item{}, call.classify(err)
	}
	if len(out.Item) == 0 {
		return Item{}, fault.New(fault.NotFound, "item %s/%s does not exist", key.Partition, key.Sort)
	}
	return decodeItem(out.Item)
}

// Query implements Table.
func (t *awsTable) Query(ctx context.Context, partition, after string, limit int) ([]Item, error) {
	if limit <= 0 {
		return nil, fault.New(fault.Invalid, "query limit %d is not positive", limit)
	}
	input := t.queryInput(partition, after)
	var items []Item
	for len(items) < limit {
		input.Limit = aws.Int32(int32(min(limit-len(items), maxPageItems)))
		out, err := t.queryPage(ctx, input)
		if err != nil {
			return nil, err
		}
		for _, raw := range out.Items {
			item, err := decodeItem(raw)
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		if len(out.LastEvaluatedKey) == 0 {
			return items, nil
		}
		input.ExclusiveStartKey = out.LastEvaluatedKey
	}
	return items, nil
}

// maxPageItems is the maximum page limit of a query; it keeps the limit within
// an int32.
const maxPageItems = 1 << 20

func (t *awsTable) queryInput(partition, after string) *dynamodb.QueryInput {
	input := &dynamodb.QueryInput{
		TableName:                 aws.String(t.table),
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String(exprPartition),
		ExpressionAttributeNames:  map[string]string{namePartition: attrPartition},
		ExpressionAttributeValues: attributes{valuePartition: stringAttribute(partition)},
	}
	// The API rejects an empty string as the value of a key attribute.
	if after != "" {
		input.KeyConditionExpression = aws.String(exprAfter)
		input.ExpressionAttributeNames[nameSort] = attrSort
		input.ExpressionAttributeValues[valueSort] = stringAttribute(after)
	}
	return input
}

func (t *awsTable) queryPage(ctx context.Context, input *dynamodb.QueryInput) (*dynamodb.QueryOutput, error) {
	call, cancel := newCall(ctx, t.timeout, readAccess, "Query")
	defer cancel()
	out, err := t.client.Query(call.ctx, input)
	if err != nil {
		return nil, call.classify(err)
	}
	return out, nil
}

// Transact implements Table. It sends a single put or delete as a plain write,
// because the platform bills a transaction at twice the rate.
func (t *awsTable) Transact(ctx context.Context, writes []Write) error {
	if err := validateWrites(writes); err != nil {
		return err
	}
	if len(writes) == 1 && writes[0].Op == Put {
		return t.putItem(ctx, &writes[0])
	}
	if len(writes) == 1 && writes[0].Op == Delete {
		return t.deleteItem(ctx, &writes[0])
	}
	return t.transactItems(ctx, writes)
}

func validateWrites(writes []Write) error {
	if len(writes) == 0 || len(writes) > MaxTransactWrites {
		return fault.New(fault.Invalid, "a transaction holds 1 to %d writes, not %d", MaxTransactWrites, len(writes))
	}
	seen := make(map[Key]bool, len(writes))
	for i := range writes {
		w := &writes[i]
		if w.Item.Key.Partition == "" || w.Item.Key.Sort == "" {
			return fault.New(fault.Invalid, "write %d has an empty key", i)
		}
		if seen[w.Item.Key] {
			return fault.New(fault.Invalid, "write %d names key %s/%s again", i, w.Item.Key.Partition, w.Item.Key.Sort)
		}
		seen[w.Item.Key] = true
		if w.Op < Put || w.Op > Check || w.Condition < Always || w.Condition > IfRev {
			return fault.New(fault.Invalid, "write %d has operation %d and condition %d", i, w.Op, w.Condition)
		}
		if w.Op == Check && w.Condition == Always {
			return fault.New(fault.Invalid, "check %d has no condition", i)
		}
	}
	return nil
}

func (t *awsTable) putItem(ctx context.Context, w *Write) error {
	call, cancel := newCall(ctx, t.timeout, writeAccess, "PutItem")
	defer cancel()
	c := encodeCondition(w)
	_, err := t.client.PutItem(call.ctx, &dynamodb.PutItemInput{
		TableName:                 aws.String(t.table),
		Item:                      encodeItem(&w.Item),
		ConditionExpression:       c.expression,
		ExpressionAttributeNames:  c.names,
		ExpressionAttributeValues: c.values,
	})
	return call.classify(err)
}

func (t *awsTable) deleteItem(ctx context.Context, w *Write) error {
	call, cancel := newCall(ctx, t.timeout, writeAccess, "DeleteItem")
	defer cancel()
	c := encodeCondition(w)
	_, err := t.client.DeleteItem(call.ctx, &dynamodb.DeleteItemInput{
		TableName:                 aws.String(t.table),
		Key:                       keyAttributes(w.Item.Key),
		ConditionExpression:       c.expression,
		ExpressionAttributeNames:  c.names,
		ExpressionAttributeValues: c.values,
	})
	return call.classify(err)
}

func (t *awsTable) transactItems(ctx context.Context, writes []Write) error {
	call, cancel := newCall(ctx, t.timeout, writeAccess, "TransactWriteItems")
	defer cancel()
	items := make([]types.TransactWriteItem, len(writes))
	for i := range writes {
		items[i] = t.transactItem(&writes[i])
	}
	_, err := t.client.TransactWriteItems(call.ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	return call.classify(err)
}

func (t *awsTable) transactItem(w *Write) types.TransactWriteItem {
	c := encodeCondition(w)
	switch w.Op {
	case Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName:                 aws.String(t.table),
			Key:                       keyAttributes(w.Item.Key),
			ConditionExpression:       c.expression,
			ExpressionAttributeNames:  c.names,
			ExpressionAttributeValues: c.values,
		}}
	case Check:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName:                 aws.String(t.table),
			Key:                       keyAttributes(w.Item.Key),
			ConditionExpression:       c.expression,
			ExpressionAttributeNames:  c.names,
			ExpressionAttributeValues: c.values,
		}}
	default:
		return types.TransactWriteItem{Put: &types.Put{
			TableName:                 aws.String(t.table),
			Item:                      encodeItem(&w.Item),
			ConditionExpression:       c.expression,
			ExpressionAttributeNames:  c.names,
			ExpressionAttributeValues: c.values,
		}}
	}
}

// conditionExpression is the API's form of a Condition; its fields are nil for
// Always.
type conditionExpression struct {
	expression *string
	names      map[string]string
	values     attributes
}

func encodeCondition(w *Write) conditionExpression {
	switch w.Condition {
	case IfAbsent:
		return conditionExpression{
			expression: aws.String(exprAbsent),
			names:      map[string]string{namePartition: attrPartition},
		}
	case IfRev:
		return conditionExpression{
			expression: aws.String(exprRev),
			names:      map[string]string{nameRev: attrRev},
			values:     attributes{valueRev: numberAttribute(w.WantRev)},
		}
	default:
		return conditionExpression{}
	}
}

func stringAttribute(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttribute(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func keyAttributes(key Key) attributes {
	return attributes{attrPartition: stringAttribute(key.Partition), attrSort: stringAttribute(key.Sort)}
}

func encodeItem(item *Item) attributes {
	encoded := keyAttributes(item.Key)
	encoded[attrRev] = numberAttribute(item.Rev)
	body := item.Body
	if body == nil {
		body = []byte{}
	}
	encoded[attrBody] = &types.AttributeValueMemberB{Value: body}
	return encoded
}

func decodeItem(raw attributes) (Item, error) {
	partition, okPartition := raw[attrPartition].(*types.AttributeValueMemberS)
	sort, okSort := raw[attrSort].(*types.AttributeValueMemberS)
	rev, okRev := raw[attrRev].(*types.AttributeValueMemberN)
	body, okBody := raw[attrBody].(*types.AttributeValueMemberB)
	if !okPartition || !okSort || !okRev || !okBody {
		return Item{}, fault.New(fault.Protocol, "an item lacks pk (S), sk (S), rev (N) or body (B)")
	}
	parsed, err := strconv.ParseUint(rev.Value, 10, 64)
	if err != nil {
		return Item{}, fault.Wrap(err, fault.Protocol, "rev %q of item %s/%s is not a number of 64 bits", rev.Value, partition.Value, sort.Value)
	}
	key := Key{Partition: partition.Value, Sort: sort.Value}
	return Item{Key: key, Rev: parsed, Body: body.Value}, nil
}
