package ticketfile

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// maxFindings limits the number of findings of one file.
const maxFindings = 200

// maxRelativeFinish limits a finish time that is relative to the ticket's
// acceptance.
const maxRelativeFinish = 30 * 24 * time.Hour

// Options configures Decode.
type Options struct {
	// Accepted is the time of acceptance, from which finish times such as "+90s"
	// are resolved. With the zero time Decode rejects them.
	Accepted time.Time
}

// decoder decodes a file and collects its findings. A finding is an error in
// the file, prefixed with its JSON path.
type decoder struct {
	options  Options
	findings []string
}

func (d *decoder) addFinding(path, format string, args ...any) {
	if len(d.findings) < maxFindings {
		d.findings = append(d.findings, path+": "+fmt.Sprintf(format, args...))
	}
}

// Decode reads a ticket file. It fails with fault.Invalid and up to 200
// findings, each with its JSON path, in Details. model.State.Validate checks the
// rules that depend on the state of the mesh.
func Decode(data []byte, options Options) (*model.Ticket, error) {
	d := &decoder{options: options}
	root, err := d.parse(data)
	if err != nil {
		return nil, err
	}
	t := d.ticket(root)
	if len(d.findings) > 0 {
		return nil, invalid(d.findings...)
	}
	encoded, err := wire.EncodeTicket(t)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the ticket cannot be encoded")
	}
	if len(encoded) > model.MaxTicketBytes {
		return nil, invalid(fmt.Sprintf("$: the encoded ticket has %d bytes; at most %d are allowed", len(encoded), model.MaxTicketBytes))
	}
	return t, nil
}

// HasRelativeFinish reports whether the file has a finish time that is relative
// to the ticket's acceptance. It is false for a file that Decode cannot parse.
func HasRelativeFinish(data []byte) bool {
	d := &decoder{}
	root, err := d.parse(data)
	if err != nil {
		return false
	}
	for _, top := range root.fields {
		if top.name != "moves" {
			continue
		}
		if slices.ContainsFunc(top.node.items, moveHasRelativeFinish) {
			return true
		}
	}
	return false
}

func moveHasRelativeFinish(move *node) bool {
	return slices.ContainsFunc(move.fields, func(f field) bool {
		text, _ := f.node.value.(string)
		return f.name == "finish" && strings.HasPrefix(text, "+")
	})
}

func (d *decoder) ticket(n *node) *model.Ticket {
	t := &model.Ticket{}
	d.object(n, []string{"number"}, map[string]func(*node){
		"number":          func(v *node) { t.Number = d.positiveNumber(v) },
		"note":            func(v *node) { t.Note = d.text(v) },
		"services":        func(v *node) { t.Services = list(d, v, d.service) },
		"remove_services": func(v *node) { t.RemoveServices = list(d, v, d.name) },
		"routes":          func(v *node) { t.Routes = list(d, v, d.route) },
		"remove_routes":   func(v *node) { t.RemoveRoutes = list(d, v, d.name) },
		"moves":           func(v *node) { t.Moves = list(d, v, d.move) },
		"supersedes":      func(v *node) { t.Supersedes = d.positiveNumber(v) },
	})
	return t
}

func (d *decoder) service(n *node) model.Service {
	s := model.Service{}
	before := len(d.findings)
	d.object(n, []string{"name", "versions", "shares"}, map[string]func(*node){
		"name":     func(v *node) { s.Name = d.name(v) },
		"versions": func(v *node) { s.Versions = list(d, v, d.name) },
		"shares":   func(v *node) { s.Shares = d.shares(v) },
	})
	slices.Sort(s.Versions)
	if len(d.findings) == before {
		d.checkShares(n, &s)
	}
	return s
}

func (d *decoder) checkShares(n *node, s *model.Service) {
	var sum uint32
	// The versions are sorted so that the findings have the same order on every run.
	for _, version := range slices.Sorted(maps.Keys(s.Shares)) {
		sum += s.Shares[version]
		if !slices.Contains(s.Versions, version) {
			d.addFinding(childPath(n.path+".shares", version), "the version is not in versions")
		}
	}
	if sum != model.TotalShare {
		d.addFinding(n.path+".shares", "the shares sum to %d, not %d", sum, model.TotalShare)
	}
}

func (d *decoder) route(n *node) model.Route {
	r := model.Route{Class: model.Normal}
	d.object(n, []string{"name", "path_prefix", "service"}, map[string]func(*node){
		"name":        func(v *node) { r.Name = d.name(v) },
		"host":        func(v *node) { r.Host = d.text(v) },
		"path_prefix": func(v *node) { r.PathPrefix = d.pathPrefix(v) },
		"service":     func(v *node) { r.Service = d.name(v) },
		"version":     func(v *node) { r.Version = d.name(v) },
		"class":       func(v *node) { r.Class = model.Class(d.oneOf(v, "urgent", "normal", "bulk")) },
		"idempotent":  func(v *node) { r.Idempotent = d.boolean(v) },
		"once":        func(v *node) { r.Once = d.boolean(v) },
		"timeout":     func(v *node) { r.Timeout = d.duration(v) },
		"split":       func(v *node) { r.Split = list(d, v, d.weight) },
		"priority":    func(v *node) { r.Priority = d.smallNumber(v) },
		"objective":   func(v *node) { r.Objective = d.duration(v) },
		"attempts":    func(v *node) { r.Attempts = d.smallNumber(v) },
	})
	if r.Idempotent && r.Once {
		d.addFinding(n.path, "a route is either idempotent or once")
	}
	return r
}

func (d *decoder) weight(n *node) model.Weight {
	w := model.Weight{}
	d.object(n, []string{"service", "weight"}, map[string]func(*node){
		"service": func(v *node) { w.Service = d.name(v) },
		"weight":  func(v *node) { w.Weight = d.smallNumber(v) },
	})
	return w
}

func (d *decoder) move(n *node) model.Move {
	m := model.Move{Prefer: model.OnTime}
	d.object(n, []string{"service", "finish"}, map[string]func(*node){
		"service": func(v *node) { m.Service = d.name(v) },
		"finish":  func(v *node) { m.Finish = d.finish(v) },
		"prefer":  func(v *node) { m.Prefer = model.Preference(d.oneOf(v, "on-time", "careful")) },
	})
	return m
}
