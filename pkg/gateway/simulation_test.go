package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/settings"
)

const (
	// simStep is the step of the simulated clock, and simDelay the delay of a datagram.
	simStep  = 10 * time.Millisecond
	simDelay = 10 * time.Millisecond
	// simStart is the start of a simulation in seconds since 1970.
	simStart = 1_700_000_000
	// simDataCentres is the number of data centres.
	simDataCentres = 5
	// simLossPercent is the share of datagrams that are lost, in percent.
	simLossPercent = 2
	// pairsPerSilentPair is the number of pairs of VMs per pair that may be silent, since digests pass three lossy links.
	pairsPerSilentPair = 500
	// simRetrySlack is the number of retries that all VMs together may send in a window beyond a fraction of the requests.
	simRetrySlack = 200
	// hubRecoveryLimit is the longest time from the loss of a hub to the first digests through another, with two datagrams
	// lost on the way.
	hubRecoveryLimit = hubSilenceLimit + hubBatchInterval + 4*maxDigestIntervalLarge
	// departureLimit is the shortest time that a deployment allows between an endpoint's departure and the last request to
	// it.
	departureLimit = 2 * time.Second
)

// simVM is one VM of a simulation.
type simVM struct {
	gateway   *Gateway
	ip        netip.Addr
	down      bool
	partition int
	// deaf is set if all datagrams to the VM are lost, as on a full link.
	deaf          bool
	nextHeartbeat time.Time
	lastHeartbeat time.Time
	nextHubBatch  time.Time
	lastHubBatch  time.Time
	nextCheck     time.Time
	// datagrams and bytes count what the VM received.
	datagrams, bytes int
	// sendsUntil and receivesUntil are the ends of the queues of the VM's link, where links are simulated.
	sendsUntil, receivesUntil time.Time
}

const (
	// simDigestBytes is the size of a digest that tells the loads on a hundred engines, which the VMs of a simulation lack.
	simDigestBytes = 350
	// simStateBytes is the size of a configuration of fifty routes.
	simStateBytes = 20_000
	// simLinkFraction is the part of a link that requests leave to the VMs.
	simLinkFraction = 0.8
	// simQueueLimit is the time that a datagram may wait for a link. Longer queues lose it.
	simQueueLimit = 200 * time.Millisecond
)

// linkTime returns the time that bytes take on the VM's link.
func (vm *simVM) linkTime(bytes int) time.Duration {
	return time.Duration(float64(bytes*8) / (vm.gateway.settings.LinkMbps * simLinkFraction) * float64(time.Microsecond))
}

// sendTime queues bytes on the link of the sender and returns when they have left it.
func (vm *simVM) sendTime(bytes int, now time.Time) time.Time {
	vm.sendsUntil = laterOf(vm.sendsUntil, now).Add(vm.linkTime(bytes))
	return vm.sendsUntil
}

