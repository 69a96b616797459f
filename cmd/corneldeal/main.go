// Command corneldeal is the router: one kind of process that stands on every VM, and the operator's commands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the version of the program.
const version = "0.1.0"

func main() {
	if err := app().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "corneldeal:", err)
		os.Exit(1)
	}
}

// app returns the command line of the program.
func app() *cli.Command {
	return &cli.Command{
		Name:    "corneldeal",
		Usage:   "route language-model traffic with long shared prompts",
		Version: version,
		Commands: []*cli.Command{
			versionCommand(),
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, _ *cli.Command) error {
			fmt.Println("corneldeal", version)
			return nil
		},
	}
}
