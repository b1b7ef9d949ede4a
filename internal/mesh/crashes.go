package mesh

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// maxCrashesPerWrite bounds the request fingerprints of one write of crash counts.
const maxCrashesPerWrite = 64

// crashWrite is a write of the crash count of one fingerprint.
type crashWrite struct {
	// value is the written count, which includes the given number of crashes of
	// this VM's target.
	value, crashes uint32
}

// crashCommits writes the crash counts of this VM's target. When two daemons
// write at once, the stored count may be one too low, which only delays a
// quarantine.
func (n *Node) crashCommits(now time.Time) []Commit {
	n.settleCrashWrites()
	if len(n.unwrittenCrashes) == 0 || n.writesInProgress["crashes"] {
		return nil
	}
	written := map[uint64]crashWrite{}
	var tx rows.Transaction
	for _, fingerprint := range slices.Sorted(maps.Keys(n.unwrittenCrashes)) {
		if len(written) == maxCrashesPerWrite {
			break
		}
		crashes := n.unwrittenCrashes[fingerprint]
		written[fingerprint] = crashWrite{value: n.crashes[fingerprint] + crashes, crashes: crashes}
		name := crashPrefix + strconv.FormatUint(fingerprint, 16)
		tx.Writes = append(tx.Writes, encodeRow(meshKey(name), crashRecord{Count: written[fingerprint].value}))
	}
	return n.startWrite(now, "crashes", tx, nil, func(_ time.Time, _ uint64, err error) {
		switch {
		case err == nil:
			for fingerprint, w := range written {
				n.crashWritten(fingerprint, w)
			}
		case fault.Is(err, fault.UnknownOutcome):
			maps.Copy(n.uncertainCrashes, written)
		}
	})
}

// crashWritten records that the store has a written count. The changed row may have
// arrived before the response to the write, so that the known count includes it.
func (n *Node) crashWritten(fingerprint uint64, w crashWrite) {
	delete(n.uncertainCrashes, fingerprint)
	n.crashes[fingerprint] = max(n.crashes[fingerprint], w.value)
	if n.unwrittenCrashes[fingerprint] -= w.crashes; n.unwrittenCrashes[fingerprint] == 0 {
		delete(n.unwrittenCrashes, fingerprint)
	}
}

// settleCrashWrites records the writes without a response whose counts have become
// known since. Counting their crashes again would quarantine a request that crashed
// one target.
func (n *Node) settleCrashWrites() {
	if n.writesInProgress["crashes"] {
		return
	}
	for fingerprint, w := range n.uncertainCrashes {
		if n.crashes[fingerprint] >= w.value {
			n.crashWritten(fingerprint, w)
		}
	}
}
