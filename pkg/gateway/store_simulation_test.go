package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/freshness"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// simRead is a read of the operator records that is under way.
type simRead struct {
	started time.Time
	plannedRead
	// next are the reads that follow if this one gets no answer.
	next []plannedRead
	// list is set for a listing of all records.
	list bool
	// lost is set if the read will get no answer, and ended if the VM has given it up.
	lost, ended bool
}

// simReader is the loop that keeps the operator records of one VM current, as in syncOperatorRecords.
type simReader struct {
	read *simRead
	// resumeAt is the end of the present pause, and delay the next one after a failure.
	resumeAt time.Time
	delay    time.Duration
}

// storeSimulation adds a store with operator records to a simulation. Each record is a version of the configuration.
type storeSimulation struct {
	*simulation
	// versions are the versions that the log holds, by offset, and newest the last one that was published. A restore drops
	// some and starts another era.
	versions []int64
	newest   int64
	era      int64
	readers  []*simReader
	// losesAnswers reports whether the store loses the answer to a call of a VM that is due now.
	losesAnswers func(vm int) bool
	// calls counts the calls to the store.
	calls int
}

// simDecoder decodes the version numbers of the simulation.
type simDecoder struct{}

// DecodeOperator implements Decoder.
func (simDecoder) DecodeOperator(_ string, value []byte) (OperatorChange, error) {
	c := &traffic.Config{}
	err := json.Unmarshal(value, &c.Version)
	return OperatorChange{Config: c}, err
}

// DecodeEndpoint implements Decoder.
func (simDecoder) DecodeEndpoint(string, []byte) (*fleet.Endpoint, error) {
	return nil, fmt.Errorf("gateway: no endpoints in this simulation")
}

// simulateStore starts VMs that follow a store with one version of the configuration.
func simulateStore(t *testing.T, count int) *storeSimulation {
	t.Helper()
	return simulateStoreRepetition(t, count, 0)
}

// simulateStoreRepetition is simulateStore with other random numbers for each repetition within a test.
func simulateStoreRepetition(t *testing.T, count, repetition int) *storeSimulation {
	t.Helper()
	return simulateStoreOn(simulateRepetition(t, 0, repetition), count)
}

// simulateStoreOn adds VMs that follow a store with one version of the configuration to a simulation without any.
func simulateStoreOn(base *simulation, count int) *storeSimulation {
	s := &storeSimulation{simulation: base, era: 1, losesAnswers: func(int) bool { return false }}
	s.publish()
	for range count {
		s.start()
	}
	s.advance(5 * time.Second)
	return s
}

// start starts another VM, which has listed the store.
func (s *storeSimulation) start() {
	vm := s.add()
	vm.gateway.platform = Platform{Decoder: simDecoder{}}
	vm.gateway.applyEra(s.era, "store", s.now)
	if err := vm.gateway.applyListing(OperatorStream, s.listing(), s.now); err != nil {
		s.t.Fatal(err)
	}
	vm.gateway.recordStoreResult(OperatorStream, nil, s.now)
	s.readers = append(s.readers, &simReader{delay: minRetryDelay})
}

// publish stores a new version of the configuration.
func (s *storeSimulation) publish() int64 {
	s.newest++
	s.versions = append(s.versions, s.newest)
	return s.newest
}

// restore replaces the log by a copy that holds the first versions only.
func (s *storeSimulation) restore(kept int) {
	s.versions = s.versions[:kept:kept]
	s.era++
}

// end returns the end of the log.
func (s *storeSimulation) end() logpos.Position {
	return logpos.Position{Era: s.era, Offset: int64(len(s.versions))}
}

// recordsFrom returns the records from an offset on.
func (s *storeSimulation) recordsFrom(offset int64) []Record {
	var out []Record
	for at := (logpos.Position{Era: s.era, Offset: offset}); at.Before(s.end()); at = at.Next() {
		out = append(out, Record{Key: "config", Position: at, Value: fmt.Append(nil, s.versions[at.Offset])})
	}
	return out
}

// listing returns the newest record of the log.
func (s *storeSimulation) listing() Listing {
	return Listing{Records: s.recordsFrom(max(0, int64(len(s.versions))-1)), End: s.end()}
}

// advance runs the VMs and the store for d.
func (s *storeSimulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		for i, vm := range s.vms {
			if !vm.down {
				s.stepReader(i)
			}
		}
		s.run(simStep)
	}
}

// stepReader does what is due in the reading loop of a VM.
func (s *storeSimulation) stepReader(i int) {
	g, r := s.vms[i].gateway, s.readers[i]
	if r.read != nil {
		s.stepRead(i)
		return
	}
	select {
	case <-g.streams[OperatorStream].wake:
	default:
		if s.now.Before(r.resumeAt) {
			return
		}
	}
	wait, read := g.nextOperatorRead(s.now)
	g.streams[OperatorStream].leftToOthers = !read
	if !read {
		r.resumeAt = s.now.Add(g.jitter(readerPollInterval))
		return
	}
	if !g.streams[OperatorStream].synced || g.isOfEarlierEra(OperatorStream) {
		s.startListing(i)
		return
	}
	s.startReads(i, g.readPlan(OperatorStream, wait))
}

