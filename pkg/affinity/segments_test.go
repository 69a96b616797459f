package affinity

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

const (
	// loadTick is the interval between two writes of a process.
	loadTick = 50 * time.Millisecond
	// maxRecordBytes is the largest record that the store takes.
	maxRecordBytes = 262144
)

// loadedProcess is a process at which streams begin all the time, and the records that it has stored.
type loadedProcess struct {
	table *Table
	now   time.Time
	begun int
	// due is the part of a stream that is due to begin.
	due    float64
	stored map[int]Record
	// writes, bytes and largest count what was written: calls, bytes in all, and those of the largest record.
	writes, bytes, largest int
}

func newLoadedProcess() *loadedProcess {
	p := &loadedProcess{table: NewTable(), now: time.Unix(1000, 0), stored: map[int]Record{}}
	p.table.SetBaseline("s", Baseline{Software: "v1"}, p.now)
	return p
}

// tick lets loadTick pass, in which streams begin at the given rate a second, every second one at another version than the
// baseline, and writes one record if the store lacks any.
func (p *loadedProcess) tick(rate float64, takeUp func(n int) time.Duration) error {
	p.now = p.now.Add(loadTick)
	p.table.Expire(p.now)
	for p.due += rate * loadTick.Seconds(); p.due >= 1; p.due-- {
		p.begun++
		o := Origin{Service: "s", Software: fmt.Sprint("v", 1+p.begun%2)}
		id := IDOf(fmt.Sprint("attempt-", p.begun))
		p.table.Begin(Begun{ID: id, Origin: o, ExpiresAt: p.now.Add(takeUp(p.begun))}, p.now)
	}
	return p.write()
}

// write writes one record if the store lacks any.
func (p *loadedProcess) write() error {
	pending, unwritten := p.table.NextRecord()
	if !unwritten {
		return nil
	}
	value, err := json.Marshal(pending.Record)
	if err != nil {
		return err
	}
	p.writes++
	p.bytes += len(value)
	p.largest = max(p.largest, len(value))
	p.stored[pending.Key] = pending.Record
	p.table.Written(pending)
	return nil
}

// targetTakeUp are the times of the target's load.
func targetTakeUp(n int) time.Duration {
	if n%4 < 2 {
		return 7 * time.Second
	}
	return 17 * time.Second
}

// Guards against records that outgrow what the store takes, against keys that are never used again, and against a stream that
// no stored record names any more although its caller may take it up.
func TestRecordsStayBoundedAndComplete(t *testing.T) {
	for name, takeUp := range map[string]func(int) time.Duration{
		"all alike": targetTakeUp,
		"some for long": func(n int) time.Duration {
			if n%200 == 1 {
				return 50 * time.Second
			}
			return targetTakeUp(n)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newLoadedProcess()
			for range 1600 {
				if err := p.tick(2100, takeUp); err != nil {
					t.Fatal(err)
				}
			}
			for p.table.HasUnwritten() {
				if err := p.write(); err != nil {
					t.Fatal(err)
				}
			}
			if p.largest > maxRecordBytes || len(p.stored) > 2*sparseShare*p.table.segments.streams/segmentStreams {
				t.Errorf("the largest record has %d bytes, %d keys hold %d streams", p.largest, len(p.stored), p.table.segments.streams)
			}
			reader := NewTable()
			var records []Record
			for _, r := range p.stored {
				records = append(records, r)
			}
			if err := reader.SetStored(records, p.now); err != nil {
				t.Fatal(err)
			}
			for id, s := range p.table.streams {
				if o, known := reader.Lookup(id, "s", false, p.now); s.needed && (!known || o != s.origin) {
					t.Fatalf("stream %v began at %v; by the stored records at %v, %v", id, s.origin, o, known)
				}
			}
		})
	}
}

// Guards against streams that are forgotten while the store takes no record: each failed write goes on under another key.
func TestFailedWritesKeepAllStreams(t *testing.T) {
	p := newLoadedProcess()
	for n := range 400 {
		if n%3 == 0 {
			if pending, unwritten := p.table.NextRecord(); unwritten {
				p.table.WriteFailed(pending)
			}
		}
		if err := p.tick(1000, targetTakeUp); err != nil {
			t.Fatal(err)
		}
	}
	for p.table.HasUnwritten() {
		if err := p.write(); err != nil {
			t.Fatal(err)
		}
	}
	named := 0
	for s := range p.table.segments.all {
		for _, ids := range p.stored[s.key].Streams["s"] {
			named += len(ids)
		}
	}
	if named != p.table.segments.streams {
		t.Errorf("the records name %d streams, want %d", named, p.table.segments.streams)
	}
}

// Guards against a key that is used again while a write of what it held before is under way, and that loses its streams when that
// write has no answer and takes effect late.
func TestKeyOfALateWriteIsNotUsedAgain(t *testing.T) {
	p := newLoadedProcess()
	p.table.segments.size = 2
	begin := func(n int, takeUp time.Duration) {
		id := IDOf(fmt.Sprint("attempt-", n))
		p.table.Begin(Begun{ID: id, Origin: Origin{Service: "s", Software: "v2"}, ExpiresAt: p.now.Add(takeUp)}, p.now)
	}
	write := func() {
		if err := p.write(); err != nil {
			t.Fatal(err)
		}
	}
	begin(1, 10*time.Second)
	begin(2, 10*time.Second)
	write()
	begin(3, time.Minute)
	begin(4, time.Minute)
	write()
	p.table.StoreRestored(p.now)
	write()
	late, _ := p.table.NextRecord()
	// The streams of the first record expire while it is written again, and another one begins.
	p.now = p.now.Add(11 * time.Second)
	p.table.Expire(p.now)
	begin(5, time.Minute)
	if p.table.segments.open.key != late.Key {
		t.Fatalf("the open record has key %d, want that of the first one, %d", p.table.segments.open.key, late.Key)
	}
	p.table.WriteFailed(late)
	for p.table.HasUnwritten() {
		write()
	}
	p.stored[late.Key] = late.Record
	named := 0
	for s := range p.table.segments.all {
		named += len(p.stored[s.key].Streams["s"]["v2"])
	}
	if named != 3 {
		t.Errorf("%d streams are named after the late write, want 3", named)
	}
}

// BenchmarkRecords plays a minute of the target's load on one VM of systems of 1 to 410, in which every second stream begins at
// another version than the baseline, and reports what the VM writes.
func BenchmarkRecords(b *testing.B) {
	const systemRate = 2100
	for _, vms := range []int{1, 3, 9, 30, 100, 410} {
		b.Run(fmt.Sprint(vms, "VMs"), func(b *testing.B) {
			for b.Loop() {
				p := newLoadedProcess()
				for range int(time.Minute / loadTick) {
					if err := p.tick(float64(systemRate)/float64(vms), targetTakeUp); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(p.writes)/60, "writes/s")
				b.ReportMetric(float64(p.bytes)/60/1000, "KB/s")
				b.ReportMetric(float64(p.largest), "B/record")
				b.ReportMetric(float64(len(p.stored)), "keys")
				b.ReportMetric(float64(p.table.segments.streams), "streams")
			}
		})
	}
}
