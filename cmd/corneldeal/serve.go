package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/corneldeal/corneldeal/pkg/router"
	"github.com/corneldeal/corneldeal/pkg/settings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the router on this VM",
		Description: "SIGTERM and SIGINT stop gracefully: readiness fails first, then every accepted request is\n" +
			"finished. A second signal stops at once.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
			&cli.DurationFlag{Name: "shutdown-timeout", Usage: "longest wait for running requests", Value: 10 * time.Minute},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			s, problems := settings.Load(c.String("settings"))
			if printProblems(problems) > 0 {
				return &exitError{status: exitInvalid, message: fmt.Sprintf("%d problems found", len(problems))}
			}
			return serve(s, c.Duration("shutdown-timeout"))
		},
	}
}

// serve runs the router until a signal or a fatal error. After a signal it waits up to timeout for running requests; a
// second signal ends the wait.
func serve(s settings.Settings, timeout time.Duration) error {
	r := router.New(s)
	defer r.Cleanup()
	if err := r.Provision(); err != nil {
		return err
	}
	if err := r.Validate(); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	r.Start()
	select {
	case err := <-r.Fatal():
		return err
	case <-signals:
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return r.Shutdown(ctx)
}
