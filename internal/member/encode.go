package member

import (
	"encoding/binary"
	"time"
)

// The entries of a batch are encoded column by column, since the values of a
// column resemble one another: names and addresses share a prefix with the one
// before, incarnations and start times are near to one another, and strings
// that occur again are sent as their index.

// Bits of an entry's first column; the lowest three hold the state.
const (
	maskState     = 7
	bitDescribed  = 1 << 3
	bitHasStarted = 1 << 4
)

// microsPerMilli converts an incarnation, which is a time in microseconds, to
// the unit of start times.
const microsPerMilli = 1000

// batchWriter appends values to a batch.
type batchWriter struct {
	out   []byte
	index map[string]uint64
}

func newBatchWriter() *batchWriter { return &batchWriter{index: map[string]uint64{}} }

func (w *batchWriter) uint(v uint64) { w.out = binary.AppendUvarint(w.out, v) }

// delta appends the difference of two values, which may wrap around.
func (w *batchWriter) delta(v, before uint64) {
	w.out = binary.AppendVarint(w.out, int64(v-before))
}

// word appends a string, or its index if it occurred before.
func (w *batchWriter) word(s string) {
	if i, known := w.index[s]; known {
		w.uint(i)
		return
	}
	i := uint64(len(w.index))
	w.index[s] = i
	w.uint(i)
	w.uint(uint64(len(s)))
	w.out = append(w.out, s...)
}

// after appends a string as the length of the prefix that it shares with
// another one, and the rest.
func (w *batchWriter) after(s, before string) {
	shared := 0
	for shared < len(s) && shared < len(before) && s[shared] == before[shared] {
		shared++
	}
	w.uint(uint64(shared))
	w.uint(uint64(len(s) - shared))
	w.out = append(w.out, s[shared:]...)
}

func (w *batchWriter) batch(b *Batch) {
	w.uint(uint64(len(b.Compared)))
	for _, domain := range b.Compared {
		w.word(domain)
	}
	w.uint(uint64(len(b.Wanted)))
	previous := ""
	for _, vm := range b.Wanted {
		w.after(vm, previous)
		previous = vm
	}
	w.uint(uint64(len(b.Entries)))
	w.versions(b.Entries)
	w.descriptions(described(b.Entries))
}

// versions appends the columns that every entry has.
func (w *batchWriter) versions(entries []Endpoint) {
	var previous Endpoint
	for i := range entries {
		w.out = append(w.out, entries[i].bits())
	}
	for i := range entries {
		w.after(entries[i].VM, previous.VM)
		w.delta(entries[i].Incarnation, previous.Incarnation)
		previous = entries[i]
	}
	for i := range entries {
		w.uint(entries[i].Sequence)
		w.delta(entries[i].Sequence, entries[i].Described)
		w.word(entries[i].Domain)
	}
}

func (e *Endpoint) bits() byte {
	bits := byte(e.State) & maskState
	if !e.partial() {
		bits |= bitDescribed
	}
	if !e.Target.Started.IsZero() {
		bits |= bitHasStarted
	}
	return bits
}

// descriptions appends the columns of the entries that are not short. The
// addresses of a daemon mostly differ in their port only.
func (w *batchWriter) descriptions(entries []*Endpoint) {
	previous := ""
	for _, e := range entries {
		w.after(e.PeerAddress, previous)
		w.after(e.InboundAddress, e.PeerAddress)
		w.after(e.AdminAddress, e.InboundAddress)
		previous = e.PeerAddress
	}
	for _, e := range entries {
		w.word(e.Region)
		w.word(e.Target.Service)
		w.word(e.Target.Version)
		w.uint(uint64(e.Target.Slots))
		w.uint(uint64(e.Target.Connections))
	}
	for _, e := range entries {
		if !e.Target.Started.IsZero() {
			w.delta(uint64(e.Target.Started.UnixMilli()), e.Incarnation/microsPerMilli)
		}
	}
}

func described(entries []Endpoint) []*Endpoint {
	var found []*Endpoint
	for i := range entries {
		if !entries[i].partial() {
			found = append(found, &entries[i])
		}
	}
	return found
}

func millisToTime(ms int64) time.Time { return time.UnixMilli(ms).UTC() }
