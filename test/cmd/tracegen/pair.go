package main

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/trace"
)

// pairScenario is a scenario of two services that one ticket moves. first and
// second change the traces of the two services; nil means that both versions of
// the service behave alike.
type pairScenario struct {
	name, note    string
	first, second func(*builder)
	// firstBad and secondBad report whether the new version of the service is bad.
	firstBad, secondBad bool
}

var pairScenarios = []pairScenario{
	{name: "plain", note: "two services move together and both are good"},
	{name: "slow-start", note: "two good services move together, one with cold targets", second: buildOf(goodKinds, "slow-start")},
	{name: "noisy", note: "two good services move together, one of them noisy", first: buildOf(goodKinds, "noisy")},
	{name: "first-errors", note: "the first of two services fails from the start", first: buildOf(badKinds, "errors"), firstBad: true},
	{name: "second-errors", note: "the second of two services fails from the start", second: buildOf(badKinds, "errors"), secondBad: true},
	{name: "second-errors-later", note: "the second of two services fails from the middle of the move", second: buildOf(badKinds, "errors-later"), secondBad: true},
	{name: "second-slow-at-full", note: "the second of two services is slow after full progress", second: buildOf(badKinds, "slow-at-full"), secondBad: true},
	{name: "second-under-load", note: "the second of two services fails under load", second: buildOf(badKinds, "errors-under-load"), secondBad: true},
	{name: "noisy-first", note: "the first of two services is noisy but good, the second fails", first: buildOf(goodKinds, "noisy"), second: buildOf(badKinds, "errors"), secondBad: true},
	{name: "both-errors", note: "both of two services fail from the start", first: buildOf(badKinds, "errors"), second: buildOf(badKinds, "errors"), firstBad: true, secondBad: true},
}

// buildOf returns the build function of the kind with the name.
func buildOf(kinds []scenarioKind, name string) func(*builder) {
	i := slices.IndexFunc(kinds, func(k scenarioKind) bool { return k.name == name })
	return kinds[i].build
}

// outcome returns trace.Bad if at least one service is bad.
func (k *pairScenario) outcome() string { return outcomeOf(k.firstBad || k.secondBad) }

func outcomeOf(bad bool) string {
	if bad {
		return trace.Bad
	}
	return trace.Good
}

// trace builds the trace of two workloads of one user.
func (k *pairScenario) trace(first, second workload, rng *rand.Rand, vary bool) *trace.Trace {
	a, b := newBuilder(first, rng, vary), newBuilder(second, rng, vary)
	b.trace.Header.Ticket = a.trace.Header.Ticket
	for _, part := range []struct {
		builder *builder
		build   func(*builder)
		bad     bool
	}{{a, k.first, k.firstBad}, {b, k.second, k.secondBad}} {
		part.builder.trace.Header.Services[0].Outcome = outcomeOf(part.bad)
		if part.build != nil {
			part.build(part.builder)
		}
	}
	t, other := a.build(), b.build()
	t.Header.Services = append(t.Header.Services, other.Header.Services...)
	t.Header.BadFromMs = max(t.Header.BadFromMs, other.Header.BadFromMs)
	t.Header.Name = first.service + "-" + second.service + "-" + k.outcome() + "-" + k.name
	t.Header.Note = k.note
	t.Header.Outcome = k.outcome()
	t.Lines = append(t.Lines, other.Lines...)
	slices.SortStableFunc(t.Lines, func(x, y trace.Line) int { return cmp.Compare(x.AtMs, y.AtMs) })
	return t
}
