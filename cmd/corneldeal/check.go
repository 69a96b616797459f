package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check settings and release notes without a network",
		Description: "Prints every mistake with file, line, key and what was expected. Exit status 2 means that\n" +
			"there is a mistake.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "settings", Usage: "settings `FILE` to check"},
			&cli.StringSliceFlag{Name: "note", Usage: "release note `FILE` to check"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			problems, files := 0, 0
			for _, file := range c.StringSlice("settings") {
				_, fileProblems := settings.Load(file)
				problems += printProblems(fileProblems)
				files++
			}
			for _, file := range c.StringSlice("note") {
				_, count := loadNote(file)
				problems += count
				files++
			}
			if files == 0 {
				return &exitError{status: exitInvalid, message: "name a file with --settings or --note"}
			}
			if problems > 0 {
				return &exitError{status: exitInvalid, message: fmt.Sprintf("%d problems found", problems)}
			}
			_, err := fmt.Fprintf(c.Root().Writer, "%d files are valid\n", files)
			return err
		},
	}
}

// printProblems prints problems to standard error and returns their number.
func printProblems[P fmt.Stringer](problems []P) int {
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	return len(problems)
}

// loadNote reads a release note file. It prints the problems of the file and returns their number.
func loadNote(file string) (config.ReleaseNote, int) {
	data, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return config.ReleaseNote{}, 1
	}
	note, problems := config.ParseNote(file, data)
	return note, printProblems(problems)
}
