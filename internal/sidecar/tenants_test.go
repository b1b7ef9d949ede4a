package sidecar

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	dto "github.com/prometheus/client_model/go"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// Guards against keys in the log, refusals without a line that names their inputs, and
// shared keys that are reported more or less than once for each configuration.
func TestLogLinesAboutKeys(t *testing.T) {
	var written bytes.Buffer
	configuration := func(version uint64) *mesh.Configuration {
		return &mesh.Configuration{
			Version: version, Services: map[string]mesh.Service{"order": {Name: "order"}},
			Routes:  []model.Route{{Name: "r", PathPrefix: "/", Service: "order", Timeout: time.Second}},
			Tenants: []model.Tenant{{Name: "rail", Keys: []string{"sk-1", "sk-shared"}}, {Name: "agency", Keys: []string{"sk-shared"}}},
		}
	}
	operators := &oddOperators{}
	now := time.Hour
	d := New(Config{
		VM: "a", Store: newRestoredStore(), Operators: operators, Logger: &log.Logger{Writer: &log.IOWriter{Writer: &written}},
		StrictRevocation: true, Revoke: 5 * time.Second, Boottime: func() time.Duration { return now },
	})
	d.meshLoaded = true
	for version := uint64(1); version <= 2; version++ {
		operators.configuration = configuration(version)
		d.applyOperatorRow(rows.Row{Key: rows.Key{Table: "operators", Name: "config"}})
		d.confirmKnowledge(now)
		// Another change of the mesh.
		d.node.MergeTarget(time.Now(), &mesh.TargetRecord{VM: "b", Incarnation: version, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.2:1", Peer: "10.0.0.2:2"})
		d.publish()
	}
	send := func(key string) {
		request := httptest.NewRequest(http.MethodGet, "http://shop/", nil)
		request.Header.Set("Authorization", "Bearer "+key)
		d.outbound.ServeHTTP(httptest.NewRecorder(), request)
	}
	send("sk-1")
	send("sk-unknown")
	send("sk-shared")
	now += 4600 * time.Millisecond
	send("sk-1")
	send("sk-unknown")
	for text, want := range map[string]int{
		"sk-": 0, `"event":"shared-api-key"`: 2, `"tenants":["agency","rail"]`: 2, "no tenant holds the API key": 2, "several tenants hold the API key": 1,
		"may have been removed: the configuration was last confirmed 4600 ms ago; 4500 ms are allowed": 1, "may be newer than the configuration, which was last confirmed 4600 ms ago": 1,
		`tenant \"rail\"`: 2,
	} {
		if got := strings.Count(written.String(), text); got != want {
			t.Errorf("%d times %q, want %d:\n%s", got, text, want, written.String())
		}
	}
	var metric dto.Metric
	if err := d.oddEntries.WithLabelValues(entrySharedKey).Write(&metric); err != nil || metric.GetCounter().GetValue() != 4 {
		t.Errorf("counter of holders of shared keys: %v, %v", metric.GetCounter().GetValue(), err)
	}
}
