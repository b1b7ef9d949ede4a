package member

import (
	"encoding/binary"
	"unicode/utf8"
)

// batchReader takes values off an encoded batch. After a malformed value it
// has failed and returns zero values.
type batchReader struct {
	in     []byte
	words  []string
	failed bool
}

func (r *batchReader) fail() {
	r.failed = true
	r.in = nil
}

func (r *batchReader) uint() uint64 {
	v, n := binary.Uvarint(r.in)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.in = r.in[n:]
	return v
}

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

// count reads a number of values, each of which takes a byte or more.
func (r *batchReader) count() int {
	n := r.uint()
	if n > uint64(len(r.in)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *batchReader) word() string {
	i := r.uint()
	switch {
	case i < uint64(len(r.words)):
		return r.words[i]
	case i > uint64(len(r.words)):
		r.fail()
		return ""
	}
	s := r.text(string(r.bytes(r.uint())))
	r.words = append(r.words, s)
	return s
}

// text checks a string. Names go on into protobuf strings, which must be UTF-8.
func (r *batchReader) text(s string) string {
	if len(s) > maxStringBytes || !utf8.ValidString(s) {
		r.fail()
		return ""
	}
	return s
}

// maxStringBytes bounds a name or an address, since a prefix that repeats can
// make a short input long.
const maxStringBytes = 1024

func (r *batchReader) after(before string) string {
	shared := r.uint()
	rest := r.bytes(r.uint())
	if shared > uint64(len(before)) {
		r.fail()
		return ""
	}
	return r.text(before[:shared] + string(rest))
}

func (r *batchReader) batch() *Batch {
	b := &Batch{}
	for range r.count() {
		b.Compared = append(b.Compared, r.word())
	}
	previous := ""
	for range r.count() {
		previous = r.after(previous)
		b.Wanted = append(b.Wanted, previous)
	}
	bits := r.bytes(uint64(r.count()))
	b.Entries = make([]Endpoint, len(bits))
	r.versions(b.Entries, bits)
	r.descriptions(b.Entries, bits)
	return b
}

func (r *batchReader) versions(entries []Endpoint, bits []byte) {
	var previous Endpoint
	for i := range entries {
		e := &entries[i]
		e.State = State(bits[i] & maskState)
		e.VM = r.after(previous.VM)
		e.Incarnation = r.delta(previous.Incarnation)
		previous = *e
	}
	for i := range entries {
		e := &entries[i]
		e.Sequence = r.uint()
		e.Described = e.Sequence - r.delta(0)
		e.Domain = r.word()
	}
}

func (r *batchReader) descriptions(entries []Endpoint, bits []byte) {
	previous := ""
	for i := range entries {
		if e := &entries[i]; bits[i]&bitDescribed != 0 {
			e.PeerAddress = r.after(previous)
			e.InboundAddress = r.after(e.PeerAddress)
			e.AdminAddress = r.after(e.InboundAddress)
			previous = e.PeerAddress
		}
	}
	for i := range entries {
		if e := &entries[i]; bits[i]&bitDescribed != 0 {
			e.Region = r.word()
			e.Target.Service = r.word()
			e.Target.Version = r.word()
			e.Target.Slots = uint32(r.uint())
			e.Target.Connections = uint32(r.uint())
		}
	}
	for i := range entries {
		if e := &entries[i]; bits[i]&bitDescribed != 0 && bits[i]&bitHasStarted != 0 {
			e.Target.Started = millisToTime(int64(r.delta(e.Incarnation / microsPerMilli)))
		}
	}
}
