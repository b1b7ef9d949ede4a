package standin

import (
	"maps"
	"slices"
	"strconv"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Limits of the DynamoDB API, in bytes unless stated otherwise.
const (
	maxPartitionBytes   = 2048
	maxSortBytes        = 1024
	maxItemBytes        = 400 << 10
	maxTransactionBytes = 4 << 20
	maxPageBytes        = 1 << 20
	// maxTransactionItems is a number of items.
	maxTransactionItems = 100
)

// item is an item of the table. It has only the attributes that package platform
// uses.
type item struct {
	partition string
	sort      string
	rev       uint64
	body      []byte
}

// sizeBytes returns the approximate size of the item in the table: its key and
// body and 32 bytes of overhead.
func (i *item) sizeBytes() int { return len(i.partition) + len(i.sort) + len(i.body) + 32 }

// name returns the item's key in Stats.Items.
func (i *item) name() string { return i.partition + "|" + i.sort }

// attribute is an attribute value of type S, N or B. The decoder rejects other
// types as unknown fields.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

type attributes map[string]attribute

// hasOnly reports whether the attribute names are exactly the given ones, which
// must be sorted.
func (a attributes) hasOnly(names ...string) bool {
	return slices.Equal(slices.Sorted(maps.Keys(a)), names)
}

// key returns an item with the key in the attributes. It ignores other attributes.
func (a attributes) key() (item, error) {
	pk, sk := a["pk"].S, a["sk"].S
	switch {
	case pk == nil || sk == nil:
		return item{}, fault.New(fault.Invalid, "pk and sk are not both of type S")
	case *pk == "" || *sk == "":
		return item{}, fault.New(fault.Invalid, "a key attribute is empty")
	case len(*pk) > maxPartitionBytes || len(*sk) > maxSortBytes:
		return item{}, fault.New(fault.Invalid, "a key attribute is too long")
	}
	return item{partition: *pk, sort: *sk}, nil
}

// onlyKey is like key but rejects attributes other than those of the key.
func (a attributes) onlyKey() (item, error) {
	if !a.hasOnly("pk", "sk") {
		return item{}, fault.New(fault.Invalid, "a key has other attributes than pk and sk")
	}
	return a.key()
}

// item returns the item with all its attributes.
func (a attributes) item() (item, error) {
	if !a.hasOnly("body", "pk", "rev", "sk") {
		return item{}, fault.New(fault.Invalid, "an item has other attributes than pk, sk, rev and body")
	}
	decoded, err := a.key()
	if err != nil {
		return item{}, err
	}
	if a["rev"].N == nil || a["body"].B == nil {
		return item{}, fault.New(fault.Invalid, "rev is not of type N or body is not of type B")
	}
	rev, err := strconv.ParseUint(*a["rev"].N, 10, 64)
	if err != nil {
		return item{}, fault.Wrap(err, fault.Invalid, "rev is not a number of 64 bits")
	}
	decoded.rev = rev
	decoded.body = *a["body"].B
	if decoded.sizeBytes() > maxItemBytes {
		return item{}, fault.New(fault.Invalid, "item size has exceeded the maximum allowed size")
	}
	return decoded, nil
}

func (i *item) keyAttributes() attributes {
	return attributes{"pk": {S: &i.partition}, "sk": {S: &i.sort}}
}

func (i *item) attributes() attributes {
	encoded := i.keyAttributes()
	rev := strconv.FormatUint(i.rev, 10)
	encoded["rev"] = attribute{N: &rev}
	encoded["body"] = attribute{B: &i.body}
	return encoded
}

// writeCondition is the condition expression of a write.
type writeCondition struct {
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributes
}

// isMet reports whether the condition is met by the stored item, which is nil if
// it does not exist. It supports only the expressions that package platform sends.
func (c *writeCondition) isMet(stored *item) (bool, error) {
	names, values := c.ExpressionAttributeNames, c.ExpressionAttributeValues
	switch {
	case c.ConditionExpression == "" && len(names) == 0 && len(values) == 0:
		return true, nil
	case c.ConditionExpression == "attribute_not_exists(#pk)" && maps.Equal(names, map[string]string{"#pk": "pk"}) && len(values) == 0:
		return stored == nil, nil
	case c.ConditionExpression == "#rev = :rev" && maps.Equal(names, map[string]string{"#rev": "rev"}) && values.hasOnly(":rev") && values[":rev"].N != nil:
		expected, err := strconv.ParseUint(*values[":rev"].N, 10, 64)
		if err != nil {
			return false, fault.Wrap(err, fault.Invalid, ":rev is not a number of 64 bits")
		}
		return stored != nil && stored.rev == expected, nil
	default:
		return false, fault.New(fault.Invalid, "condition expression %q is not served", c.ConditionExpression)
	}
}
