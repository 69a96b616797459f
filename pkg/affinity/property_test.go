package affinity

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// noticePeriod is the time within which every process knows of a restore of the store.
	noticePeriod = 2 * time.Second
	simService   = "s"
	// simSegment is the number of streams in a full record.
	simSegment = 4
)

// simStore is the store of a simulation.
type simStore struct {
	era       int64
	records   map[string]Record
	baselines map[string]Baseline
}

// clone returns a copy of the store.
func (s simStore) clone() simStore {
	return simStore{era: s.era, records: maps.Clone(s.records), baselines: maps.Clone(s.baselines)}
}

// simProcess is one process of a simulation.
type simProcess struct {
	table    *Table
	name     string
	era      int64
	lastRead time.Time
}

// simStream is a stream of which the caller has received an event.
type simStream struct {
	id     StreamID
	origin Origin
	// expiresAt is the time until which its caller takes it up. It is a guess if unlimited is set: the caller comes later too.
	expiresAt time.Time
	unlimited bool
	// by is the process that began it.
	by *simProcess
}

// simulation runs processes that begin streams and take them up, over a store.
type simulation struct {
	t          *rapid.T
	now        time.Time
	store      simStore
	copied     simStore
	restoredAt time.Time
	processes  []*simProcess
	versions   []string
	streams    []simStream
	// takeUps are the times for which callers take streams up. The longest is that of a stream on each process, since the callers
	// of a service come to all of them.
	takeUps []time.Duration
	started int
	begun   int
	// late are writes without an answer that have not taken effect.
	late []func()
	// unnamed are the streams whose events were passed on before the store held their record, until it is written again.
	unnamed map[StreamID]*simProcess
	// resumed and unknown count the streams that were taken up and those whose origin was not known.
	resumed, unknown int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), versions: []string{"v1"}, unnamed: map[StreamID]*simProcess{}}
	s.takeUps = rapid.SampledFrom([][]time.Duration{
		{15 * time.Second}, {5 * time.Second, 70 * time.Second}, {15 * time.Second, 20 * time.Minute},
	}).Draw(t, "take-up times")
	s.store = simStore{records: map[string]Record{}, baselines: map[string]Baseline{}}
	s.copied = s.store.clone()
	for range 3 {
		s.processes = append(s.processes, s.start())
	}
	return s
}

// start returns a new process.
func (s *simulation) start() *simProcess {
	s.started++
	p := &simProcess{table: NewTable(), name: fmt.Sprint("p", s.started), era: s.store.era}
	p.table.segments.size = simSegment
	s.begun++
	first := Begun{ID: StreamID(s.begun), Origin: Origin{Service: "other"}, ExpiresAt: s.now.Add(slices.Max(s.takeUps))}
	p.table.Begin(first, s.now)
	s.writeAll(p)
	return p
}

// writeAll writes all records of a process that the store lacks.
func (s *simulation) writeAll(p *simProcess) {
	for p.table.HasUnwritten() {
		s.write(p, true)
	}
}

// notice tells a process the era of the store.
func (s *simulation) notice(p *simProcess) {
	if p.era == s.store.era {
		return
	}
	p.era = s.store.era
	p.table.StoreRestored(s.now)
	s.writeAll(p)
}

// write stores the next record of a process. Without an answer it may take effect later, or never.
func (s *simulation) write(p *simProcess, answered bool) {
	pending, unwritten := p.table.NextRecord()
	if !unwritten {
		return
	}
	record, key, era := pending.Record, fmt.Sprint(p.name, "/", pending.Key), s.store.era
	record.UnixMs, record.Process = s.now.UnixMilli(), p.name
	apply := func() {
		if era == s.store.era {
			s.store.records[key] = record
		}
	}
	if !answered {
		p.table.WriteFailed(pending)
		s.late = append(s.late, apply)
		return
	}
	apply()
	p.table.Written(pending)
	maps.DeleteFunc(s.unnamed, func(id StreamID, by *simProcess) bool { return by == p && p.table.IsDurable(id) })
	s.notice(p)
}

// list reads the store.
func (s *simulation) list(p *simProcess) {
	s.notice(p)
	var records []Record
	for _, key := range slices.Sorted(maps.Keys(s.store.records)) {
		records = append(records, s.store.records[key])
	}
	if err := p.table.SetStored(records, s.now); err != nil {
		s.t.Fatal(err)
	}
	for service, b := range s.store.baselines {
		if b.Era == s.store.era {
			p.table.SetBaseline(service, b, s.now)
		}
	}
	p.lastRead = s.now
}

// maintain does what is due about the baseline on each process. The first one is the preferred one.
func (s *simulation) maintain() {
	for i, p := range s.processes {
		p.table.Expire(s.now)
		if s.now.Sub(s.restoredAt) > noticePeriod {
			s.notice(p)
		}
		s.writeAll(p)
		p.table.Observe(simService, s.versions, s.now, s.now)
		step := p.table.Next(simService, i == 0, p.lastRead, s.now)
		if step == Keep {
			continue
		}
		s.list(p)
		if step != Write {
			continue
		}
		lossless := s.store.era == 0 && s.started == len(s.processes)
		if b, write := p.table.Proposal(simService, s.versions, lossless, s.now); write {
			b.Era = s.store.era
			s.store.baselines[simService] = b
			p.table.SetBaseline(simService, b, s.now)
		}
	}
}

