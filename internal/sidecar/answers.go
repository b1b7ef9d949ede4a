package sidecar

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"slices"
	"sync"
)

// maxAnswers bounds the answers that are kept. Most daemons that ask a reader
// lack the same rows.
const maxAnswers = 4

// answerKey says all that an answer depends on.
type answerKey struct {
	askedOperators, askedMesh       uint64
	operatorChanges, meshChanges    uint64
	operatorsComplete, meshComplete uint64
	ownSequence, ownIncarnation     uint64
	reading, storeLost, relayed     bool
}

// answerKey returns the key of the answer to the message. It runs in the loop.
func (d *Daemon) answerKey(message, answer *gossip) answerKey {
	key := answerKey{
		askedOperators: message.Operators.Version, askedMesh: message.Mesh.Version,
		operatorChanges: d.tables.operators.changes, meshChanges: d.tables.mesh.changes,
		operatorsComplete: d.tables.operators.complete, meshComplete: d.tables.mesh.complete,
		reading: answer.Reading, storeLost: answer.StoreLost, relayed: message.WaitMS > 0,
	}
	if answer.Own != nil {
		key.ownSequence, key.ownIncarnation = answer.Own.Sequence, answer.Own.Incarnation
	}
	return key
}

// answers keeps encoded answers, so that a reader encodes a configuration once
// and not for each daemon that asks it.
type answers struct {
	mu   sync.Mutex
	kept []keptGossip
}

type keptGossip struct {
	key     answerKey
	encoded []byte
}

// get returns the answer of the key, which it lets make if it is not kept.
// Daemons that ask at the same time wait for one encoding.
func (a *answers) get(key answerKey, encode func() []byte) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.IndexFunc(a.kept, func(k keptGossip) bool { return k.key == key }); i >= 0 {
		return a.kept[i].encoded
	}
	encoded := encode()
	if len(a.kept) == maxAnswers {
		a.kept = slices.Delete(a.kept, 0, 1)
	}
	a.kept = append(a.kept, keptGossip{key, encoded})
	return encoded
}

// encodeGossip returns the message as compressed JSON. A configuration with many
// routes has a few hundred kilobytes, and small VMs have slow links.
func encodeGossip(message *gossip) []byte {
	var buffer bytes.Buffer
	// Neither the level nor a buffer in memory fails, and the message holds only
	// strings and numbers.
	compressed, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	_ = json.NewEncoder(compressed).Encode(message)
	_ = compressed.Close()
	return buffer.Bytes()
}
