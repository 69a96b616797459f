// Command corneldeal-lab runs stand-ins of the systems that the router talks to, and the load generator.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := app().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "corneldeal-lab:", err)
		os.Exit(1)
	}
}

// app returns the command line of the program.
func app() *cli.Command {
	return &cli.Command{
		Name:  "corneldeal-lab",
		Usage: "stand-ins and load for corneldeal",
		Commands: []*cli.Command{
			engineCommand(),
			serviceCommand(),
			logCommand(),
			vmlistCommand(),
			weightStoreCommand(),
			cacheStoreCommand(),
			noteCommand(),
			loadCommand(),
			measureCommand(),
			demoCommand(),
		},
	}
}
