package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/configsync"
	"github.com/corneldeal/corneldeal/pkg/logservice"
	"github.com/corneldeal/corneldeal/pkg/vmlist"
)

const (
	// appendInterval is the time after which a note that was not read back is appended again.
	appendInterval = 3 * time.Second
	// pollInterval is the time between two requests for the status of the VMs, and the delay after a failed read.
	pollInterval = 100 * time.Millisecond
)

func publishCommand() *cli.Command {
	flags := append(platformFlags(),
		&cli.DurationFlag{Name: "timeout", Usage: "longest wait for the verdict and for every VM", Value: 30 * time.Second},
		&cli.BoolFlag{Name: "rebase", Usage: "set the base of the note to the newest offset"},
	)
	return &cli.Command{
		Name:      "publish",
		Usage:     "append a release note and wait until it is in force on every live VM",
		ArgsUsage: "NOTE",
		Description: "Prints the verdict and each VM's revision. Exit status 0: accepted and in force everywhere;\n" +
			"1: not known in time; 2: the note has mistakes; 3: refused.",
		Flags: flags,
		Action: func(ctx context.Context, c *cli.Command) error {
			note, problems := loadNote(c.Args().First())
			if problems > 0 {
				return &exitError{status: exitInvalid, message: fmt.Sprintf("%d problems found", problems)}
			}
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			replay := config.NewReplay()
			clients := newClients(c)
			p := &publisher{
				clients:  clients,
				replay:   replay,
				follower: &configsync.Follower{Log: clients.log, Replay: replay},
				out:      c.Root().Writer,
			}
			return p.publish(ctx, note, c.Bool("rebase"))
		},
	}
}

// publisher publishes one release note and waits for its effect.
type publisher struct {
	*clients
	replay   *config.Replay
	follower *configsync.Follower
	out      io.Writer
}

// publish appends the note and waits until it is accepted and applied by every live VM. With rebase, it first sets the
// base of the note to the newest offset.
func (p *publisher) publish(ctx context.Context, note config.ReleaseNote, rebase bool) error {
	if err := p.catchUp(ctx); err != nil {
		return err
	}
	if rebase {
		note.Base = p.replay.NextOffset() - 1
	}
	verdict, err := p.verdict(ctx, note)
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		for _, ref := range verdict.Conflicts {
			_, _ = fmt.Fprintf(p.out, "conflict: %s %s\n", ref.Kind, ref.Name)
		}
		return &exitError{status: exitRefused, message: fmt.Sprintf("note %s is refused: %s", note.ID, verdict.Reason)}
	}
	_, _ = fmt.Fprintf(p.out, "note %s is accepted at offset %d\n", note.ID, verdict.Offset)
	return p.waitApplied(ctx, verdict.Offset)
}

// verdict appends the note, repeatedly if needed, until its verdict can be read from the log. It does not rely on the
// replies to appends, because an append may take effect although its reply is lost. Readers ignore further copies of a
// note ID.
func (p *publisher) verdict(ctx context.Context, note config.ReleaseNote) (config.Verdict, error) {
	record := json.RawMessage(config.NewNoteRecord(note))
	for {
		if verdict, ok := p.replay.Verdict(note.ID); ok {
			return verdict, nil
		}
		_, appendErr := p.log.Append(ctx, logservice.StreamConfig, []json.RawMessage{record})
		until := time.Now().Add(appendInterval)
		for time.Now().Before(until) {
			_, err := p.follower.Read(ctx, time.Until(until))
			if _, ok := p.replay.Verdict(note.ID); ok {
				break
			}
			if ctx.Err() != nil {
				return config.Verdict{}, fmt.Errorf("verdict of note %s is not known yet, publish it again: %w", note.ID, errors.Join(appendErr, err))
			}
			if err != nil {
				time.Sleep(pollInterval)
			}
		}
	}
}

// catchUp applies the config stream up to its current end.
func (p *publisher) catchUp(ctx context.Context) error {
	for {
		progress, err := p.follower.Read(ctx, 0)
		if progress.AtEnd {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("the log cannot be read: %w", errors.Join(err, ctx.Err()))
		}
		if err != nil {
			time.Sleep(pollInterval)
		}
	}
}

// waitApplied waits until every live VM has applied the record at offset.
func (p *publisher) waitApplied(ctx context.Context, offset int64) error {
	for {
		rows, err := p.statuses(ctx)
		if err == nil && p.appliedByAll(rows, offset) {
			p.printRevisions(rows)
			return nil
		}
		if ctx.Err() != nil {
			p.printRevisions(rows)
			return errors.New("the note is accepted but not yet in force on every VM")
		}
		time.Sleep(pollInterval)
	}
}

// appliedByAll reports whether every VM has applied the record at offset. It skips leaving VMs that do not answer.
func (p *publisher) appliedByAll(rows []vmStatus, offset int64) bool {
	for _, row := range rows {
		if row.vm.State == vmlist.Leaving && row.err != nil {
			continue
		}
		if row.err != nil || row.status.ConfigNext <= offset {
			return false
		}
	}
	return true
}

// printRevisions prints the next config offset of each VM.
func (p *publisher) printRevisions(rows []vmStatus) {
	for _, row := range rows {
		if row.err != nil {
			_, _ = fmt.Fprintf(p.out, "%s: no answer\n", row.vm.Name)
			continue
		}
		_, _ = fmt.Fprintf(p.out, "%s: next offset %d\n", row.vm.Name, row.status.ConfigNext)
	}
}
