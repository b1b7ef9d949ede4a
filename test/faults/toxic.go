package faults

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// toxic is the JSON form of a toxic, which is one fault of toxiproxy.
type toxic struct {
	Name       string     `json:"name"`
	Type       string     `json:"type"`
	Stream     string     `json:"stream"`
	Toxicity   float32    `json:"toxicity"`
	Attributes attributes `json:"attributes"`
}

// attributes contains the attributes of all types of toxics in use; each type reads
// only its own.
type attributes struct {
	LatencyMillis int64 `json:"latency,omitempty"`
	JitterMillis  int64 `json:"jitter,omitempty"`
	// Rate is in KB/s.
	Rate  int64 `json:"rate,omitempty"`
	Bytes int64 `json:"bytes,omitempty"`
	// TimeoutMillis of 0 stops the data and keeps the connection open.
	TimeoutMillis int64 `json:"timeout"`
}

// streams contains both directions of a connection.
var streams = []string{"upstream", "downstream"}

// apply replaces the faults of the link by f.
func (p *linkProxy) apply(f Fault) error {
	p.proxy.Toxics.ResetToxics(context.Background())
	for _, stream := range streams {
		for _, t := range f.toxics(stream) {
			if err := p.addToxic(&t); err != nil {
				return err
			}
		}
	}
	p.setCut(f.Cut)
	return nil
}

// toxics returns the toxics of the fault for one direction.
func (f *Fault) toxics(stream string) []toxic {
	var all []toxic
	add := func(kind string, a attributes) {
		all = append(all, toxic{Name: kind + "-" + stream, Type: kind, Stream: stream, Toxicity: 1, Attributes: a})
	}
	if f.Stall {
		add("timeout", attributes{})
	}
	if f.Latency > 0 || f.Jitter > 0 {
		add("latency", attributes{LatencyMillis: f.Latency.Milliseconds(), JitterMillis: f.Jitter.Milliseconds()})
	}
	if f.KilobytesPerSecond > 0 {
		add("bandwidth", attributes{Rate: f.KilobytesPerSecond})
	}
	if f.DropAfterBytes > 0 {
		add("limit_data", attributes{Bytes: f.DropAfterBytes})
	}
	return all
}

func (p *linkProxy) addToxic(t *toxic) error {
	body, err := json.Marshal(t)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode the toxic %s", t.Name)
	}
	if _, err := p.proxy.Toxics.AddToxicJson(bytes.NewReader(body)); err != nil {
		return fault.Wrap(err, fault.Invalid, "add the toxic %s", t.Name)
	}
	return nil
}