// receiveTime queues bytes that arrive at the given time on the link of the receiver and returns when they are read.
func (vm *simVM) receiveTime(bytes int, at time.Time) time.Time {
	vm.receivesUntil = laterOf(vm.receivesUntil, at).Add(vm.linkTime(bytes))
	return vm.receivesUntil
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// datagram is a datagram on its way through the simulated network.
type datagram struct {
	from *simVM
	to   netip.Addr
	data []byte
	at   time.Time
}

// simulation runs the exchange of digests between many VMs over a simulated network and clock.
type simulation struct {
	t   *testing.T
	rng *rand.Rand
	// trace is a hash of all datagrams, answers to state requests and calls to the store, in their order.
	trace *xxh3.Hasher
	// lossPercent is the share of datagrams that are lost, in percent.
	lossPercent int
	now         time.Time
	vms         []*simVM
	byIP        map[netip.Addr]*simVM
	queue       []datagram
	// stateRequests and stateBytes count the state requests that were answered, and the bytes of the answers.
	stateRequests, stateBytes int
	// crashCount counts the crashes that VMs observed.
	crashCount int
	// relayDelay is the time between a state request and the answer that the VM applies, and relays are the requests under
	// way. A peer that is down or cut off then does not answer.
	relayDelay time.Duration
	relays     []simRelay
	// hasLinks is set if datagrams and answers take their time on the links of the VMs and are lost where these are full.
	hasLinks bool
	layout   simLayout
}

// simLayout is where the VMs of a simulation are and how wide their links are.
type simLayout struct {
	dataCentres int
	// narrowMbps is the bandwidth of most VMs and wideMbps that of those for which isWide holds, in Mbit/s.
	narrowMbps, wideMbps float64
	isWide               func(vm int) bool
}

// defaultLayout is that of the simulations without links.
var defaultLayout = simLayout{
	dataCentres: simDataCentres, narrowMbps: 20, wideMbps: 200, isWide: func(vm int) bool { return vm%13 == 0 },
}

// smallLinks returns a layout as in deployments of that many VMs: the first two VMs of each data centre have wide links, all
// others small ones.
func smallLinks(count int) simLayout {
	l := simLayout{dataCentres: 3, narrowMbps: 10, wideMbps: 200}
	switch {
	case count >= 400:
		l.dataCentres, l.narrowMbps = 20, 20
	case count >= 100:
		l.dataCentres, l.narrowMbps = 5, 20
	}
	l.isWide = func(vm int) bool { return vm < 2*l.dataCentres }
	return l
}

// simRelay is a state request of a VM to a peer.
type simRelay struct {
	from, to *simVM
	peer     string
	req      *gossip.StateRequest
	// asked is when the request was sent, and due when its answer arrives.
	asked, due time.Time
}

// simulate starts VMs at the same moment. Each one has the registrations of those before it.
func simulate(t *testing.T, count int) *simulation {
	t.Helper()
	return simulateRepetition(t, count, 0)
}

// simulateRepetition is simulate with other random numbers for each repetition within a test.
func simulateRepetition(t *testing.T, count, repetition int) *simulation {
	t.Helper()
	s := &simulation{
		t: t, lossPercent: simLossPercent, rng: rand.New(rand.NewPCG(simSeed, uint64(count)+uint64(repetition)<<32)),
		layout: defaultLayout,
		trace:  xxh3.New(), now: time.Unix(simStart, 0), byIP: map[netip.Addr]*simVM{},
	}
	for range count {
		s.add()
	}
	return s
}

// newGateway returns a gateway whose random numbers and times are those of the simulation.
func (s *simulation) newGateway(config settings.Gateway, platform Platform) *Gateway {
	clock := func() time.Time { return s.now }
	return newGateway(config, func(*httpcall.Client) Platform { return platform }, sources{
		random: rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64())), now: clock, timeOfDay: clock,
	})
}

// add starts another VM.
func (s *simulation) add() *simVM {
	i := len(s.vms)
	ip := netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(1 + i%200)})
	link := s.layout.narrowMbps
	if s.layout.isWide(i) {
		link = s.layout.wideMbps
	}
	vm := &simVM{ip: ip, nextCheck: s.now.Add(s.randomUpTo(currencyCheckInterval)), nextHeartbeat: s.now.Add(s.randomUpTo(maxDigestIntervalLarge)), nextHubBatch: s.now.Add(s.randomUpTo(hubBatchInterval))}
	vm.gateway = s.newGateway(settings.Gateway{
		VM: fmt.Sprint("vm-", i), Address: ip.String(), DataCentre: fmt.Sprint("z", i%s.layout.dataCentres), PeerPort: 7000,
		LinkMbps: link, RetrySlack: simRetrySlack, LogLevel: "error",
	}, Platform{})
	for _, other := range s.vms {
		vm.gateway.addVM(other.gateway.settings.VM, knownVM{
			ip: other.ip, dataCentre: other.gateway.settings.DataCentre, linkMbps: other.gateway.settings.LinkMbps,
		}, s.now)
	}
	s.vms = append(s.vms, vm)
	s.byIP[ip] = vm
	return vm
}

