package core

import (
	"maps"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// publish passes a new configuration to the proxies if any part of it changed.
// All parts come from one Step, so a proxy never uses parts of different
// versions.
func (n *Node) publish() {
	if !n.publishDue || !n.ready.done {
		return
	}
	n.publishDue = false
	braked := make(map[uint64]bool, len(n.brakes))
	for number := range n.brakes {
		braked[number] = true
	}
	n.effects = append(n.effects, Publish{Config: &routing.Config{
		State:     n.state,
		Steps:     maps.Clone(n.steps),
		Braked:    braked,
		Endpoints: n.routable(),
	}})
}

// routable returns the live endpoints. The lost endpoints of a version that has
// no live one are added as ready: only the link to their relay is known to be
// down, and without them every request would be refused.
func (n *Node) routable() []member.Endpoint {
	type group struct{ service, version string }
	endpoints := n.members.Live()
	served := map[group]bool{}
	for i := range endpoints {
		served[group{endpoints[i].Target.Service, endpoints[i].Target.Version}] = true
	}
	for _, e := range n.members.Lost() {
		if e.InboundAddress != "" && e.Target.Service != "" && !served[group{e.Target.Service, e.Target.Version}] {
			e.State = member.Ready
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// NodeView is the state of a node that the administration API shows.
type NodeView struct {
	State        *model.State
	Statement    StatementView
	Controller   string
	Epoch        uint64
	IsController bool
	Parent       string
	Children     int
	PlatformUp   bool
	Progress     map[uint64]uint32
	// HoldReasons contains, by ticket, why an open ticket does not advance. It
	// is empty except on the controller.
	HoldReasons map[uint64]string
	Members     []MemberView
}

// StatementView is the newest statement of which revision is in force.
type StatementView struct {
	Revision    uint64
	Members     uint32
	Unreachable []string
}

// MemberView is a member in the endpoint table of the node.
type MemberView struct {
	VM           string
	Domain       string
	Region       string
	State        string
	Service      string
	Version      string
	AdminAddress string
}

// View returns a copy of what the administration API shows.
func (n *Node) View() NodeView {
	view := NodeView{
		State:        n.state,
		Statement:    StatementView{Revision: n.statement.revision, Members: n.statement.members, Unreachable: n.statement.unreachable},
		Controller:   n.controller.vm,
		Epoch:        n.controller.epoch,
		IsController: n.isController(),
		Children:     len(n.tree.children),
		PlatformUp:   !n.calls.platformDown,
		Progress:     map[uint64]uint32{},
		HoldReasons:  maps.Clone(n.moves.holdReasons),
	}
	if n.tree.parent != nil {
		view.Parent = n.tree.parent.vm
	}
	for number, step := range n.steps {
		view.Progress[number] = step.Permille
	}
	for _, e := range n.members.All() {
		view.Members = append(view.Members, MemberView{
			VM: e.VM, Domain: e.Domain, Region: e.Region, State: e.State.String(),
			Service: e.Target.Service, Version: e.Target.Version, AdminAddress: e.AdminAddress,
		})
	}
	return view
}
