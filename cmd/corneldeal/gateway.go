package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/corneldeal/corneldeal/pkg/gateway"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/platform"
)

// settingsVariable names the settings file where the flag does not.
const settingsVariable = "CORNELDEAL_CONFIG"

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the gateway of the users' platform on this VM",
		Description: "SIGTERM stops gracefully: readiness fails first, then every accepted request is finished.\n" +
			"SIGHUP and a change of the file read the settings again; only the log level takes effect without a restart.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars(settingsVariable),
			},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return runGateway(c.String("settings"))
		},
	}
}

func runGateway(file string) error {
	s, problems := settings.LoadGateway(file)
	if printProblems(problems) > 0 {
		return &exitError{status: exitInvalid, message: fmt.Sprintf("%d problems found", len(problems))}
	}
	g := gateway.New(s, func(client *httpcall.Client) gateway.Platform {
		return gateway.Platform{
			Store:   platform.NewStore(s.StoreAddress, client),
			Decoder: platform.Decoder{},
			Wire:    platform.Wire{},
			Engines: platform.NewEngines(client),
		}
	})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	if err := g.Provision(); err != nil {
		return err
	}
	if err := g.Start(); err != nil {
		return err
	}
	changes := time.NewTicker(settingsLook)
	defer changes.Stop()
	known := stampOf(file)
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				g.Shutdown()
				return nil
			}
		case <-changes.C:
			if stampOf(file) == known {
				continue
			}
		}
		known = stampOf(file)
		if next, problems := settings.LoadGateway(file); printProblems(problems) == 0 {
			g.Reload(next)
		}
	}
}

// settingsLook is the pause between two looks at the settings file, which may change without a signal.
const settingsLook = 2 * time.Second

// stamp tells two states of a file apart.
type stamp struct {
	changed time.Time
	size    int64
}

// stampOf returns the state of a file, or the zero stamp where there is none at the moment.
func stampOf(file string) stamp {
	info, err := os.Stat(file)
	if err != nil {
		// The file may be in the middle of a replacement. The settings that are known stay.
		return stamp{}
	}
	return stamp{changed: info.ModTime(), size: info.Size()}
}
