package mesh

import (
	"cmp"
	"encoding/json"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// Table is the product's own table in the platform's store. All rows are in
// one part, so that one transaction can change any of them.
const Table = "mesh"

// Prefixes of row names.
const (
	targetPrefix   = "target/"
	baselinePrefix = "baseline/"
	movePrefix     = "move/"
	crashPrefix    = "crash/"
)

// Ranges of the numbers in rows. Beyond them, arithmetic with the numbers could
// overflow, and no later row could replace the row.
const (
	// maxSlots is the largest number of slots that a target may announce.
	maxSlots = 4096
	// maxColdMS is the longest time for which a target may be cold: one day.
	maxColdMS = 24 * 3600 * 1000
	// maxLinkRate is above the rate of any link, in bytes per second.
	maxLinkRate = 1 << 50
	// maxCount bounds counters that daemons increment.
	maxCount = 1 << 62
	// maxEra is the last era that versions of rows can hold.
	maxEra = 1<<24 - 1
	// maxClockMS bounds times on the store's clock: 200 years.
	maxClockMS = 200 * 365 * 24 * 3600 * 1000
)

// printableName matches the names that rows may contain.
var printableName = regexp.MustCompile(`^[!-~]{1,128}$`)

// TargetRecord is the row of a daemon and the target on its VM.
type TargetRecord struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence counts the changes of the record since the start of the daemon.
	Sequence uint64 `json:"sequence"`
	// Era is the era of the store in which the daemon created the record. A daemon
	// that starts after a restore of the store may continue from an older
	// incarnation than others know.
	Era uint64 `json:"era,omitempty"`
	// State is "ready", "draining" or "gone".
	State  string `json:"state"`
	Domain string `json:"domain"`
	// Inbound is the address to which other daemons send requests.
	Inbound string `json:"inbound"`
	// Peer is the address to which other daemons send evidence and rows.
	Peer    string `json:"peer"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	// Instance identifies the run of the target; other daemons do not use it.
	Instance string `json:"instance,omitempty"`
	Slots    uint32 `json:"slots,omitempty"`
	// ColdMS is how long the target remained cold after the row was written, in
	// milliseconds.
	ColdMS int64 `json:"cold_ms,omitempty"`
	// LinkRate is the capacity of the VM's link, in bytes per second.
	LinkRate uint64 `json:"link_rate,omitempty"`
	// StateSinceMS is when the target last became ready or ceased to be, in milliseconds
	// of the store's clock. A restart of the daemon does not change it. Zero means that
	// it is not known.
	StateSinceMS int64 `json:"state_since_ms,omitempty"`
}

// ready reports whether other daemons send requests to the target.
func (r *TargetRecord) ready() bool { return stateByName[r.State] == member.Ready }

// SetStateSince sets StateSinceMS. previous is the record that this one replaces, or nil,
// and now the store's clock, or zero while it is not known. A time that is not known stays
// so until the state changes, since each change of the record is a write.
func (r *TargetRecord) SetStateSince(previous *TargetRecord, now time.Duration) {
	if previous != nil && previous.ready() == r.ready() {
		r.StateSinceMS = previous.StateSinceMS
		return
	}
	r.StateSinceMS = now.Milliseconds()
}

// baselineRecord names the version that receives all traffic of a service when
// no move is open.
type baselineRecord struct {
	Version string `json:"version"`
	// Era is the era of the store in which the record was written.
	Era uint64 `json:"era,omitempty"`
	// Origin is the version under which the content was first written, if it was
	// written again after a restore of the store.
	Origin uint64 `json:"origin,omitempty"`
}

// Results of a move.
const (
	resultOpen      = ""
	resultDone      = "done"
	resultTakenBack = "taken-back"
)

// moveRecord is the state of a service's newest move, written by its leader.
type moveRecord struct {
	// Order is the revision of the order. A higher one supersedes a lower one.
	Order   uint64 `json:"order"`
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// AcceptedMS and FinishMS are times on the store's clock, in milliseconds.
	AcceptedMS int64 `json:"accepted_ms"`
	FinishMS   int64 `json:"finish_ms"`
	// Era is the era of the store in which the record was written.
	Era uint64 `json:"era,omitempty"`
	// Origin is as in baselineRecord.
	Origin uint64 `json:"origin,omitempty"`
	// Epoch is the fencing token of the leader. Each new leader increments it.
	Epoch uint64 `json:"epoch"`
	// Leader and LeaderRun identify the leading daemon and its start.
	Leader    string `json:"leader"`
	LeaderRun uint64 `json:"leader_run"`
	// EvidenceAddress is the address at which the leader accepts evidence.
	EvidenceAddress string `json:"evidence"`
	// Number, Permille and Focus are the move's current step; see move.Step.
	Number   uint32 `json:"number"`
	Permille uint32 `json:"permille"`
	Focus    uint32 `json:"focus,omitempty"`
	Result   string `json:"result,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// crashRecord counts the targets that crashed while they ran a request.
type crashRecord struct {
	Count uint32 `json:"count"`
}

// meshKey returns the key of the named row in the mesh table.
func meshKey(name string) rows.Key { return rows.Key{Table: Table, Name: name} }

// TargetKey returns the key of a VM's target row.
func TargetKey(vm string) rows.Key { return meshKey(targetPrefix + vm) }

// encodeRow returns the row of a record.
func encodeRow(key rows.Key, record any) rows.Row {
	value, err := json.Marshal(record)
	if err != nil {
		// The records contain only strings and numbers, which always encode.
		value = []byte("{}")
	}
	return rows.Row{Key: key, Value: value}
}

// Row returns the row of the record.
func (r *TargetRecord) Row() rows.Row { return encodeRow(TargetKey(r.VM), r) }

// DecodeTarget decodes a target row. It fails with fault.Invalid.
func DecodeTarget(row rows.Row) (*TargetRecord, error) {
	record := &TargetRecord{}
	if err := json.Unmarshal(row.Value, record); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "row %q does not contain a target record", row.Name)
	}
	if TargetKey(record.VM).Name != row.Name {
		return nil, fault.New(fault.Invalid, "row %q has the VM name %q, which does not match the row", row.Name, record.VM)
	}
	if err := record.Validate(); err != nil {
		return nil, err
	}
	return record, nil
}

