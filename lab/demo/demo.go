// Package demo starts a small deployment of real processes, sends requests to it and prints what callers and
// operators see.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/pkg/auth"
	"github.com/corneldeal/corneldeal/pkg/config"
)

const (
	// limit bounds the whole demo.
	limit = 55 * time.Second
	// drainDelayMs is shortened so that the demo ends soon.
	drainDelayMs = 200
	// timelineLines is the number of timeline lines that are printed.
	timelineLines = 30
)

// Names of the demo's configuration.
const (
	model       = "house-7b"
	version     = "v1"
	bookings    = "/services/bookings"
	workshop    = "workshop"
	retail      = "retail"
	workshopKey = "demo-key-workshop"
	retailKey   = "demo-key-retail"
)

// Options configure the demo.
type Options struct {
	// Router is the path of the router program.
	Router string
	// Self is the path of this program, which runs the stand-ins.
	Self string
	Out  io.Writer
}

// demo is one run.
type demo struct {
	Options
	dir      string
	standIns []*deploy.Process
	fleet    *deploy.Fleet
	addr     map[string]string
}

// Run starts everything, shows it and stops everything that it started.
func Run(ctx context.Context, opt Options) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	dir, err := os.MkdirTemp("", "corneldeal-demo-")
	if err != nil {
		return err
	}
	d := &demo{Options: opt, dir: dir, addr: map[string]string{}}
	err = d.run(ctx)
	err = errors.Join(err, d.stop())
	if err != nil {
		return fmt.Errorf("outputs are in %s: %w", dir, err)
	}
	d.say("Everything that was started has stopped.")
	return os.RemoveAll(dir)
}

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
}

func (d *demo) run(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.startStandIns,
		d.startRouters,
		d.publishFirst,
		d.chats,
		d.booking,
		d.refusals,
		d.withdrawKey,
		d.timeline,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// standIn starts one stand-in as a process of this program.
func (d *demo) standIn(ctx context.Context, name, kind string, args ...string) error {
	addr, err := deploy.FreeAddr("127.0.0.1")
	if err != nil {
		return err
	}
	out, err := deploy.CreateLog(d.dir, name)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	args = append([]string{kind, "--listen", addr}, args...)
	p, err := deploy.Start(name, out, d.Self, args...)
	if err != nil {
		return err
	}
	d.standIns = append(d.standIns, p)
	d.addr[name] = addr
	return p.Await(ctx, "it answers", func() bool { return deploy.OK(addr, "/healthz") })
}

func (d *demo) startStandIns(ctx context.Context) error {
	d.say("== Starting the platform's stand-ins")
	weights := model + "@" + version
	return errors.Join(
		d.standIn(ctx, "log", "log"),
		d.standIn(ctx, "vmlist", "vmlist"),
		d.standIn(ctx, "engine-1", "engine", "--name", "engine-1", "--model", weights),
		d.standIn(ctx, "engine-2", "engine", "--name", "engine-2", "--model", weights),
		d.standIn(ctx, "bookings-1", "service", "--name", "bookings-1"),
	)
}

func (d *demo) startRouters(ctx context.Context) error {
	d.fleet = &deploy.Fleet{
		Router:       d.Router,
		Dir:          d.dir,
		Log:          d.addr["log"],
		VMList:       d.addr["vmlist"],
		DrainDelayMs: drainDelayMs,
	}
	if err := d.fleet.Plan(2, []string{"dc-1", "dc-2"}); err != nil {
		return err
	}
	if err := deploy.SetVMs(d.addr["vmlist"], d.fleet.List()); err != nil {
		return err
	}
	d.say("== Starting corneldeal serve on two VMs in two data centres")
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	for _, v := range d.fleet.VMs {
		d.say("%s in %s listens to callers on %s and to peers on %s", v.Name, v.DataCentre, v.Caller, v.Peer)
	}
	return nil
}

func (d *demo) publish(ctx context.Context, note config.ReleaseNote) error {
	d.say("== Publishing release note %s", note.ID)
	out, err := d.fleet.Publish(ctx, note)
	d.say("%s", strings.TrimSpace(out))
	return err
}

func (d *demo) publishFirst(ctx context.Context) error {
	err := d.publish(ctx, config.ReleaseNote{ID: "first", Base: -1, Author: "demo", Added: d.items()})
	if err != nil {
		return err
	}
	return d.fleet.AwaitReady(ctx)
}

// items is the configuration: two workspaces, of which retail has a small burst.
func (d *demo) items() config.Items {
	endpoint := func(name, dc string) config.Endpoint {
		return config.Endpoint{Name: name, Address: d.addr[name], DataCentre: dc}
	}
	one, two, plain := endpoint("engine-1", "dc-1"), endpoint("engine-2", "dc-2"), endpoint("bookings-1", "dc-1")
	one.Kind, two.Kind, plain.Kind = config.EndpointEngine, config.EndpointEngine, config.EndpointService
	one.Models, two.Models = []string{model}, []string{model}
	plain.Service = "bookings"
	return config.Items{
		Workspaces: []config.Workspace{
			{Name: workshop, TokensPerSecond: 50000, BurstTokens: 200000},
			{Name: retail, TokensPerSecond: 2000, BurstTokens: 6000},
		},
		Keys: []config.Key{
			{Digest: auth.Digest(workshopKey), Workspace: workshop},
			{Digest: auth.Digest(retailKey), Workspace: retail},
		},
		Models: []config.Model{{
			Name:                  model,
			Version:               version,
			BlockBytes:            engine.DefaultBlockBytes,
			PrefillMicrosPerBlock: engine.DefaultMissCost.Microseconds(),
		}},
		Routes: []config.Route{
			{Name: "chat", Kind: config.RouteChat, Model: model},
			{Name: "bookings", Kind: config.RouteService, Prefix: bookings, Service: "bookings"},
		},
		Endpoints: []config.Endpoint{one, two, plain},
	}
}

func (d *demo) withdrawKey(ctx context.Context) error {
	err := d.publish(ctx, config.ReleaseNote{
		ID:        "second",
		Author:    "demo",
		Withdrawn: []config.Ref{{Kind: config.KindKey, Name: auth.Digest(retailKey)}},
	})
	if err != nil {
		return err
	}
	return d.expectRefusal(ctx, "a withdrawn key", d.fleet.VMs[1].Caller, retailKey, chat("Is my order on its way?", 8))
}

func (d *demo) timeline(ctx context.Context) error {
	d.say("== corneldeal timeline (last %d lines)", timelineLines)
	out, err := deploy.Run(ctx, d.Router, "timeline", "--settings", d.fleet.SettingsFile(d.fleet.VMs[0]))
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	for _, line := range lines[max(0, len(lines)-timelineLines):] {
		d.say("%s", line)
	}
	return nil
}

// stop ends the routers first, so that they can finish their requests.
func (d *demo) stop() error {
	d.say("== Stopping everything")
	var err error
	if d.fleet != nil {
		err = d.fleet.Stop()
	}
	for _, p := range d.standIns {
		err = errors.Join(err, p.Stop())
	}
	return err
}

// Self returns the path of the running program.
func Self() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.EvalSymlinks(self)
}
