package gateway

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/freshness"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

const (
	// simStoreDelay is the time that the simulated store takes to answer.
	simStoreDelay = 10 * time.Millisecond
	// simStabilityWindow is the time after a disturbance from which on every bound holds again.
	simStabilityWindow = 3 * time.Second
	// configLimitSmall and configLimitLarge are the times within which deployments want a configuration in force, in small
	// and in large systems.
	configLimitSmall = 2 * time.Second
	configLimitLarge = 3 * time.Second
)

// simSizes are the numbers of VMs of the simulations. The sizes of the largest deployments take minutes:
//
//	go test ./pkg/gateway -run 'TestLostAnswersAreNoticed|TestVerificationCosts' -args -sizes 1,9,85,195,410
var simSizes = flag.String("sizes", "1,9,30", "numbers of VMs of the simulations, separated by commas")

// sizes returns the numbers of VMs to simulate.
func sizes(t *testing.T) []int {
	t.Helper()
	var out []int
	for text := range strings.SplitSeq(*simSizes, ",") {
		count, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, count)
	}
	return out
}

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
	// look is set while the read follows one without an answer, and therefore does not wait.
	look bool
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
	s.startRead(i, wait, false)
}

// startRead sends a read of a VM to the store.
func (s *storeSimulation) startRead(i int, wait time.Duration, look bool) {
	s.calls++
	read := &simRead{started: s.now, wait: wait}
	s.readers[i].read, s.readers[i].look = read, look
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
		s.startRead(i, 0, true)
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

// Guards against VMs that all wait for answers which the store has lost, at any size of the system: a configuration must be
// in force in time whoever lost an answer, even if it is published at that very moment.
func TestLostAnswersAreNoticedAtEachSize(t *testing.T) {
	all := func(int) bool { return true }
	disturbances := map[string]func(s *storeSimulation){
		"all waiting reads": func(s *storeSimulation) { s.mute(all) },
		"the reads of one data centre": func(s *storeSimulation) {
			s.mute(func(vm int) bool { return vm%simDataCentres == 0 })
		},
		"the read of the VM that verifies": func(s *storeSimulation) {
			verifier := s.preferred()
			s.mute(func(vm int) bool { return vm == verifier })
		},
		"all but the VM that verifies, which stops": func(s *storeSimulation) {
			verifier := s.preferred()
			s.mute(all)
			s.vms[verifier].down = true
		},
		"all, and every fifth digest": func(s *storeSimulation) {
			s.lossPercent = 20
			s.mute(all)
		},
		"the store is silent for 4 s": func(s *storeSimulation) {
			s.losesAnswers = all
			s.advance(4 * time.Second)
			s.losesAnswers = func(int) bool { return false }
			s.advance(simStabilityWindow)
		},
		"the store is silent for 4 s, all VMs restart": func(s *storeSimulation) {
			s.losesAnswers = all
			s.advance(2 * time.Second)
			s.restartAll()
			s.advance(2 * time.Second)
			s.losesAnswers = func(int) bool { return false }
			s.advance(simStabilityWindow)
		},
		"the halves are cut from each other": func(s *storeSimulation) {
			for i, vm := range s.vms {
				vm.partition = i % 2
			}
			s.advance(2 * time.Second)
			s.mute(all)
		},
	}
	for name, disturb := range disturbances {
		for _, count := range sizes(t) {
			t.Run(fmt.Sprint(name, "/", count), func(t *testing.T) {
				t.Parallel()
				if count == 1 && name == "all but the VM that verifies, which stops" {
					return
				}
				s := simulateStore(t, count)
				disturb(s)
				limit := configLimitSmall
				if count >= largeSystemVMs {
					limit = configLimitLarge
				}
				if took := s.timeInForce(30 * time.Second); took > limit {
					t.Errorf("in force after %v, want at most %v", took, limit)
				}
			})
		}
	}
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

// Guards against verification that costs more calls to the store the more VMs there are. The store takes 2,000 reads a
// second from 9 VMs and 6,000 and more from large systems, and every call has a price.
func TestVerificationCostsFewCalls(t *testing.T) {
	const period = 30 * time.Second
	for _, count := range sizes(t) {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			s := simulateStore(t, count)
			s.calls = 0
			s.advance(period)
			perSecond := float64(s.calls) / period.Seconds()
			readers := count
			if count >= largeSystemVMs {
				readers = simDataCentres * operatorReadersPerDataCentre
			}
			most := 2/verifyReadWait.Seconds() + float64(readers)/operatorReadWait.Seconds()
			t.Logf("%d VMs: %.1f calls a second", count, perSecond)
			if perSecond > most {
				t.Errorf("%.1f calls a second, want at most %.1f", perSecond, most)
			}
		})
	}
}

// Guards against a proof that spreads from VM to VM without the store: its age grows too slowly on the way, so it would
// never expire.
func TestProofsOfPeersAreNotPassedOn(t *testing.T) {
	g := newTestGateway(2)
	now := steady.Now()
	age := int64(0)
	g.applyDigest(&gossip.Digest{
		Vm: "vm-0", Boot: 1, Sequence: 2, OperatorVerifiedAgeMs: &age, EndpointVerifiedAgeMs: &age,
	}, now)
	if g.isOverdue(OperatorStream, now) {
		t.Fatal("the proof of a peer does not count")
	}
	if d := g.digest(1, now); d.OperatorVerifiedAgeMs != nil || d.EndpointVerifiedAgeMs != nil {
		t.Error("the proof of a peer is passed on as this VM's own")
	}
	resp := g.stateResponse(&gossip.StateRequest{})
	if resp.OperatorVerifiedAgeMs != nil || resp.EndpointVerifiedAgeMs != nil {
		t.Error("the proof of a peer is passed on in an answer")
	}
}

// Guards against a proof of a peer that knows more records than this VM: it says nothing of those that are missing here.
func TestProofOfAPeerThatIsAheadDoesNotCount(t *testing.T) {
	g := newTestGateway(1)
	now := steady.Now()
	age := int64(0)
	g.applyDigest(&gossip.Digest{
		Vm: "vm-0", Boot: 1, Sequence: 2, OperatorOffset: 7, OperatorVerifiedAgeMs: &age,
	}, now)
	if !g.isOverdue(OperatorStream, now) {
		t.Error("a VM that lacks records counts as verified")
	}
}

// Guards against a VM that is alone, or among others that fail like it, and asks the store so late after its return that a
// configuration published meanwhile is not in force when every bound holds again.
func TestStoreIsAskedSoonAfterItsReturn(t *testing.T) {
	const margin = 500 * time.Millisecond
	if latest := storeTimeout + time.Duration(maxJitter*float64(maxRetryDelay)); latest+margin > simStabilityWindow {
		t.Errorf("asked %v after the return, want at most %v", latest, simStabilityWindow-margin)
	}
	for range 1000 {
		if d := jitter(time.Second); d < 500*time.Millisecond || d > time.Duration(maxJitter*float64(time.Second)) {
			t.Fatalf("jitter gives %v for 1s", d)
		}
	}
}
