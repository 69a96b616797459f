package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print configuration revision, contact and load of every VM",
		Flags: []cli.Flag{platformFlags()[1]},
		Action: func(ctx context.Context, c *cli.Command) error {
			rows, err := newClients(c).statuses(ctx)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
			_, _ = fmt.Fprintln(w, "VM\tDATA CENTRE\tLISTED\tNEXT OFFSET\tCONTACT\tREADY\tRUNNING\tSLOTS")
			for _, row := range rows {
				printStatus(w, row)
			}
			return w.Flush()
		},
	}
}

// printStatus prints the row of one VM.
func printStatus(w *tabwriter.Writer, row vmStatus) {
	if row.err != nil {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\tno answer: %v\n", row.vm.Name, row.vm.DataCentre, row.vm.State, row.err)
		return
	}
	s := row.status
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%v\t%d\t%s\n", s.VM, s.DataCentre, row.vm.State, s.ConfigNext,
		s.Contact, s.Ready, s.Running, strings.Join(s.Slots, ","))
}
