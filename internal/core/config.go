package core

import (
	"math/rand/v2"
)

// Config holds the identity and the settings of a node.
type Config struct {
	VM     string
	Domain string
	Region string
	// Incarnation increases with every start of the daemon on this VM.
	Incarnation    uint64
	PeerAddress    string
	InboundAddress string
	AdminAddress   string
	// SeedPeers are peer addresses for a start while the platform is down.
	SeedPeers []string
	// Token is the secret that every daemon of the mesh sends in Hello.
	Token   string
	Timings Timings
	// Rand is the only source of randomness of the node.
	Rand *rand.Rand
}
