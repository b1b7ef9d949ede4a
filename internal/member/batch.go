package member

import (
	"github.com/klauspost/compress/zstd"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Batch is a message with the endpoints that one daemon sends to another.
type Batch struct {
	// Entries are complete or partial. A partial entry has no description (its
	// addresses and target); the receiver reads that from its own table.
	Entries []Endpoint
	// ClaimsSubtree is true if the members are in the sender's subtree.
	ClaimsSubtree bool
	// Sync is true if the batch belongs to the comparison of two tables. It then
	// does not show where in the relay tree the members are.
	Sync bool
	// ComparedDomains lists the failure domains for which the batch contains every
	// entry of the sender, so that the receiver can respond with the differences.
	ComparedDomains []string
	// WantedDescriptions lists the VMs whose description the sender requests.
	WantedDescriptions []string
}

// maxBatchBytes bounds a decompressed batch, so that a malformed one cannot
// exhaust the memory of a daemon.
const maxBatchBytes = 4 << 20

// Flags of an encoded batch.
const (
	flagClaimsSubtree = 1 << iota
	flagSync
	flagCompressed
)

var (
	batchEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(maxWindowBytes))
	batchDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBatchBytes))
)

// maxWindowBytes is the compression window. A table of 490 entries takes less
// than 32 KiB, and the default window costs every daemon several MiB.
const maxWindowBytes = 64 << 10

// Encode returns the bytes of the batch, compressed if that makes it smaller.
func (b *Batch) Encode() []byte {
	var flags byte
	if b.ClaimsSubtree {
		flags |= flagClaimsSubtree
	}
	if b.Sync {
		flags |= flagSync
	}
	w := newBatchWriter()
	w.batch(b)
	if compressed := batchEncoder.EncodeAll(w.out, nil); len(compressed) < len(w.out) {
		return append([]byte{flags | flagCompressed}, compressed...)
	}
	return append([]byte{flags}, w.out...)
}

// DecodeBatch reads the bytes of a batch. It fails with fault.Protocol for
// malformed bytes.
func DecodeBatch(encoded []byte) (*Batch, error) {
	if len(encoded) == 0 {
		return nil, fault.New(fault.Protocol, "batch of endpoints is empty")
	}
	flags, body := encoded[0], encoded[1:]
	if flags&flagCompressed != 0 {
		var err error
		if body, err = batchDecoder.DecodeAll(body, nil); err != nil {
			return nil, fault.Wrap(err, fault.Protocol, "decompress batch of endpoints")
		}
	}
	r := &batchReader{in: body}
	b := r.batch()
	if r.failed {
		return nil, fault.New(fault.Protocol, "malformed batch of endpoints")
	}
	b.ClaimsSubtree = flags&flagClaimsSubtree != 0
	b.Sync = flags&flagSync != 0
	return b, nil
}
