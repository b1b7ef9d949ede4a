package standin

import "maps"

// Stats counts the operations of a Server since its start.
type Stats struct {
	// Operations counts the received requests by API operation.
	Operations map[string]uint64 `json:"operations"`
	// ItemReads and ItemWrites count the items and objects read and written.
	// The writes include the condition checks of transactions.
	ItemReads  uint64 `json:"item_reads"`
	ItemWrites uint64 `json:"item_writes"`
	// Refused, Throttled and LostResponses count the requests affected by an
	// injected fault: an outage or a dropped connection, throttling, and a
	// response that was not sent after the write.
	Refused       uint64 `json:"refused"`
	Throttled     uint64 `json:"throttled"`
	LostResponses uint64 `json:"lost"`
	// Items counts the accesses by "partition|sort key" or "object|name".
	Items map[string]AccessCounts `json:"items,omitempty"`
}

// AccessCounts counts the reads and writes of one item or object.
type AccessCounts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

func newStats() Stats {
	return Stats{Operations: map[string]uint64{}, Items: map[string]AccessCounts{}}
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Operations = maps.Clone(s.stats.Operations)
	stats.Items = maps.Clone(s.stats.Items)
	return stats
}

func (s *Server) countRead(name string) {
	access := s.stats.Items[name]
	access.Reads++
	s.stats.Items[name] = access
	s.stats.ItemReads++
}

func (s *Server) countWrite(name string) {
	access := s.stats.Items[name]
	access.Writes++
	s.stats.Items[name] = access
	s.stats.ItemWrites++
}
