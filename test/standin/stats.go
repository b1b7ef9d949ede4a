package standin

import "maps"

// Stats counts what a Server has done since its start.
type Stats struct {
	// Operations counts the requests received, by operation of the API.
	Operations map[string]uint64 `json:"operations"`
	// ItemReads and ItemWrites count items and objects read and written.
	// The writes include conditions that were only checked.
	ItemReads  uint64 `json:"item_reads"`
	ItemWrites uint64 `json:"item_writes"`
	// Refused, Throttled and Lost count the requests that met a fault.
	Refused   uint64 `json:"refused"`
	Throttled uint64 `json:"throttled"`
	Lost      uint64 `json:"lost"`
	// Items counts by "partition|sort key", and by "object|name".
	Items map[string]Access `json:"items,omitempty"`
}

// Access counts the reads and writes of one item.
type Access struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

func newStats() Stats {
	return Stats{Operations: map[string]uint64{}, Items: map[string]Access{}}
}

// Stats returns a copy of the counts.
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
