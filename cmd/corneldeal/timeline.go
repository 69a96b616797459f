package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/timeline"
	"github.com/corneldeal/corneldeal/pkg/vmlist"
)

// timelineTimeout is the timeout of the timeline request to one VM.
const timelineTimeout = 5 * time.Second

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:      "timeline",
		Usage:     "merge the events of all VMs into one order",
		ArgsUsage: "[LOG...]",
		Description: "With log files of gateways, their lines are merged. Otherwise the settings file of any VM names the\n" +
			"VM list and holds the peer token; events of a VM that does not answer are missing, and the command says so.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, needed without log files"},
			&cli.DurationFlag{Name: "last", Usage: "how far back to look", Value: time.Minute},
			&cli.StringFlag{Name: "format", Usage: "text, or trace for a trace viewer", Value: "text"},
			&cli.StringFlag{Name: "request", Usage: "only events of the request with this `ID`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return printLogs(c)
			}
			s, problems := settings.Load(c.String("settings"))
			if printProblems(problems) > 0 {
				return &exitError{status: exitInvalid, message: fmt.Sprintf("%d problems found", len(problems))}
			}
			write, err := timelineWriter(c.String("format"))
			if err != nil {
				return err
			}
			events, err := collectEvents(ctx, s, time.Now().Add(-c.Duration("last")))
			if err != nil {
				return err
			}
			return write(c.Root().Writer, filterByRequest(events, c.String("request")))
		},
	}
}

// printLogs merges the log files given as arguments.
func printLogs(c *cli.Command) error {
	unreadable, err := mergeLogs(c.Root().Writer, c.Args().Slice(), c.String("request"))
	if err != nil {
		return err
	}
	if unreadable > 0 {
		_, err = fmt.Fprintln(c.Root().ErrWriter, unreadable, "lines are no log lines and were left out")
	}
	return err
}

// timelineWriter returns the function that writes events in a format.
func timelineWriter(format string) (func(io.Writer, []timeline.Event) error, error) {
	switch format {
	case "text":
		return timeline.WriteText, nil
	case "trace":
		return timeline.WriteTrace, nil
	}
	return nil, &exitError{status: exitInvalid, message: fmt.Sprintf("unknown format %q, expected text or trace", format)}
}

// filterByRequest returns the events of a request, or all events if request is empty.
func filterByRequest(events []timeline.Event, request string) []timeline.Event {
	if request == "" {
		return events
	}
	var filtered []timeline.Event
	for _, e := range events {
		if e.Request == request {
			filtered = append(filtered, e)
		}
	}
	return filtered
}

// collectEvents requests the events since a time from every VM and merges them. It skips VMs that fail and prints their
// errors.
func collectEvents(ctx context.Context, s settings.Settings, since time.Time) ([]timeline.Event, error) {
	conf, err := peer.TLSConfig(s.PeerTLS)
	if err != nil {
		return nil, err
	}
	list, err := vmlist.New(s.VMListAddress, httpcall.NewClient()).Read(ctx)
	if err != nil {
		return nil, err
	}
	clients := peer.NewClients(s.PeerToken, conf)
	defer clients.Close()
	var lists [][]timeline.Event
	for _, vm := range list.VMs {
		events, err := vmEvents(ctx, clients, vm.PeerAddress, since)
		if err != nil {
			fmt.Fprintf(os.Stderr, "events of VM %s are missing: %v\n", vm.Name, err)
			continue
		}
		lists = append(lists, events)
	}
	return timeline.Merge(lists...), nil
}

// vmEvents requests the events since a time from the VM at address.
func vmEvents(ctx context.Context, clients *peer.Clients, address string, since time.Time) ([]timeline.Event, error) {
	ctx, cancel := context.WithTimeout(clients.Context(ctx), timelineTimeout)
	defer cancel()
	now := time.Now().UnixNano()
	resp, err := clients.At(address).Timeline(ctx, &peer.TimelineRequest{
		Envelope: &peer.Envelope{Vm: "operator", Incarnation: "operator", HlcWallNs: now},
		SinceNs:  since.UnixNano(),
	})
	if err != nil {
		return nil, err
	}
	events := make([]timeline.Event, 0, len(resp.Events))
	for _, e := range resp.Events {
		events = append(events, timeline.Event{
			Stamp:       timeline.Stamp{WallNs: e.HlcWallNs, Counter: e.HlcCounter},
			VM:          e.Vm,
			Incarnation: e.Incarnation,
			Part:        e.Part,
			Name:        e.Name,
			Request:     e.Request,
			Detail:      e.Detail,
			Duration:    time.Duration(e.DurationNs),
		})
	}
	return events, nil
}
