// Command rig3 plays the scripted cases of the third review: it starts the project's
// daemons as separate processes beside stand-ins of the store, the servers and the clients.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"sort"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// hardLimit is the longest time of a run.
const hardLimit = 110 * time.Second

// play is one case. trouble is false for the run without the disruption.
type play func(d *deployment, trouble bool) (int, error)

var cases = map[string]play{
	"late-heartbeat": lateHeartbeat,
	"encoded-slash":  encodedSlash,
	"stale-home":     staleHome,
	"stale-leader":   staleLeader,
	"white-space":    whiteSpace,
	"same-name":      sameName,
	"blind-judge":    blindJudge,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Println("usage: rig3 CASE ROOT FOLDER; cases:", names)
		os.Exit(couldNot)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(p play, root, folder string) int {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer rec.file.Close()
	d, err := newDeployment(root, rec)
	if err != nil {
		rec.result("the case couldn't run: %v", err)
		return couldNot
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.result("with the disruption: %v", trouble)
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		code, err := p(d, trouble)
		done <- outcome{code, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			rec.result("the case couldn't run: %v", o.err)
			return couldNot
		}
		rec.result("exit %d", o.code)
		return o.code
	case <-time.After(hardLimit):
		rec.result("the case couldn't run: it took more than %s", hardLimit)
		return couldNot
	}
}

// route is a route of the operator's configuration.
func route(name, prefix, kind, service string, timeout, aim string, priority, attempts int) map[string]any {
	return map[string]any{"name": name, "prefix": prefix, "kind": kind, "timeout": timeout, "target_latency": aim, "priority": priority, "service": service, "retry_attempts": attempts}
}

// config is a configuration with one host.
func config(version int, host string, services []string, routes ...map[string]any) map[string]any {
	var all []map[string]any
	for _, name := range services {
		all = append(all, map[string]any{"name": name, "health_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "services": all,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"virtual_hosts": []map[string]any{{"host": host, "paths": routes}},
	}
}
