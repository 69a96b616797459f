package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/corneldeal/corneldeal/lab/cachestore"
	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/lab/logservice"
	"github.com/corneldeal/corneldeal/lab/service"
	"github.com/corneldeal/corneldeal/lab/vmlist"
	"github.com/corneldeal/corneldeal/lab/weightstore"
)

// defaultVMListLag is the age of the VM list's answers.
const defaultVMListLag = 500 * time.Millisecond

// standIn is a process that serves until it is told to end.
type standIn interface {
	Start() error
	Addr() string
	Close()
}

// run starts the stand-in, prints its address and serves until SIGINT or SIGTERM.
func run(ctx context.Context, name string, s standIn) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := s.Start(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	fmt.Printf("%s listens on %s\n", name, s.Addr())
	<-ctx.Done()
	s.Close()
	return nil
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT` to listen on"}
}

func logCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "run the log service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "retention", Value: logservice.DefaultRetention, Usage: "time for which records are kept"},
			&cli.IntFlag{Name: "appends-per-second", Value: logservice.DefaultAppendsPerSecond, Usage: "rate that appends are paced to"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, "log", logservice.New(logservice.Options{
				Listen:           c.String("listen"),
				Retention:        c.Duration("retention"),
				AppendsPerSecond: c.Int("appends-per-second"),
			}))
		},
	}
}

func vmlistCommand() *cli.Command {
	return &cli.Command{
		Name:  "vmlist",
		Usage: "run the VM list",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "lag", Value: defaultVMListLag, Usage: "age of the answers"},
			&cli.StringFlag{Name: "vms", Usage: "JSON `FILE` with the first list, in the form of GET /v1/vms"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			vms, err := readVMs(c.String("vms"))
			if err != nil {
				return err
			}
			return run(ctx, "vmlist", vmlist.New(vmlist.Options{
				Listen: c.String("listen"),
				Lag:    c.Duration("lag"),
				VMs:    vms,
			}))
		},
	}
}

func readVMs(file string) ([]vmlist.VM, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var l vmlist.List
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return l.VMs, nil
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a plain service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Value: "service", Usage: "name in the answers"},
			&cli.Int64Flag{Name: "delay-ms", Usage: "time of one call in milliseconds"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, "service", service.New(service.Options{
				Listen:  c.String("listen"),
				Name:    c.String("name"),
				DelayMs: c.Int64("delay-ms"),
			}))
		},
	}
}

func weightStoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "weightstore",
		Usage: "run the weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "load-time", Value: weightstore.DefaultLoadTime, Usage: "time of one load while at most two run"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, "weightstore", weightstore.New(weightstore.Options{
				Listen:   c.String("listen"),
				LoadTime: c.Duration("load-time"),
			}))
		},
	}
}

func cacheStoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "cachestore",
		Usage: "run the KV cache store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "blocks", Value: cachestore.DefaultBlocks, Usage: "number of blocks kept"},
			&cli.Int64Flag{Name: "block-delay-us", Usage: "transfer time of one block in microseconds"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, "cachestore", cachestore.New(cachestore.Options{
				Listen:       c.String("listen"),
				Blocks:       c.Int("blocks"),
				BlockDelayUs: c.Int64("block-delay-us"),
			}))
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Value: "engine", Usage: "name in the state"},
			&cli.StringSliceFlag{Name: "model", Usage: "`MODEL@VERSION[+ADAPTER...]` loaded at start; may be repeated"},
			&cli.StringFlag{Name: "role", Value: "serve", Usage: "role at start"},
			&cli.IntFlag{Name: "block-bytes", Value: engine.DefaultBlockBytes, Usage: "size of a block"},
			&cli.IntFlag{Name: "cache-blocks", Value: engine.DefaultCacheBlocks, Usage: "size of the prefix cache in blocks"},
			&cli.IntFlag{Name: "max-running", Value: engine.DefaultMaxRunning, Usage: "requests that share the steps"},
			&cli.DurationFlag{Name: "miss-cost", Value: engine.DefaultMissCost, Usage: "time to compute a missing block"},
			&cli.DurationFlag{Name: "lookup-cost", Value: engine.DefaultLookupCost, Usage: "time to look up a block"},
			&cli.DurationFlag{Name: "step-cost", Value: engine.DefaultStepCost, Usage: "shortest time of a step"},
			&cli.DurationFlag{Name: "running-cost", Value: engine.DefaultRunningCost, Usage: "step time added per running request"},
			&cli.DurationFlag{Name: "report-lag", Value: engine.DefaultReportLag, Usage: "age of the load report"},
			&cli.DurationFlag{Name: "load-time", Value: engine.DefaultLoadTime, Usage: "time of a weight load"},
			&cli.IntFlag{Name: "output-tokens", Usage: "end every answer after this many tokens; 0 means max_tokens"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing number"},
			&cli.StringFlag{Name: "weight-store", Usage: "`IP:PORT` of the weight store"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of dropped events"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, c *cli.Command) error {
	models, err := parseModels(c.StringSlice("model"))
	if err != nil {
		return err
	}
	return run(ctx, "engine", engine.New(engine.Options{
		Listen:        c.String("listen"),
		Name:          c.String("name"),
		Role:          c.String("role"),
		Models:        models,
		BlockBytes:    c.Int("block-bytes"),
		CacheBlocks:   c.Int("cache-blocks"),
		MaxRunning:    c.Int("max-running"),
		MissCost:      c.Duration("miss-cost"),
		LookupCost:    c.Duration("lookup-cost"),
		StepCost:      c.Duration("step-cost"),
		RunningCost:   c.Duration("running-cost"),
		ReportLag:     c.Duration("report-lag"),
		LoadTime:      c.Duration("load-time"),
		OutputTokens:  c.Int("output-tokens"),
		ChecksFencing: c.Bool("checks-fencing"),
		WeightStore:   c.String("weight-store"),
		Seed:          c.Uint64("seed"),
	}))
}

// parseModels reads MODEL@VERSION[+ADAPTER...].
func parseModels(texts []string) ([]engine.LoadedModel, error) {
	var out []engine.LoadedModel
	for _, t := range texts {
		name, rest, ok := strings.Cut(t, "@")
		parts := strings.Split(rest, "+")
		if !ok || name == "" || parts[0] == "" {
			return nil, fmt.Errorf("--model %q: use MODEL@VERSION[+ADAPTER...]", t)
		}
		out = append(out, engine.LoadedModel{Model: name, Version: parts[0], Adapters: parts[1:]})
	}
	return out, nil
}
