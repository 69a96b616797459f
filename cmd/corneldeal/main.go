// Command corneldeal runs the router process of a VM and contains the commands for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/corneldeal/corneldeal/pkg/router"
)

// Exit statuses of the program. A successful run exits with 0.
const (
	exitFailed  = 1
	exitInvalid = 2 // mistakes in the arguments or in a file
	exitRefused = 3 // a release note was refused
)

// exitError ends the program with a status. If the message is empty, nothing is printed.
type exitError struct {
	status  int
	message string
}

// Error implements error.
func (e *exitError) Error() string {
	return e.message
}

func main() {
	os.Exit(run(os.Args))
}

// run runs the program with the given arguments and returns its exit status.
func run(args []string) int {
	err := app().Run(context.Background(), args)
	if err == nil {
		return 0
	}
	status := exitFailed
	var exit *exitError
	if errors.As(err, &exit) {
		status = exit.status
	}
	if err.Error() != "" {
		fmt.Fprintln(os.Stderr, "corneldeal:", err)
	}
	return status
}

// app returns the root command of the program.
func app() *cli.Command {
	return &cli.Command{
		Name:  "corneldeal",
		Usage: "route language-model traffic with long shared prompts",
		Description: "One kind of process, `corneldeal serve`, stands on every VM behind the platform's balancer.\n" +
			"Operators steer it with release notes, see `corneldeal publish`.",
		Version:        router.Version,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(),
			gatewayCommand(),
			explainCommand(),
			checkCommand(),
			publishCommand(),
			statusCommand(),
			timelineCommand(),
			keyCommand(),
			versionCommand(),
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, "corneldeal", router.Version)
			return err
		},
	}
}