// Validate checks the fields of a record that comes from the store or from another
// daemon. It fails with fault.Invalid.
func (r *TargetRecord) Validate() error {
	if !printableName.MatchString(r.VM) {
		return fault.New(fault.Invalid, "a target record has the invalid VM name %.200q", r.VM)
	}
	if r.Service != "" && (!printableName.MatchString(r.Service) || !printableName.MatchString(r.Version)) {
		return fault.New(fault.Invalid, "the target record of VM %q has an invalid name in service %.200q, version %.200q", r.VM, r.Service, r.Version)
	}
	// Daemons write all of these fields. A record without one is of another writer.
	if r.Incarnation == 0 || r.Sequence == 0 || r.Domain == "" || r.Peer == "" || r.Service != "" && r.Slots == 0 {
		return fault.New(fault.Invalid, "the target record of VM %q is incomplete: incarnation %d, sequence %d, domain %.200q, peer %.200q, service %.200q, %d slots",
			r.VM, r.Incarnation, r.Sequence, r.Domain, r.Peer, r.Service, r.Slots)
	}
	if stateByName[r.State] == 0 {
		return fault.New(fault.Invalid, "the target record of VM %q has the unknown state %.200q", r.VM, r.State)
	}
	if !validAddress(r.Inbound) || strings.Contains(r.Peer, ":") && !validAddress(r.Peer) {
		return fault.New(fault.Invalid, "the target record of VM %q has an invalid address in inbound %.200q, peer %.200q", r.VM, r.Inbound, r.Peer)
	}
	if r.Slots > maxSlots || r.ColdMS > maxColdMS || r.LinkRate > maxLinkRate {
		return fault.New(fault.Invalid, "the target record of VM %q is out of range: %d slots, %d ms cold, %d bytes/s", r.VM, r.Slots, r.ColdMS, r.LinkRate)
	}
	if max(r.Incarnation, r.Sequence) > maxCount || r.Era > maxEra {
		return fault.New(fault.Invalid, "the target record of VM %q is out of range: incarnation %d, sequence %d, era %d", r.VM, r.Incarnation, r.Sequence, r.Era)
	}
	return nil
}

// validAddress reports whether the address has a host and a port that can be dialed.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || !printableName.MatchString(host) {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// validate checks a baseline row. It fails with fault.Invalid.
func (r *baselineRecord) validate(row rows.Row) error {
	if !printableName.MatchString(r.Version) || r.Era > maxEra {
		return fault.New(fault.Invalid, "row %q has an invalid version %.200q or era %d", row.Name, r.Version, r.Era)
	}
	return nil
}

// validate checks a move row. It fails with fault.Invalid.
func (r *moveRecord) validate(row rows.Row) error {
	if r.Order == 0 || r.Epoch > maxCount || r.Era > maxEra {
		return fault.New(fault.Invalid, "row %q is out of range: order %d, epoch %d, era %d", row.Name, r.Order, r.Epoch, r.Era)
	}
	if !printableName.MatchString(r.From) || !printableName.MatchString(r.To) {
		return fault.New(fault.Invalid, "row %q has an invalid version name in %.200q, %.200q", row.Name, r.From, r.To)
	}
	if r.Result != resultOpen && r.Result != resultDone && r.Result != resultTakenBack {
		return fault.New(fault.Invalid, "row %q has the unknown result %.200q", row.Name, r.Result)
	}
	if r.Permille > move.FullProgress || min(r.AcceptedMS, r.FinishMS) < 0 || max(r.AcceptedMS, r.FinishMS) > maxClockMS {
		return fault.New(fault.Invalid, "row %q is out of range: %d permille, accepted at %d ms, finish at %d ms", row.Name, r.Permille, r.AcceptedMS, r.FinishMS)
	}
	return nil
}

// newer reports whether the record replaces other, a record of the same VM.
func (r *TargetRecord) newer(other *TargetRecord) bool {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Sequence, other.Sequence)) > 0
}

// stateByName maps the states of records to those of endpoints. Any other name
// maps to zero, which is no state.
var stateByName = map[string]member.State{"ready": member.Ready, "draining": member.Draining, "gone": member.Gone}

// endpoint returns the record, received at the given time, as an endpoint.
func (r *TargetRecord) endpoint(received time.Time, service Service) member.Endpoint {
	e := member.Endpoint{
		VM: r.VM, Incarnation: r.Incarnation, State: stateByName[r.State], Domain: r.Domain, InboundAddress: r.Inbound,
		Target: member.Target{Service: r.Service, Version: r.Version, Slots: r.Slots, Connections: service.Connections, LinkRate: r.LinkRate, ColdPerSecond: service.ColdPerSecond},
	}
	e.Target.WarmAt = received.Add(time.Duration(r.ColdMS) * time.Millisecond)
	return e
}

// decodeRow decodes a row's value into the record. It fails with fault.Invalid.
func decodeRow(row rows.Row, record any) error {
	if err := json.Unmarshal(row.Value, record); err != nil {
		return fault.Wrap(err, fault.Invalid, "row %q cannot be decoded", row.Name)
	}
	return nil
}

func suffix(name, prefix string) (string, bool) { return strings.CutPrefix(name, prefix) }
