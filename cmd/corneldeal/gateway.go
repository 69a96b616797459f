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

// settingsVariable is the environment variable that names the settings file if the flag is not given.
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

// runGateway runs the gateway until SIGTERM or an interrupt. It reloads the settings on SIGHUP and when the file
// changes.
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
			Engines: platform.NewEngines(client), Statuses: platform.Statuses{},
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
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastState := fileStateOf(file)
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				g.Shutdown()
				return nil
			}
		case <-poll.C:
			if fileStateOf(file) == lastState {
				continue
			}
		}
		lastState = fileStateOf(file)
		if next, problems := settings.LoadGateway(file); printProblems(problems) == 0 {
			g.Reload(next)
		}
	}
}

// settingsPollInterval is the time between two checks of the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// fileState identifies a version of a file by its modification time and size in bytes.
type fileState struct {
	modified time.Time
	size     int64
}

// fileStateOf returns the current state of a file, or the zero state if the file cannot be read.
func fileStateOf(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		// The file may be in the middle of a replacement. The current settings stay in effect.
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}
