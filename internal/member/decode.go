package member

import (
	"encoding/binary"
	"unicode/utf8"
)

// batchReader decodes the values of a batch in order. After a malformed value,
// failed is true and all further values are zero.
type batchReader struct {
	in          []byte
	stringTable []string
	failed      bool
}

// fail marks the batch as malformed.
func (r *batchReader) fail() {
	r.failed = true
	r.in = nil
}

func (r *batchReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.in)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.in = r.in[n:]
	return v
}

// delta reads the difference to the value before and returns the value.
func (r *batchReader) delta(before uint64) uint64 {
	v, n := binary.Varint(r.in)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.in = r.in[n:]
	return before + uint64(v)
}

func (r *batchReader) bytes(n uint64) []byte {
	if n > uint64(len(r.in)) {
		r.fail()
		return nil
	}
	taken := r.in[:n]
	r.in = r.in[n:]
	return taken
}

// count reads the number of values that follow. Each takes at least one byte, so
// a count above the number of remaining bytes is malformed.
func (r *batchReader) count() int {
	n := r.uvarint()
	if n > uint64(len(r.in)) {
		r.fail()
		return 0
	}
	return int(n)
}

// indexedString reads a string that is new, or the index of an earlier one.
func (r *batchReader) indexedString() string {
	i := r.uvarint()
	switch {
	case i < uint64(len(r.stringTable)):
		return r.stringTable[i]
	case i > uint64(len(r.stringTable)):
		r.fail()
		return ""
	}
	s := r.checkString(string(r.bytes(r.uvarint())))
	r.stringTable = append(r.stringTable, s)
	return s
}

// checkString fails the reader if the string is too long or not valid UTF-8.
// Names are copied to protobuf strings, which must be UTF-8.
func (r *batchReader) checkString(s string) string {
	if len(s) > maxStringBytes || !utf8.ValidString(s) {
		r.fail()
		return ""
	}
	return s
}

// maxStringBytes bounds a name or an address, since repeated prefixes can expand
// a short input to long strings.
const maxStringBytes = 1024

// prefixCodedString reads a string that is encoded relative to another one.
func (r *batchReader) prefixCodedString(before string) string {
	shared := r.uvarint()
	rest := r.bytes(r.uvarint())
	if shared > uint64(len(before)) {
		r.fail()
		return ""
	}
	return r.checkString(before[:shared] + string(rest))
}

func (r *batchReader) batch() *Batch {
	b := &Batch{}
	for range r.count() {
		b.ComparedDomains = append(b.ComparedDomains, r.indexedString())
	}
	previous := ""
	for range r.count() {
		previous = r.prefixCodedString(previous)
		b.WantedDescriptions = append(b.WantedDescriptions, previous)
	}
	bits := r.bytes(uint64(r.count()))
	b.Entries = make([]Endpoint, len(bits))
	r.versionColumns(b.Entries, bits)
	r.descriptionColumns(b.Entries, bits)
	return b
}

func (r *batchReader) versionColumns(entries []Endpoint, bits []byte) {
	var previous Endpoint
	for i := range entries {
		e := &entries[i]
		e.State = State(bits[i] & maskState)
		e.VM = r.prefixCodedString(previous.VM)
		e.Incarnation = r.delta(previous.Incarnation)
		previous = *e
	}
	for i := range entries {
		e := &entries[i]
		e.Sequence = r.uvarint()
		e.DescriptionSequence = e.Sequence - r.delta(0)
		e.Domain = r.indexedString()
	}
}

func (r *batchReader) descriptionColumns(entries []Endpoint, bits []byte) {
	previous := ""
	for i := range entries {
		if e := &entries[i]; bits[i]&bitHasDescription != 0 {
			e.PeerAddress = r.prefixCodedString(previous)
			e.InboundAddress = r.prefixCodedString(e.PeerAddress)
			e.AdminAddress = r.prefixCodedString(e.InboundAddress)
			previous = e.PeerAddress
		}
	}
	for i := range entries {
		if e := &entries[i]; bits[i]&bitHasDescription != 0 {
			e.Region = r.indexedString()
			e.Target.Service = r.indexedString()
			e.Target.Version = r.indexedString()
			e.Target.Slots = uint32(r.uvarint())
			e.Target.Connections = uint32(r.uvarint())
		}
	}
	for i := range entries {
		if e := &entries[i]; bits[i]&bitHasDescription != 0 && bits[i]&bitHasStarted != 0 {
			e.Target.Started = millisToTime(int64(r.delta(e.Incarnation / microsPerMilli)))
		}
	}
}
