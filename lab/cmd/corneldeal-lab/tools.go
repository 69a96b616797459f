package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/corneldeal/corneldeal/lab/demo"
	"github.com/corneldeal/corneldeal/lab/load"
)

const (
	// defaultLength is the time in which requests arrive per profile and policy. Ten runs of it, the starts of
	// the router processes and the overhead run fit into defaultLimit.
	defaultLength = 19 * time.Second
	// defaultLimit bounds a measurement.
	defaultLimit = 5 * time.Minute
	// defaultSeed is the seed of the arrivals.
	defaultSeed = 1
)

func routerFlag() cli.Flag {
	return &cli.StringFlag{Name: "router", Value: "bin/corneldeal", Usage: "`PATH` of the router program"}
}

// interruptible ends the context at SIGINT or SIGTERM, so that started processes are stopped.
func interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "start a small deployment, send requests and print what callers and operators see",
		Flags: []cli.Flag{routerFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := interruptible(ctx)
			defer cancel()
			self, err := demo.Self()
			if err != nil {
				return err
			}
			return demo.Run(ctx, demo.Options{Router: c.String("router"), Self: self, Out: os.Stdout})
		},
	}
}

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure placement policies under the user profiles",
		Flags: []cli.Flag{
			routerFlag(),
			&cli.StringFlag{Name: "out", Value: "build/measure.json", Usage: "JSON `FILE`; plots are written beside it"},
			&cli.DurationFlag{Name: "length", Value: defaultLength, Usage: "time in which requests arrive, per profile and policy"},
			&cli.DurationFlag{Name: "limit", Value: defaultLimit, Usage: "longest time of the whole measurement"},
			&cli.Uint64Flag{Name: "seed", Value: defaultSeed, Usage: "seed of the arrivals"},
			&cli.StringSliceFlag{Name: "profile", Usage: "measure only this profile; may be repeated"},
			&cli.StringSliceFlag{Name: "policy", Usage: "measure only this policy; may be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := interruptible(ctx)
			defer cancel()
			return load.Measure(ctx, load.Options{
				Router:   c.String("router"),
				Out:      c.String("out"),
				Length:   c.Duration("length"),
				Limit:    c.Duration("limit"),
				Seed:     c.Uint64("seed"),
				Profiles: c.StringSlice("profile"),
				Policies: c.StringSlice("policy"),
				Log:      os.Stdout,
			})
		},
	}
}

func profileFlag() cli.Flag {
	return &cli.StringFlag{Name: "profile", Value: "retail", Usage: "profile `NAME`: retail or workshop"}
}

func noteCommand() *cli.Command {
	return &cli.Command{
		Name:  "note",
		Usage: "print the release note that VMs must hold before load of a profile is sent to them",
		Flags: []cli.Flag{
			profileFlag(),
			&cli.StringSliceFlag{Name: "engine", Usage: "`IP:PORT` of an engine that holds house-7b@v1; may be repeated"},
			&cli.StringSliceFlag{Name: "service", Usage: "`IP:PORT` of a plain service; may be repeated"},
			&cli.StringFlag{Name: "cache-store", Usage: "`IP:PORT` of the KV cache store"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return load.PrintNote(os.Stdout, c.String("profile"), load.Addresses{
				Engines:    c.StringSlice("engine"),
				Services:   c.StringSlice("service"),
				CacheStore: c.String("cache-store"),
			})
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "send the arrivals of a profile to running VMs and print the figures that callers can see",
		Description: "The VMs must hold the release note that `corneldeal-lab note` prints.",
		Flags: []cli.Flag{
			profileFlag(),
			&cli.StringSliceFlag{Name: "target", Usage: "`IP:PORT` of a VM; may be repeated", Required: true},
			&cli.DurationFlag{Name: "length", Value: defaultLength, Usage: "time in which requests arrive"},
			&cli.Uint64Flag{Name: "seed", Value: defaultSeed, Usage: "seed of the arrivals"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := interruptible(ctx)
			defer cancel()
			return load.Send(ctx, load.SendOptions{
				Profile: c.String("profile"),
				Targets: c.StringSlice("target"),
				Length:  c.Duration("length"),
				Seed:    c.Uint64("seed"),
				Out:     os.Stdout,
			})
		},
	}
}
