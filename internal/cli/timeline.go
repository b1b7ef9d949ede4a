package cli

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

const (
	// maxParallelReads is the concurrency limit of time line requests, one per
	// daemon.
	maxParallelReads = 16
	// timelineAttempts is the maximum number of attempts per daemon. It is low
	// so that a daemon that is down does not delay the output.
	timelineAttempts = 2
)

func (a *app) timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "merge the events of daemons in causal order",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: ticketFlag, Usage: "only events of this ticket `NUMBER`"},
			&cli.StringFlag{Name: "vm", Usage: "only events of this `VM`"},
			&cli.StringFlag{Name: "request", Usage: "only events of this request `ID`"},
			&cli.BoolFlag{Name: "members", Usage: "also read from every member in the status of the first server"},
			&cli.StringSliceFlag{Name: "file", Usage: "also read events from this JSON lines `FILE`; may be repeated"},
			newTimeoutFlag(defaultCallTimeout),
		},
		Action: a.withOutputFlag(a.showTimeline),
	}
}

// collectedEvents holds the events of each source and the failed sources.
type collectedEvents struct {
	lists [][]timeline.Event
	// missing describes each daemon whose events are missing, with the reason.
	missing []string
	// failures are the errors of the failed requests.
	failures []error
}

func (a *app) showTimeline(ctx context.Context, command *cli.Command) error {
	if _, err := positionalArgs(command); err != nil {
		return err
	}
	filter := admin.TimelineFilter{Ticket: command.Uint64(ticketFlag), VM: command.String("vm"), Request: command.String("request")}
	var collected collectedEvents
	if err := collected.readFiles(command.StringSlice("file"), filter); err != nil {
		return err
	}
	if len(command.StringSlice(serverFlag)) > 0 || len(collected.lists) == 0 {
		if err := collected.readServers(ctx, command, filter); err != nil {
			return err
		}
	}
	if err := a.printEvents(timeline.Merge(collected.lists...)); err != nil {
		return err
	}
	if len(collected.missing) > 0 {
		return failureError(fault.WithDetails(fault.Unavailable, fmt.Sprintf("the time line lacks the events of %d daemons", len(collected.missing)), collected.missing))
	}
	return nil
}

func (c *collectedEvents) readFiles(paths []string, filter admin.TimelineFilter) error {
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return usageError(err, "%s cannot be opened", path)
		}
		events, err := timeline.ReadLines(file)
		_ = file.Close()
		if err != nil {
			return usageError(err, "%s", path)
		}
		matches := timeline.Filter(filter).Matches
		c.lists = append(c.lists, slices.DeleteFunc(events, func(e timeline.Event) bool { return !matches(e) }))
	}
	return nil
}

func (c *collectedEvents) readServers(ctx context.Context, command *cli.Command, filter admin.TimelineFilter) error {
	config, err := clientConfig(command)
	if err != nil {
		return err
	}
	ctx, cancel, err := withTimeout(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	if command.Bool("members") {
		if err := c.addMembers(ctx, &config); err != nil {
			return err
		}
	}
	config.Attempts = timelineAttempts
	clients, err := newClientPerServer(config)
	if err != nil {
		return err
	}
	c.fetchEvents(ctx, clients, config.Servers, filter)
	if len(c.lists) == 0 {
		return apiError(ctx, c.failures[0])
	}
	return nil
}

// addMembers adds the administration addresses of all members to the servers in
// config, and records members without an address as missing.
func (c *collectedEvents) addMembers(ctx context.Context, config *admin.ClientConfig) error {
	client, err := admin.NewClient(*config)
	if err != nil {
		return inputError(err)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return apiError(ctx, err)
	}
	for _, m := range status.Members {
		switch {
		case m.AdminAddress == "" && m.VM != status.VM:
			c.missing = append(c.missing, m.VM+": its administration address is unknown")
		case m.AdminAddress != "" && !slices.Contains(config.Servers, m.AdminAddress):
			config.Servers = append(config.Servers, m.AdminAddress)
		}
	}
	return nil
}

// newClientPerServer returns one client for each server in config, in order.
func newClientPerServer(config admin.ClientConfig) ([]*admin.Client, error) {
	var clients []*admin.Client
	for _, server := range config.Servers {
		serverConfig := config
		serverConfig.Servers = []string{server}
		client, err := admin.NewClient(serverConfig)
		if err != nil {
			return nil, inputError(err)
		}
		clients = append(clients, client)
	}
	return clients, nil
}

// fetchEvents reads the time lines of all daemons concurrently. It records a daemon
// that fails as missing and continues, because the events of the others are still
// useful.
func (c *collectedEvents) fetchEvents(ctx context.Context, clients []*admin.Client, names []string, filter admin.TimelineFilter) {
	lists := make([][]timeline.Event, len(clients))
	failures := make([]error, len(clients))
	slots := make(chan struct{}, maxParallelReads)
	var group sync.WaitGroup
	for i, client := range clients {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			lists[i], failures[i] = client.Timeline(ctx, filter)
		})
	}
	group.Wait()
	for i, err := range failures {
		if err != nil {
			c.missing = append(c.missing, names[i]+": "+err.Error())
			c.failures = append(c.failures, err)
			continue
		}
		c.lists = append(c.lists, lists[i])
	}
}

// printEvents writes the events as JSON lines, which --file accepts as input, or
// as a table.
func (a *app) printEvents(events []timeline.Event) error {
	if a.jsonOutput {
		return failureError(timeline.WriteLines(a.config.Stdout, events))
	}
	return a.print(events, func(out *table) {
		out.addRow("CLOCK", "AT", "VM", "KIND", "TICKET", "REVISION", "EPOCH", "REQUEST", "DETAIL")
		for _, e := range events {
			out.addRow(fmt.Sprint(e.Clock), formatTime(e.At), e.VM, string(e.Kind), numberOrDash(e.Ticket), numberOrDash(e.Revision), numberOrDash(e.Epoch), orDash(e.Request), e.Detail)
		}
	})
}