// startListing sends a request for all records of a VM to the store.
func (s *storeSimulation) startListing(i int) {
	s.startReads(i, []plannedRead{{limit: storeTimeout}})
	s.readers[i].read.list = true
}

// startReads sends the first of the planned reads of a VM to the store.
func (s *storeSimulation) startReads(i int, plan []plannedRead) {
	s.calls++
	s.record(s.vms[i], "store", nil)
	read := &simRead{started: s.now, plannedRead: plan[0], next: plan[1:]}
	s.readers[i].read = read
	if read.wait > 0 {
		s.vms[i].gateway.streams[OperatorStream].cancelWait = func(error) { read.ended = true }
	}
}

// stepRead answers or ends the read that a VM has under way, if that is due.
func (s *storeSimulation) stepRead(i int) {
	g, read := s.vms[i].gateway, s.readers[i].read
	waits := !read.list && g.streams[OperatorStream].next.Offset == s.end().Offset
	answered := !s.now.Before(read.started.Add(simStoreDelay)) &&
		(!waits || !s.now.Before(read.started.Add(read.wait+simStoreDelay)))
	read.lost = read.lost || s.losesAnswers(i)
	switch {
	case read.ended || !s.now.Before(read.started.Add(read.limit)):
		s.giveUpRead(i)
	case answered && !read.lost:
		s.answerRead(i)
	}
}

// answerRead answers the read that a VM has under way, as readRecords and readNewest apply it.
func (s *storeSimulation) answerRead(i int) {
	g, r := s.vms[i].gateway, s.readers[i]
	read, st := r.read, g.streams[OperatorStream]
	g.applyEra(s.era, "store", s.now)
	g.recordStoreResult(OperatorStream, nil, s.now)
	r.read, r.delay, r.resumeAt = nil, minRetryDelay, s.now
	switch {
	case read.list:
		if err := g.applyListing(OperatorStream, s.listing(), read.started); err != nil {
			s.t.Fatal(err)
		}
	case st.next.Era != s.era || st.next.Offset > s.end().Offset:
		s.startListing(i)
	default:
		records := s.recordsFrom(st.next.Offset)
		g.applyRecords(OperatorStream, records, s.end())
		st.recordProof(freshness.VerifiedAt(read.started, s.now, read.wait, len(records)))
	}
}

// giveUpRead ends a read without an answer: the next one of the plan follows, or a pause.
func (s *storeSimulation) giveUpRead(i int) {
	g, r := s.vms[i].gateway, s.readers[i]
	if len(r.read.next) > 0 {
		s.startReads(i, r.read.next)
		return
	}
	g.recordStoreResult(OperatorStream, context.DeadlineExceeded, s.now)
	r.read, r.resumeAt = nil, s.now.Add(g.jitter(r.delay))
	r.delay = min(2*r.delay, maxRetryDelay)
	if p := g.peerAhead(OperatorStream, s.now); p != nil {
		s.fetchState(s.vms[i], p.id())
	}
}

// mute makes the reads that are under way on the chosen VMs lose their answers.
func (s *storeSimulation) mute(chosen func(vm int) bool) {
	for i, r := range s.readers {
		if r.read != nil && chosen(i) {
			r.read.lost = true
		}
	}
}

// timeInForce publishes a version and returns after which time it is in force on all VMs that run.
func (s *storeSimulation) timeInForce(limit time.Duration) time.Duration {
	return s.timeUntilInForce(s.publish(), limit)
}

// timeUntilInForce returns after which time a version is in force on all VMs that run.
func (s *storeSimulation) timeUntilInForce(version int64, limit time.Duration) time.Duration {
	began := s.now
	for s.now.Sub(began) < limit {
		s.advance(simStep)
		behind := 0
		for _, vm := range s.vms {
			if !vm.down && vm.gateway.config.Load().Version < version {
				behind++
			}
		}
		if behind == 0 {
			break
		}
	}
	return s.now.Sub(began)
}

// preferred returns the VM that verifies the records for all.
func (s *storeSimulation) preferred() int {
	for i, vm := range s.vms {
		if !vm.down && vm.gateway.verifiesForAll(s.now) {
			return i
		}
	}
	s.t.Fatal("no VM verifies the records")
	return 0
}

// restartAll replaces every VM by a new process that does not reach the store.
func (s *storeSimulation) restartAll() {
	for i, vm := range s.vms {
		old := vm.gateway
		vm.gateway = s.newGateway(old.settings, Platform{Decoder: simDecoder{}})
		for name, known := range sorted(old.vms) {
			vm.gateway.addVM(name, *known, s.now)
		}
		// The records of a listing that is as old as the last answer before the disturbance.
		vm.gateway.applyRecords(OperatorStream, s.recordsFrom(0)[:1], logpos.Position{Era: s.era, Offset: 1})
		vm.gateway.streams[OperatorStream].synced = true
		s.readers[i] = &simReader{delay: minRetryDelay}
	}
}
