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
	// parallelReads bounds the daemons that are asked at the same time.
	parallelReads = 16
	// timelineAttempts bounds the tries for each daemon, so that a daemon that
	// is down does not hold up the others.
	timelineAttempts = 2
)

func (a *app) timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "merge the events of daemons in causal order",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: ticketFlag, Usage: "only events of this ticket `NUMBER`"},
			&cli.StringFlag{Name: "vm", Usage: "only events of this `VM`"},
			&cli.StringFlag{Name: "request", Usage: "only events of this request `ID`"},
			&cli.BoolFlag{Name: "members", Usage: "also ask every member that the first server's status names"},
			&cli.StringSliceFlag{Name: "file", Usage: "also read events from this JSON lines `FILE`; may be repeated"},
			timeoutFlagOf(callTimeout),
		},
		Action: a.withOutput(a.timeline),
	}
}

// gathered holds the events of each source and what could not be asked.
type gathered struct {
	lists    [][]timeline.Event
	missing  []string
	failures []error
}

func (a *app) timeline(ctx context.Context, command *cli.Command) error {
	if _, err := arguments(command); err != nil {
		return err
	}
	filter := admin.TimelineFilter{Ticket: command.Uint64(ticketFlag), VM: command.String("vm"), Request: command.String("request")}
	var all gathered
	if err := all.readFiles(command.StringSlice("file"), filter); err != nil {
		return err
	}
	if len(command.StringSlice(serverFlag)) > 0 || len(all.lists) == 0 {
		if err := all.readServers(ctx, command, filter); err != nil {
			return err
		}
	}
	if err := a.printEvents(timeline.Merge(all.lists...)); err != nil {
		return err
	}
	if len(all.missing) > 0 {
		return failed(fault.WithDetails(fault.Unavailable, fmt.Sprintf("the time line lacks %d daemons", len(all.missing)), all.missing))
	}
	return nil
}

func (g *gathered) readFiles(paths []string, filter admin.TimelineFilter) error {
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return usage(err, "%s cannot be opened", path)
		}
		events, err := timeline.ReadLines(file)
		_ = file.Close()
		if err != nil {
			return usage(err, "%s", path)
		}
		matches := timeline.Filter(filter).Matches
		g.lists = append(g.lists, slices.DeleteFunc(events, func(e timeline.Event) bool { return !matches(e) }))
	}
	return nil
}

func (g *gathered) readServers(ctx context.Context, command *cli.Command, filter admin.TimelineFilter) error {
	config, err := clientConfig(command)
	if err != nil {
		return err
	}
	ctx, cancel, err := timed(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	if command.Bool("members") {
		if err := g.addMembers(ctx, &config); err != nil {
			return err
		}
	}
	config.Attempts = timelineAttempts
	clients, err := oneClientEach(config)
	if err != nil {
		return err
	}
	g.ask(ctx, clients, config.Servers, filter)
	if len(g.lists) == 0 {
		return answered(ctx, g.failures[0])
	}
	return nil
}

// addMembers adds the members whose administration address is known.
func (g *gathered) addMembers(ctx context.Context, config *admin.ClientConfig) error {
	client, err := admin.NewClient(*config)
	if err != nil {
		return badInput(err)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return answered(ctx, err)
	}
	for _, m := range status.Members {
		switch {
		case m.AdminAddress == "" && m.VM != status.VM:
			g.missing = append(g.missing, m.VM+": its administration address is not known")
		case m.AdminAddress != "" && !slices.Contains(config.Servers, m.AdminAddress):
			config.Servers = append(config.Servers, m.AdminAddress)
		}
	}
	return nil
}

func oneClientEach(config admin.ClientConfig) ([]*admin.Client, error) {
	var clients []*admin.Client
	for _, server := range config.Servers {
		single := config
		single.Servers = []string{server}
		client, err := admin.NewClient(single)
		if err != nil {
			return nil, badInput(err)
		}
		clients = append(clients, client)
	}
	return clients, nil
}

// ask reads the time lines of all daemons. A daemon that gives no answer is
// noted, because the others' events are still worth reading.
func (g *gathered) ask(ctx context.Context, clients []*admin.Client, names []string, filter admin.TimelineFilter) {
	lists := make([][]timeline.Event, len(clients))
	failures := make([]error, len(clients))
	slots := make(chan struct{}, parallelReads)
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
			g.missing = append(g.missing, names[i]+": "+err.Error())
			g.failures = append(g.failures, err)
			continue
		}
		g.lists = append(g.lists, lists[i])
	}
}

// printEvents writes JSON lines, which --file reads again, or a table.
func (a *app) printEvents(events []timeline.Event) error {
	if a.json {
		return failed(timeline.WriteLines(a.config.Stdout, events))
	}
	return a.print(events, func(out *table) {
		out.row("CLOCK", "AT", "VM", "KIND", "TICKET", "REVISION", "EPOCH", "REQUEST", "DETAIL")
		for _, e := range events {
			out.row(fmt.Sprint(e.Clock), clockTime(e.At), e.VM, string(e.Kind), number(e.Ticket), number(e.Revision), number(e.Epoch), orDash(e.Request), e.Detail)
		}
	})
}
