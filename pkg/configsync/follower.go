// Package configsync follows the config stream of the log and feeds it to a replay.
package configsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/logservice"
)

// readBatch is the number of records read at once.
const readBatch = 1000

// ErrNoSnapshot means that the oldest records have expired and the log keeps no snapshot that replaces them. The
// state can then only come from a peer.
var ErrNoSnapshot = errors.New("the log keeps neither all records nor a snapshot")

// Follower applies the config stream to a replay. It is not safe for concurrent use; the replay must not be
// used during a call, except through the lock that the caller passes.
type Follower struct {
	// Log is the client of the log service.
	Log *logservice.Client
	// Replay takes the records.
	Replay *config.Replay
	// Locked runs a function while the replay is locked. Nil runs it without a lock.
	Locked func(func())
}

// Progress tells what one read brought.
type Progress struct {
	// Verdicts are the outcomes of the records applied.
	Verdicts []config.Verdict
	// AtEnd tells that the replay has reached the end of the stream as of the read.
	AtEnd bool
	// Started is the time at which the read began.
	Started time.Time
}

// Read applies the next records, waiting up to wait for the first. Errors of the log are passed on; a
// *config.DigestError means that the process must stop.
func (f *Follower) Read(ctx context.Context, wait time.Duration) (Progress, error) {
	progress := Progress{Started: time.Now()}
	page, err := f.Log.Read(ctx, logservice.StreamConfig, f.next(), readBatch, wait)
	if err != nil {
		return progress, err
	}
	if page.Start > f.next() {
		return progress, f.restore(ctx, page)
	}
	f.locked(func() { err = f.apply(page, &progress) })
	return progress, err
}

func (f *Follower) next() int64 {
	var next int64
	f.locked(func() { next = f.Replay.NextOffset() })
	return next
}

func (f *Follower) locked(run func()) {
	if f.Locked == nil {
		run()
		return
	}
	f.Locked(run)
}

func (f *Follower) apply(page logservice.Page, progress *Progress) error {
	for _, r := range page.Records {
		verdict, err := f.Replay.Apply(r.Offset, r.Data)
		if err != nil {
			return fmt.Errorf("apply record %d: %w", r.Offset, err)
		}
		progress.Verdicts = append(progress.Verdicts, verdict)
	}
	progress.AtEnd = f.Replay.NextOffset() >= page.End
	return nil
}

// restore starts from the newest snapshot that the log keeps.
func (f *Follower) restore(ctx context.Context, page logservice.Page) error {
	var records []config.Record
	from := page.Start
	for from < page.End {
		more, err := f.Log.Read(ctx, logservice.StreamConfig, from, readBatch, 0)
		if err != nil {
			return err
		}
		if len(more.Records) == 0 {
			break
		}
		for _, r := range more.Records {
			records = append(records, config.Record{Offset: r.Offset, Data: r.Data})
		}
		from = records[len(records)-1].Offset + 1
	}
	snapshot, ok := config.NewestSnapshot(records)
	if !ok {
		return ErrNoSnapshot
	}
	var err error
	f.locked(func() { err = f.Replay.Restore(snapshot) })
	return err
}
