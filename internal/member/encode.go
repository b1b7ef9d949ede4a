package member

import (
	"encoding/binary"
	"time"
)

// The entries of a batch are encoded column by column, since the values of a
// column are similar: names and addresses share a prefix with the previous one,
// incarnations and start times are close together, and repeated strings are sent
// as an index.

// Bits of an entry's first column; the lowest three hold the state.
const (
	maskState         = 7
	bitHasDescription = 1 << 3
	bitHasStarted     = 1 << 4
)

// microsPerMilli converts an incarnation, which is a time in microseconds, to
// the unit of start times.
const microsPerMilli = 1000

// batchWriter appends values to an encoded batch.
type batchWriter struct {
	out         []byte
	stringIndex map[string]uint64
}

func newBatchWriter() *batchWriter { return &batchWriter{stringIndex: map[string]uint64{}} }

func (w *batchWriter) uvarint(v uint64) { w.out = binary.AppendUvarint(w.out, v) }

// delta appends the difference of two values, which may wrap around.
func (w *batchWriter) delta(v, before uint64) {
	w.out = binary.AppendVarint(w.out, int64(v-before))
}

// indexedString appends a string with a new index, or only its index if the
// string occurred before.
func (w *batchWriter) indexedString(s string) {
	if i, known := w.stringIndex[s]; known {
		w.uvarint(i)
		return
	}
	i := uint64(len(w.stringIndex))
	w.stringIndex[s] = i
	w.uvarint(i)
	w.uvarint(uint64(len(s)))
	w.out = append(w.out, s...)
}

// prefixCodedString appends a string as the length of the prefix that it shares
// with before, and the rest.
func (w *batchWriter) prefixCodedString(s, before string) {
	shared := 0
	for shared < len(s) && shared < len(before) && s[shared] == before[shared] {
		shared++
	}
	w.uvarint(uint64(shared))
	w.uvarint(uint64(len(s) - shared))
	w.out = append(w.out, s[shared:]...)
}

func (w *batchWriter) batch(b *Batch) {
	w.uvarint(uint64(len(b.ComparedDomains)))
	for _, domain := range b.ComparedDomains {
		w.indexedString(domain)
	}
	w.uvarint(uint64(len(b.WantedDescriptions)))
	previous := ""
	for _, vm := range b.WantedDescriptions {
		w.prefixCodedString(vm, previous)
		previous = vm
	}
	w.uvarint(uint64(len(b.Entries)))
	w.versionColumns(b.Entries)
	w.descriptionColumns(describedEntries(b.Entries))
}

// versionColumns appends the columns that all entries have.
func (w *batchWriter) versionColumns(entries []Endpoint) {
	var previous Endpoint
	for i := range entries {
		w.out = append(w.out, entries[i].flagBits())
	}
	for i := range entries {
		w.prefixCodedString(entries[i].VM, previous.VM)
		w.delta(entries[i].Incarnation, previous.Incarnation)
		previous = entries[i]
	}
	for i := range entries {
		w.uvarint(entries[i].Sequence)
		w.delta(entries[i].Sequence, entries[i].DescriptionSequence)
		w.indexedString(entries[i].Domain)
	}
}

// flagBits returns the value of the first column.
func (e *Endpoint) flagBits() byte {
	bits := byte(e.State) & maskState
	if !e.partial() {
		bits |= bitHasDescription
	}
	if !e.Target.Started.IsZero() {
		bits |= bitHasStarted
	}
	return bits
}

// descriptionColumns appends the columns of the complete entries. The addresses
// of a daemon usually differ only in their port.
func (w *batchWriter) descriptionColumns(entries []*Endpoint) {
	previous := ""
	for _, e := range entries {
		w.prefixCodedString(e.PeerAddress, previous)
		w.prefixCodedString(e.InboundAddress, e.PeerAddress)
		w.prefixCodedString(e.AdminAddress, e.InboundAddress)
		previous = e.PeerAddress
	}
	for _, e := range entries {
		w.indexedString(e.Region)
		w.indexedString(e.Target.Service)
		w.indexedString(e.Target.Version)
		w.uvarint(uint64(e.Target.Slots))
		w.uvarint(uint64(e.Target.Connections))
	}
	for _, e := range entries {
		if !e.Target.Started.IsZero() {
			w.delta(uint64(e.Target.Started.UnixMilli()), e.Incarnation/microsPerMilli)
		}
	}
}

// describedEntries returns the complete entries.
func describedEntries(entries []Endpoint) []*Endpoint {
	var found []*Endpoint
	for i := range entries {
		if !entries[i].partial() {
			found = append(found, &entries[i])
		}
	}
	return found
}

func millisToTime(ms int64) time.Time { return time.UnixMilli(ms).UTC() }
