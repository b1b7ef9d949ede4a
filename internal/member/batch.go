package member

import (
	"github.com/klauspost/compress/zstd"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Batch is what one daemon tells another about endpoints.
type Batch struct {
	// Entries hold a description (addresses and target) or are short. The
	// receiver takes the description of a short entry from its own table.
	Entries []Endpoint
	// Claim says that the members are in the sender's subtree.
	Claim bool
	// Sync says that the batch belongs to the comparison of two tables and
	// tells nothing about where the members are.
	Sync bool
	// Compared names the failure domains of which the batch holds every entry
	// of the sender, so that the receiver can answer with what differs.
	Compared []string
	// Wanted names the members whose description the sender lacks.
	Wanted []string
}

// maxBatchBytes bounds a decompressed batch, so that a malformed one cannot
// exhaust the memory of a daemon.
const maxBatchBytes = 4 << 20

// Flags of an encoded batch.
const (
	flagClaim = 1 << iota
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
	if b.Claim {
		flags |= flagClaim
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
	b.Claim = flags&flagClaim != 0
	b.Sync = flags&flagSync != 0
	return b, nil
}
