package core

import (
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// replica is the node's copy of the durable state.
type replica struct {
	state *model.State
	// recent holds the newest records, for children that lag.
	recent []*model.Record
	// headState is the state that submitted tickets are validated against. It
	// may be newer than the state that is served.
	headState *model.State
}

func newReplica() replica {
	return replica{state: model.NewState(), headState: model.NewState()}
}

// softState is the state that is not in the log: the steps and brakes of open
// tickets, and the crash counts of requests by fingerprint.
type softState struct {
	steps       map[uint64]move.Step
	brakes      map[uint64]*wire.Brake
	crashCounts map[uint64]uint32
}

func newSoftState() softState {
	return softState{steps: map[uint64]move.Step{}, brakes: map[uint64]*wire.Brake{}, crashCounts: map[uint64]uint32{}}
}
