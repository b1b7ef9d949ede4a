package mesh

import (
	"cmp"
	"encoding/json"
	"regexp"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// Table is the product's own table in the platform's store. All rows are in
// one part, so that any of them can be changed in one transaction.
const Table = "mesh"

// Prefixes of the names of rows.
const (
	targetPrefix   = "target/"
	baselinePrefix = "baseline/"
	movePrefix     = "move/"
	crashPrefix    = "crash/"
)

// maxSlots bounds what a target may announce.
const maxSlots = 4096

// printable matches the names that rows may hold.
var printable = regexp.MustCompile(`^[!-~]{1,128}$`)

// TargetRecord is the row of a daemon and the target beside it.
type TargetRecord struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence counts the changes of the record by one start of the daemon.
	Sequence uint64 `json:"sequence"`
	// State is "ready", "draining" or "gone".
	State   string `json:"state"`
	Domain  string `json:"domain"`
	Inbound string `json:"inbound"`
	// Peer takes evidence.
	Peer    string `json:"peer"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	// Instance is the run of the target; daemons elsewhere do not use it.
	Instance string `json:"instance,omitempty"`
	Slots    uint32 `json:"slots,omitempty"`
	// ColdMS is how long the target stayed cold when the row was written, in milliseconds.
	ColdMS int64 `json:"cold_ms,omitempty"`
	// LinkRate is what the VM's link carries, in bytes a second.
	LinkRate uint64 `json:"link_rate,omitempty"`
}

// baselineRecord names the version that has all traffic of a service when no
// move is open.
type baselineRecord struct {
	Version string `json:"version"`
}

// Results of a move.
const (
	resultOpen      = ""
	resultDone      = "done"
	resultTakenBack = "taken-back"
)

// moveRecord is the state of a service's newest move, written by its leader.
type moveRecord struct {
	// Order is the revision of the order; an older one is superseded.
	Order   uint64 `json:"order"`
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// AcceptedMS and FinishMS are times of the store's clock, in milliseconds.
	AcceptedMS int64 `json:"accepted_ms"`
	FinishMS   int64 `json:"finish_ms"`
	// Epoch counts the leaders of the move.
	Epoch uint64 `json:"epoch"`
	// Leader and LeaderRun name the daemon that decides, and its start.
	Leader    string `json:"leader"`
	LeaderRun uint64 `json:"leader_run"`
	// Evidence is where the leader takes evidence.
	Evidence string `json:"evidence"`
	Number   uint32 `json:"number"`
	Permille uint32 `json:"permille"`
	Focus    uint32 `json:"focus,omitempty"`
	Result   string `json:"result,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// crashRecord counts the targets that died while they ran a request.
type crashRecord struct {
	Count uint32 `json:"count"`
}

func ownKey(name string) rows.Key { return rows.Key{Table: Table, Name: name} }

// TargetKey returns the key of a VM's target row.
func TargetKey(vm string) rows.Key { return ownKey(targetPrefix + vm) }

// encode returns the row of a record.
func encode(key rows.Key, record any) rows.Row {
	value, err := json.Marshal(record)
	if err != nil {
		// The records hold only strings and numbers, which always encode.
		value = []byte("{}")
	}
	return rows.Row{Key: key, Value: value}
}

// Row returns the row of the record.
func (r *TargetRecord) Row() rows.Row { return encode(TargetKey(r.VM), r) }

// DecodeTarget decodes a target row. It fails with fault.Invalid.
func DecodeTarget(row rows.Row) (*TargetRecord, error) {
	record := &TargetRecord{}
	if err := json.Unmarshal(row.Value, record); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "row %q is not a target", row.Name)
	}
	if TargetKey(record.VM).Name != row.Name || !printable.MatchString(record.VM) {
		return nil, fault.New(fault.Invalid, "row %q names VM %q", row.Name, record.VM)
	}
	if record.Service != "" && (!printable.MatchString(record.Service) || !printable.MatchString(record.Version)) {
		return nil, fault.New(fault.Invalid, "row %q names service %q, version %q", row.Name, record.Service, record.Version)
	}
	if record.Slots > maxSlots || record.Inbound == "" {
		return nil, fault.New(fault.Invalid, "row %q has %d slots and the address %q", row.Name, record.Slots, record.Inbound)
	}
	return record, nil
}

// newer reports whether the record replaces other, one of the same VM.
func (r *TargetRecord) newer(other *TargetRecord) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Sequence, other.Sequence)) > 0
}

var states = map[string]member.State{"ready": member.Ready, "draining": member.Draining, "gone": member.Gone}

// endpoint returns the record as an endpoint, received at the time.
func (r *TargetRecord) endpoint(received time.Time, connections uint32) member.Endpoint {
	e := member.Endpoint{
		VM: r.VM, Incarnation: r.Incarnation, State: states[r.State], Domain: r.Domain, InboundAddress: r.Inbound,
		Target: member.Target{Service: r.Service, Version: r.Version, Slots: r.Slots, Connections: connections, LinkRate: r.LinkRate},
	}
	e.Target.WarmAt = received.Add(time.Duration(r.ColdMS) * time.Millisecond)
	return e
}

func decodeInto(row rows.Row, record any) error {
	if err := json.Unmarshal(row.Value, record); err != nil {
		return fault.Wrap(err, fault.Invalid, "row %q cannot be decoded", row.Name)
	}
	return nil
}

func suffix(name, prefix string) (string, bool) { return strings.CutPrefix(name, prefix) }