// named returns the settings of a VM.
func (s *simulation) named(name string) settings.Gateway {
	for _, vm := range s.vms {
		if vm.gateway.settings.VM == name {
			return vm.gateway.settings
		}
	}
	s.t.Fatalf("no VM %s", name)
	return settings.Gateway{}
}

// randomUpTo returns a random duration below limit.
func (s *simulation) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// record adds an event to the trace.
func (s *simulation) record(from *simVM, to string, content []byte) {
	// Writes to a hash return no error.
	_, _ = fmt.Fprintf(s.trace, "%d %s %s %d ", s.now.UnixNano(), from.ip, to, len(content))
	_, _ = s.trace.Write(content)
}

// run advances the clock by d.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.deliver()
		s.answerRelays()
		for _, vm := range s.vms {
			if !vm.down {
				s.step(vm)
			}
		}
	}
}

// step runs what is due on one VM.
func (s *simulation) step(vm *simVM) {
	select {
	case <-vm.gateway.digestRequests:
		if soon := vm.lastHeartbeat.Add(minDigestIntervalLarge); soon.Before(vm.nextHeartbeat) {
			vm.nextHeartbeat = soon
		}
	default:
	}
	select {
	case <-vm.gateway.newsRequests:
		if soon := vm.lastHubBatch.Add(minHubBatchInterval); soon.Before(vm.nextHubBatch) {
			vm.nextHubBatch = soon
		}
	default:
	}
	vm.gateway.mu.Lock()
	var out []outgoingBatch
	var crashPeer *peerID
	if !s.now.Before(vm.nextHeartbeat) {
		vm.gateway.expireState(s.now)
		out = vm.gateway.heartbeatBatches(vm.gateway.nextDigestSequence(), s.now)
		crashPeer = vm.gateway.peerToAskForCrashes(s.now).id()
		vm.lastHeartbeat = s.now
		vm.nextHeartbeat = s.now.Add(maxDigestIntervalLarge)
	}
	if !s.now.Before(vm.nextHubBatch) {
		out = append(out, vm.gateway.hubBatches(vm.gateway.nextDigestSequence, s.now)...)
		vm.lastHubBatch = s.now
		vm.nextHubBatch = s.now.Add(hubBatchInterval)
	}
	vm.gateway.mu.Unlock()
	s.send(vm, out)
	if !s.now.Before(vm.nextCheck) {
		vm.nextCheck = s.now.Add(currencyCheckInterval)
		if p := vm.gateway.checkCurrency(s.now); p != nil {
			s.fetchState(vm, p)
		}
	}
	if crashPeer != nil {
		s.fetchState(vm, crashPeer)
	}
}

// fetchState makes a VM request the state of a peer. Nothing happens if the peer cannot be reached.
func (s *simulation) fetchState(vm *simVM, p *peerID) {
	to := s.byIP[netip.MustParseAddr(p.address)]
	s.relays = append(s.relays, simRelay{
		from: vm, to: to, peer: p.vm, req: vm.gateway.stateRequest(p.vm), asked: s.now, due: s.relayDue(vm, to),
	})
	s.answerRelays()
}

// answerRelays answers the state requests that are due.
func (s *simulation) answerRelays() {
	pending := s.relays
	s.relays = nil
	for _, r := range pending {
		if r.due.After(s.now) {
			s.relays = append(s.relays, r)
			continue
		}
		s.answerRelay(r)
	}
}

// answerRelay answers one state request, if both VMs run and reach each other.
func (s *simulation) answerRelay(r simRelay) {
	vm, other, req := r.from, r.to, r.req
	if vm.down || other.down || other.partition != vm.partition {
		return
	}
	resp := other.gateway.stateResponse(req)
	s.stateRequests++
	s.stateBytes += proto.Size(resp)
	content, err := proto.Marshal(resp)
	if err != nil {
		s.t.Fatal(err)
	}
	s.record(other, vm.ip.String(), content)
	vm.gateway.applyState(r.peer, req, resp, s.now)
	vm.gateway.applyStateProofs(resp, r.asked)
}

