package mesh

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// replica relates the newest known content of a row to the row in the store,
// which holds older content or does not exist after a restore of the store.
type replica struct {
	// origin is the version under which the newest known content was written.
	origin uint64
	// version is the version of the store's row, and storedOrigin the version under
	// which its content was written. A version of an earlier era than the store's
	// means that the row does not exist.
	version, storedOrigin uint64
}

// observe records a row of the store whose content was written in the era, and
// reports whether the content is the newest known. A precedence that is not zero
// tells whether the content replaces the known one, whatever their eras. origin is
// the version under which the content was first written, or zero if it was not
// written again.
func (r *replica) observe(version, era, origin uint64, precedence int) bool {
	if version < r.version {
		return false
	}
	r.version, r.storedOrigin = version, rows.Version(era, rows.Counter(version))
	if origin != 0 {
		r.storedOrigin = origin
	}
	switch {
	case precedence < 0:
		r.storedOrigin = min(r.storedOrigin, r.origin-1)
	case precedence > 0:
		r.origin = r.storedOrigin
	}
	if r.storedOrigin < r.origin {
		return false
	}
	r.origin = r.storedOrigin
	return true
}

// lostIn reports whether a store in the era lacks the newest known content.
func (r *replica) lostIn(era uint64) bool {
	versionEra := rows.Era(r.version)
	return versionEra < era || versionEra == era && r.storedOrigin < r.origin
}

// Era returns the newest era of the store from which all rows are known.
func (n *Node) Era() uint64 { return n.era }

// SetEra records that the rows of the mesh table are known up to a version of the
// era. In a later era than before, the rows lost in the restore are written
// again.
func (n *Node) SetEra(now time.Time, era uint64) {
	if era > n.era {
		n.era, n.eraSince = era, now
		// Writes that failed because of their conditions have other ones now.
		clear(n.retryAt)
	}
}

const (
	// restoreDoublingDelay is the time in which the number of daemons doubles that have
	// had their turn to write rows lost in a restore of the store. Within the 1.5 s
	// that a row may take to reach all daemons of a large mesh, 10 daemons write it.
	restoreDoublingDelay = 3 * candidacyDelay
	// maxRestoreDelay bounds the delay in a mesh of any size. Daemons of rank 1,023
	// and later share the last turn.
	maxRestoreDelay = 10 * restoreDoublingDelay
)

// restoreDelay returns how long the daemon of the rank waits after a restore of the
// store before it writes lost rows. Only daemons of late rank may know a row, so
// the delay grows with the logarithm of the rank.
func restoreDelay(rank int) time.Duration {
	return min(time.Duration(math.Log2(float64(1+rank))*float64(restoreDoublingDelay)), time.Duration(rank)*candidacyDelay, maxRestoreDelay)
}

// restoreCommits returns the writes of baselines and finished moves that were
// lost in a restore of the store. The daemons write in turn, so that usually
// only the first one does. The leader of an open move writes its record.
func (n *Node) restoreCommits(now time.Time) []Commit {
	var commits []Commit
	myTurn := func(seed uint64) bool {
		return !n.storeUnavailable && now.Sub(n.eraSince) >= restoreDelay(n.leaderRank(seed))
	}
	for _, service := range slices.Sorted(maps.Keys(n.moves)) {
		m := n.moves[service]
		finished := m.record != nil && m.record.Result != resultOpen
		if finished && m.lostIn(n.era) && myTurn(m.record.Order) {
			record := *m.record
			record.Era, record.Origin = n.era, m.origin
			commits = append(commits, n.recordCommit(now, m, &record, "restore move")...)
		}
	}
	commits = append(commits, n.leftTargetCommits(now)...)
	for _, service := range slices.Sorted(maps.Keys(n.baselines)) {
		b := n.baselines[service]
		if m := n.moves[service]; m != nil && m.record != nil && m.record.Result == resultDone && m.lostIn(n.era) {
			// The write of the move's record includes the baseline.
			continue
		}
		if !b.lostIn(n.era) || !myTurn(xxhash.Sum64String(service)) {
			continue
		}
		row := encodeRow(meshKey(baselinePrefix+service), baselineRecord{Version: b.record.Version, Era: n.era, Origin: b.origin})
		tx := rows.Transaction{Conditions: []rows.Condition{{Key: row.Key, Version: b.version}}, Writes: []rows.Row{row}}
		commits = append(commits, n.baselineCommit(now, service, tx, "restore baseline "+service)...)
	}
	return commits
}

const (
	// leftTargetDelay is the time in which only the daemon of a target writes the
	// target's row, after another daemon has found that it was lost in a restore.
	leftTargetDelay = 2 * time.Second
	// maxTargetsPerWrite bounds the rows of targets in one write. Each row is two
	// entries of the transaction, of which the store allows 100.
	maxTargetsPerWrite = 48
)

// lostTargetRow is a row of the store whose record is older than the known one.
type lostTargetRow struct {
	version uint64
	// since is when this daemon first received the row.
	since time.Time
}

// noteTargetRow records whether the known record of the target was lost in a restore
// of the store. Otherwise the daemon of the target writes a newer record itself.
func (n *Node) noteTargetRow(now time.Time, vm string, version uint64, stored *TargetRecord) {
	known := n.targets[vm].record
	if rows.Era(version) != n.era || known.Era >= n.era || !known.newer(stored) {
		delete(n.lostTargetRows, vm)
		return
	}
	since := now
	if noted, ok := n.lostTargetRows[vm]; ok {
		since = noted.since
	}
	n.lostTargetRows[vm] = lostTargetRow{version: version, since: since}
}

// leftTargets returns the rows of targets that have left and whose rows in the store
// have shown an earlier state since the given time or before, at most
// maxTargetsPerWrite.
func (n *Node) leftTargets(since time.Time) []rows.Row {
	var left []rows.Row
	for _, vm := range slices.Sorted(maps.Keys(n.lostTargetRows)) {
		known, ok := n.targets[vm]
		if ok && vm != n.self.VM && stateByName[known.record.State] != member.Ready && !n.lostTargetRows[vm].since.After(since) && len(left) < maxTargetsPerWrite {
			left = append(left, known.record.Row())
		}
	}
	return left
}

// leftTargetCommits returns the write of the rows of targets that have left. Their
// daemons may have ended, and daemons that start later would take the targets
// for ready.
func (n *Node) leftTargetCommits(now time.Time) []Commit {
	if n.storeUnavailable || len(n.lostTargetRows) == 0 {
		return nil
	}
	left := n.leftTargets(now.Add(-leftTargetDelay - restoreDelay(n.leaderRank(n.era))))
	if len(left) == 0 {
		return nil
	}
	tx := rows.Transaction{Writes: left}
	for _, row := range left {
		tx.Conditions = append(tx.Conditions, rows.Condition{Key: row.Key, Version: n.lostTargetRows[strings.TrimPrefix(row.Name, targetPrefix)].version})
	}
	return n.startWrite(now, "restore targets", tx, nil, func(now time.Time, version uint64, err error) {
		if err != nil {
			return
		}
		for _, row := range left {
			row.Version = version
			// The row was encoded above, so it can be decoded.
			_ = n.applyTarget(now, row)
		}
	})
}
