// Package configsync reads the config stream of the log and applies its records to a replay.
package configsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/logservice"
)

// readBatch is the maximum number of records per read.
const readBatch = 1000

// ErrNoSnapshot means that the oldest records have expired and the log contains no snapshot that replaces them. The
// state can then only be obtained from a peer.
var ErrNoSnapshot = errors.New("the log keeps neither all records nor a snapshot")

// Follower applies the config stream to a replay. It is not safe for concurrent use. While a call is in progress,
// others may use the replay only under the lock that Locked takes.
type Follower struct {
	// Log is the client of the log service.
	Log *logservice.Client
	// Replay is the replay to which the records are applied.
	Replay *config.Replay
	// Locked runs a function while holding the lock of the replay. If it is nil, functions run without a lock.
	Locked func(func())
}

// Progress is the result of one Read.
type Progress struct {
	// Verdicts are the verdicts on the applied records, in their order.
	Verdicts []config.Verdict
	// AtEnd reports whether the replay has reached the end that the stream had at the time of the read.
	AtEnd bool
	// Started is the time at which the read began.
	Started time.Time
}

// Read reads the next records and applies them. It waits up to wait for the first one. If the next records have
// expired, it restores the newest snapshot of the log instead. Read returns errors of the log unchanged. After a
// *config.DigestError the process must stop.
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

// next returns the offset of the next record to apply.
func (f *Follower) next() int64 {
	var next int64
	f.locked(func() { next = f.Replay.NextOffset() })
	return next
}

// locked runs a function under the lock of the replay, if there is one.
func (f *Follower) locked(run func()) {
	if f.Locked == nil {
		run()
		return
	}
	f.Locked(run)
}

// apply applies the records of a page and adds the verdicts to progress. The caller holds the lock of the replay.
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

// restore reads the rest of the stream from the start of the page and restores the newest snapshot in it.
func (f *Follower) restore(ctx context.Context, page logservice.Page) error {
	var records []config.Record
	offset := page.Start
	for offset < page.End {
		batch, err := f.Log.Read(ctx, logservice.StreamConfig, offset, readBatch, 0)
		if err != nil {
			return err
		}
		if len(batch.Records) == 0 {
			break
		}
		for _, r := range batch.Records {
			records = append(records, config.Record{Offset: r.Offset, Data: r.Data})
		}
		offset = records[len(records)-1].Offset + 1
	}
	snapshot, ok := config.NewestSnapshot(records)
	if !ok {
		return ErrNoSnapshot
	}
	var err error
	f.locked(func() { err = f.Replay.Restore(snapshot) })
	return err
}
