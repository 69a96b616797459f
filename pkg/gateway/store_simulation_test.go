package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/freshness"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// simRead is a read of the operator records that is under way.
type simRead struct {
	started time.Time
	wait    time.Duration
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
	records []Record
	readers []*simReader
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
	s := &storeSimulation{simulation: simulate(t, 0), losesAnswers: func(int) bool { return false }}
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
	vm.gateway.started = s.now
	vm.gateway.applyRecords(OperatorStream, s.records, int64(len(s.records)))
	st := vm.gateway.streams[OperatorStream]
	st.synced = true
	st.recordProof(s.now)
	vm.gateway.recordStoreResult(OperatorStream, nil, s.now)
	s.readers = append(s.readers, &simReader{delay: minRetryDelay})
}

// publish stores a new version of the configuration.
func (s *storeSimulation) publish() int64 {
	version := int64(len(s.records) + 1)
	s.records = append(s.records, Record{Key: "config", Offset: version - 1, Value: fmt.Append(nil, version)})
	return version
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
	if !read {
		r.resumeAt = s.now.Add(jitter(readerPollInterval))
		return
	}
	s.startRead(i, wait)
}

// startRead sends a read of a VM to the store.
func (s *storeSimulation) startRead(i int, wait time.Duration) {
	s.calls++
	read := &simRead{started: s.now, wait: wait}
	s.readers[i].read = read
	if wait > 0 {
		s.vms[i].gateway.streams[OperatorStream].cancelWait = func(error) { read.ended = true }
	}
}

// stepRead answers or ends the read that a VM has under way, if that is due.
func (s *storeSimulation) stepRead(i int) {
	g, r := s.vms[i].gateway, s.readers[i]
	read, st := r.read, g.streams[OperatorStream]
	answered := !s.now.Before(read.started.Add(simStoreDelay)) &&
		(st.next < int64(len(s.records)) || !s.now.Before(read.started.Add(read.wait+simStoreDelay)))
	read.lost = read.lost || s.losesAnswers(i)
	switch {
	case read.ended || !s.now.Before(read.started.Add(read.wait+storeTimeout)):
		s.giveUpRead(i)
	case answered && !read.lost:
		records := s.records[st.next:]
		g.recordStoreResult(OperatorStream, nil, s.now)
		g.applyRecords(OperatorStream, records, int64(len(s.records)))
		st.recordProof(freshness.VerifiedAt(read.started, s.now, read.wait, len(records)))
		r.read, r.delay, r.resumeAt = nil, minRetryDelay, s.now
	}
}

// giveUpRead ends a read without an answer: one that waited is followed by one that does not, any other one by a pause.
func (s *storeSimulation) giveUpRead(i int) {
	g, r := s.vms[i].gateway, s.readers[i]
	if r.read.wait > 0 {
		s.startRead(i, 0)
		return
	}
	g.recordStoreResult(OperatorStream, context.DeadlineExceeded, s.now)
	r.read, r.resumeAt = nil, s.now.Add(jitter(r.delay))
	r.delay = min(2*r.delay, maxRetryDelay)
	if p := g.peerAhead(OperatorStream, s.now); p != nil {
		s.fetchState(s.vms[i], p)
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
	version, began := s.publish(), s.now
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
		if !vm.down && vm.gateway.isPreferredVM(s.now) {
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
		vm.gateway = New(old.settings, func(*httpcall.Client) Platform { return Platform{Decoder: simDecoder{}} })
		vm.gateway.started = s.now
		for name, known := range old.vms {
			vm.gateway.addVM(name, *known, s.now)
		}
		// The records of a listing that is as old as the last answer before the disturbance.
		vm.gateway.applyRecords(OperatorStream, s.records[:1], 1)
		vm.gateway.streams[OperatorStream].synced = true
		s.readers[i] = &simReader{delay: minRetryDelay}
	}
}