// advance lets time pass.
func (s *simulation) advance(seconds int) {
	for range seconds {
		s.now = s.now.Add(time.Second)
		s.maintain()
	}
}

// begin begins a stream on a process. An event is passed on once the record that it needs is stored.
func (s *simulation) begin(p *simProcess, answered bool) {
	s.begun++
	b := Begun{ID: StreamID(s.begun), Unlimited: rapid.IntRange(0, 9).Draw(s.t, "unlimited") == 0}
	b.ExpiresAt = s.now.Add(rapid.SampledFrom(s.takeUps).Draw(s.t, "take-up time"))
	if b.Unlimited {
		b.ExpiresAt = s.now.Add(UnlimitedTakeUp)
	}
	if rapid.Bool().Draw(s.t, "second attempt") {
		// The first attempt, at another endpoint, brought no event.
		b.Origin = Origin{Service: simService, Software: rapid.SampledFrom(s.versions).Draw(s.t, "first version")}
		p.table.Begin(b, s.now)
		s.write(p, rapid.Bool().Draw(s.t, "first answered"))
	}
	b.Origin = Origin{Service: simService, Software: rapid.SampledFrom(s.versions).Draw(s.t, "version")}
	_, needed := p.table.Begin(b, s.now)
	s.write(p, answered)
	if !p.table.IsDurable(b.ID) {
		if needed {
			return
		}
		// Its events are passed on without the record, which is written again.
		s.unnamed[b.ID] = p
	}
	s.streams = append(s.streams, simStream{id: b.ID, origin: b.Origin, expiresAt: b.ExpiresAt, unlimited: b.Unlimited, by: p})
}

// resume takes a stream up at a process.
func (s *simulation) resume(p *simProcess, stream simStream) {
	expired := s.now.After(stream.expiresAt)
	if expired && !stream.unlimited {
		return
	}
	if _, own := p.table.Own(stream.id); !own {
		s.list(p)
	}
	o, known := p.table.Lookup(stream.id, simService, stream.unlimited, s.now)
	s.resumed++
	if !known {
		_, unnamed := s.unnamed[stream.id]
		if expired || unnamed && stream.unlimited {
			return
		}
		s.unknown++
		runs := slices.Contains(s.processes, stream.by) && stream.by.era == s.store.era
		if runs && !unnamed {
			s.t.Fatalf("the origin %v is not known although the process that began the stream runs and knows of the restore", stream.origin)
		}
		return
	}
	if o != stream.origin {
		s.t.Fatalf("the stream began at %v and would go on at %v", stream.origin, o)
	}
	p.table.Begin(Begun{ID: stream.id, Origin: o, ExpiresAt: stream.expiresAt, Unlimited: stream.unlimited}, s.now)
}

// step takes one random step.
func (s *simulation) step(restores bool) {
	i := rapid.IntRange(0, len(s.processes)-1).Draw(s.t, "process")
	p := s.processes[i]
	switch rapid.IntRange(0, 9).Draw(s.t, "action") {
	case 0, 1:
		s.begin(p, true)
	case 2:
		s.begin(p, false)
	case 3, 4:
		if len(s.streams) > 0 {
			s.resume(p, rapid.SampledFrom(s.streams).Draw(s.t, "stream"))
		}
	case 5:
		s.processes[i] = s.start()
	case 6:
		s.advance(rapid.SampledFrom([]int{1, 5, 12, 40, 400, 700}).Draw(s.t, "seconds"))
	case 7:
		s.versions = append(s.versions, fmt.Sprint("v", s.begun, "-", len(s.versions)))
		s.advance(1)
		if len(s.versions) > 1 && rapid.Bool().Draw(s.t, "replaced") {
			s.versions = s.versions[1:]
		}
	case 8:
		if len(s.late) > 0 {
			k := rapid.IntRange(0, len(s.late)-1).Draw(s.t, "late")
			s.late[k]()
			s.late = slices.Delete(s.late, k, k+1)
		}
	case 9:
		if !restores {
			return
		}
		if rapid.Bool().Draw(s.t, "copy") {
			s.copied = s.store.clone()
			return
		}
		era := s.store.era
		s.store = s.copied.clone()
		s.store.era = era + 1
		s.restoredAt = s.now
	}
}

// Guards against a stream that goes on at another version than the one that began it, whatever processes end, whatever
// writes are lost or late, and whatever a restore of the store loses. Guards also against a stream that is refused after a
// restore although the process that began it still runs.
func TestNoStreamGoesOnElsewhere(t *testing.T) {
	for name, restores := range map[string]bool{"store keeps all": false, "store is restored": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t)
				s.advance(2)
				for range rapid.IntRange(10, 80).Draw(t, "steps") {
					s.step(restores)
				}
				if !restores && s.unknown > 0 {
					t.Fatalf("the origins of %d of %d streams are not known although the store lost nothing", s.unknown, s.resumed)
				}
			})
		})
	}
}
