package standin

import (
	"maps"
	"slices"
	"strconv"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Limits of the DynamoDB API, in bytes unless said otherwise.
const (
	maxPartitionBytes   = 2048
	maxSortBytes        = 1024
	maxItemBytes        = 400 << 10
	maxTransactionBytes = 4 << 20
	maxPageBytes        = 1 << 20
	// maxTransactionItems is a number of items.
	maxTransactionItems = 100
)

// item is an entry of the table. Only the attributes of package platform exist.
type item struct {
	partition string
	sort      string
	rev       uint64
	body      []byte
}

func (i *item) bytes() int { return len(i.partition) + len(i.sort) + len(i.body) + 32 }

func (i *item) name() string { return i.partition + "|" + i.sort }

// attribute is an attribute value of type S, N or B. The other types are
// unknown fields.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

type attributes map[string]attribute

func (a attributes) hasOnly(names ...string) bool {
	return slices.Equal(slices.Sorted(maps.Keys(a)), names)
}

// key reads the attributes of a key.
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

// onlyKey reads a key without other attributes.
func (a attributes) onlyKey() (item, error) {
	if !a.hasOnly("pk", "sk") {
		return item{}, fault.New(fault.Invalid, "a key has other attributes than pk and sk")
	}
	return a.key()
}

// item reads a whole item.
func (a attributes) item() (item, error) {
	if !a.hasOnly("body", "pk", "rev", "sk") {
		return item{}, fault.New(fault.Invalid, "an item has other attributes than pk, sk, rev and body")
	}
	read, err := a.key()
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
	read.rev = rev
	read.body = *a["body"].B
	if read.bytes() > maxItemBytes {
		return item{}, fault.New(fault.Invalid, "item size has exceeded the maximum allowed size")
	}
	return read, nil
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

// guard is the condition of a write.
type guard struct {
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributes
}

// holds checks the condition against the item, which is nil when absent. It
// knows exactly the expressions of package platform.
func (g *guard) holds(found *item) (bool, error) {
	names, values := g.ExpressionAttributeNames, g.ExpressionAttributeValues
	switch {
	case g.ConditionExpression == "" && len(names) == 0 && len(values) == 0:
		return true, nil
	case g.ConditionExpression == "attribute_not_exists(#pk)" && maps.Equal(names, map[string]string{"#pk": "pk"}) && len(values) == 0:
		return found == nil, nil
	case g.ConditionExpression == "#rev = :rev" && maps.Equal(names, map[string]string{"#rev": "rev"}) && values.hasOnly(":rev") && values[":rev"].N != nil:
		want, err := strconv.ParseUint(*values[":rev"].N, 10, 64)
		if err != nil {
			return false, fault.Wrap(err, fault.Invalid, ":rev is not a number of 64 bits")
		}
		return found != nil && found.rev == want, nil
	default:
		return false, fault.New(fault.Invalid, "condition expression %q is not served", g.ConditionExpression)
	}
}