// send puts datagrams on their way and drops some of them.
func (s *simulation) send(from *simVM, out []outgoingBatch) {
	for _, o := range out {
		data, err := gossip.Encode(o.batch)
		if err != nil {
			s.t.Fatal(err)
		}
		s.record(from, fmt.Sprint(o.recipients), data)
		for _, to := range o.recipients {
			at, sent := s.passLinks(from, s.byIP[to.Addr()], simDigestBytes*len(o.batch.GetDigests()))
			if s.rng.IntN(100) >= s.lossPercent && sent {
				s.queue = append(s.queue, datagram{from: from, to: to.Addr(), data: data, at: at.Add(simDelay)})
			}
		}
	}
}

// passLinks returns when a datagram has passed the links of its sender and its receiver. It reports false if it is lost
// because one of them is full.
func (s *simulation) passLinks(from, to *simVM, bytes int) (at time.Time, passed bool) {
	if !s.hasLinks || to == nil {
		return s.now, true
	}
	if from.sendsUntil.Sub(s.now) > simQueueLimit {
		return s.now, false
	}
	at = from.sendTime(bytes, s.now)
	if to.receivesUntil.Sub(at) > simQueueLimit {
		return at, false
	}
	return to.receiveTime(bytes, at), true
}

// relayDue returns when the answer to a state request that is sent now arrives.
func (s *simulation) relayDue(from, to *simVM) time.Time {
	due := s.now.Add(s.relayDelay)
	if !s.hasLinks || to == nil {
		return due
	}
	return from.receiveTime(simStateBytes, to.sendTime(simStateBytes, due))
}

// deliver applies the datagrams that have arrived.
func (s *simulation) deliver() {
	var later []datagram
	arrived := s.queue
	s.queue = nil
	for _, d := range arrived {
		to := s.byIP[d.to]
		if to == nil || to.down || to.deaf || to.partition != d.from.partition {
			continue
		}
		if d.at.After(s.now) {
			later = append(later, d)
			continue
		}
		to.datagrams++
		to.bytes += len(d.data)
		batch, err := gossip.Decode(d.data)
		if err != nil {
			s.t.Fatal(err)
		}
		if s.hasLinks {
			to.gateway.recordDigestSize(simDigestBytes*len(batch.GetDigests()), len(batch.GetDigests()))
		}
		s.send(to, to.gateway.applyBatch(batch, s.now))
	}
	s.queue = append(s.queue, later...)
}

// requireAllLive fails unless each running VM counts all other running VMs of its partition as live, except for the few
// pairs between which several datagrams in a row were lost.
func (s *simulation) requireAllLive(when string) {
	s.t.Helper()
	pairs, silent := 0, 0
	for _, vm := range s.vms {
		if vm.down {
			continue
		}
		for _, other := range s.vms {
			if other == vm || other.down || other.partition != vm.partition {
				continue
			}
			pairs++
			p := vm.gateway.peers[other.gateway.settings.VM]
			if p == nil {
				s.t.Fatalf("%s: %s does not know %s (%d VMs)", when, vm.gateway.settings.VM, other.gateway.settings.VM, len(s.vms))
			}
			if !p.live(s.now) {
				silent++
			}
		}
	}
	if silent > pairs/pairsPerSilentPair {
		s.t.Fatalf("%s: %d of %d pairs do not count each other as live (%d VMs)", when, silent, pairs, len(s.vms))
	}
}

// timeUntil runs until a condition holds on all running VMs, at most for limit, and returns how long that took.
func (s *simulation) timeUntil(limit time.Duration, holds func(gateway *Gateway) bool) time.Duration {
	began := s.now
	for s.now.Sub(began) < limit {
		s.run(simStep)
		all := true
		for _, vm := range s.vms {
			all = all && (vm.down || holds(vm.gateway))
		}
		if all {
			break
		}
	}
	return s.now.Sub(began)
}
