package freshness

import "time"

// OfList returns the moment that a list of the table confirms whose call began at the
// given moment.
func OfList(began time.Duration) time.Duration { return began }

// OfWatch returns the moment that a watch confirms. The store may have sent changes at
// any time since the call began. If there were none, it waited until the end of the
// wait; a response that arrives before that vouches for less, and one that arrives late
// does not vouch for more.
func OfWatch(began, ended, wait time.Duration, changed bool) time.Duration {
	if changed || ended-began < wait {
		return began
	}
	return began + wait
}

// OfPeer returns the moment that the response of another daemon confirms, and whether
// it confirms any. held is how long after it received the request, which was sent
// after began, the daemon had its knowledge of the given age. The time that the
// response was under way does not matter.
func OfPeer(began, ended, held, age time.Duration) (time.Duration, bool) {
	if age < 0 || age == Unknown || held < 0 || held > ended-began {
		return 0, false
	}
	return began + held - age, true
}
