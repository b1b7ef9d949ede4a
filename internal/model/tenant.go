package model

// Tenant is a customer whose requests carry one of its API keys.
type Tenant struct {
	Name string
	// Keys are the API keys of the tenant. They must not be logged or sent.
	Keys []string
	// Priority replaces the priority of the route; zero is the highest.
	Priority uint32
	// RatePerSecond and Burst are the quota of the tenant over all daemons; a zero
	// RatePerSecond means that there is none.
	RatePerSecond float64
	Burst         float64
}
