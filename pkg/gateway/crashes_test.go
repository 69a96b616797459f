package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// catchUpLimit is the shortest time that a deployment allows a VM that was paused or cut off before its requests must
	// obey the limits again.
	catchUpLimit = 3 * time.Second
	// crashingFingerprint is the fingerprint of a request that crashes endpoints.
	crashingFingerprint = 0x6a09e667f3bcc908
)

// recordCrashes makes each of the given VMs observe one crash, of a different endpoint each.
func (s *simulation) recordCrashes(fingerprint uint64, vms ...*simVM) {
	for _, vm := range vms {
		s.crashCount++
		c := crashguard.Crash{Fingerprint: fingerprint, Endpoint: fmt.Sprintf("e%d/1", s.crashCount)}
		vm.gateway.recordOwnCrash(c, s.now)
	}
}

// refusing returns the number of running VMs that refuse a request, and the number of all running VMs.
func (s *simulation) refusing(fingerprint uint64) (refusing, all int) {
	for _, vm := range s.vms {
		if vm.down {
			continue
		}
		all++
		if vm.gateway.crashes.ShouldRefuse(fingerprint, s.now) {
			refusing++
		}
	}
	return refusing, all
}

// requireAllRefuse reports an error unless all running VMs refuse the crashing request.
func (s *simulation) requireAllRefuse(when string) {
	s.t.Helper()
	if n, all := s.refusing(crashingFingerprint); n != all {
		s.t.Errorf("%s: %d of %d VMs refuse the request", when, n, all)
	}
}

// Guards against VMs that were paused, cut off or not yet started when a request crashed its endpoints, and that each
// let it crash three more.
func TestVMsThatMissedCrashesRefuseTheRequest(t *testing.T) {
	t.Parallel()
	for _, count := range []int{7, 85, 195} {
		s := simulate(t, count)
		s.run(2 * time.Second)
		paused, cutOff := s.vms[1], s.vms[2]
		paused.down, cutOff.partition = true, 1
		s.recordCrashes(crashingFingerprint, s.vms[3], s.vms[4], s.vms[5])
		s.run(catchUpLimit)
		s.run(2 * crashguard.NewsPeriod)
		paused.down, cutOff.partition = false, 0
		s.add()
		s.run(catchUpLimit)
		s.requireAllRefuse(fmt.Sprintf("%d VMs, one paused, one cut off, one new", count))
	}
}

// Guards against crashes that no VM adds up because partitions of the system each recorded only some of them.
func TestCrashesRecordedByPartitionsAddUp(t *testing.T) {
	t.Parallel()
	for _, count := range []int{7, 85} {
		s := simulate(t, count)
		s.run(2 * time.Second)
		for i, vm := range s.vms {
			vm.partition = i % 2
		}
		s.recordCrashes(crashingFingerprint, s.vms[2], s.vms[3], s.vms[4])
		s.run(2 * crashguard.NewsPeriod)
		if n, _ := s.refusing(crashingFingerprint); n > 0 {
			t.Fatalf("%d VMs refuse the request before the partitions reconnect", n)
		}
		for _, vm := range s.vms {
			vm.partition = 0
		}
		s.run(catchUpLimit)
		s.requireAllRefuse(fmt.Sprintf("%d VMs after the cut", count))
	}
}

// Guards against a rolling restart in which all VMs forget the first crashes.
func TestCrashesSurviveRollingRestart(t *testing.T) {
	s := simulate(t, 7)
	s.run(2 * time.Second)
	s.recordCrashes(crashingFingerprint, s.vms[0], s.vms[1])
	s.run(2 * crashguard.NewsPeriod)
	for i := range 7 {
		s.vms[i].down = true
		s.run(time.Second)
		s.add()
		s.run(time.Second)
	}
	s.run(catchUpLimit)
	s.recordCrashes(crashingFingerprint, s.vms[7])
	s.run(catchUpLimit)
	s.requireAllRefuse("after a rolling restart")
}

// Guards against the refusal of a harmless request that was running on endpoints when they crashed for other reasons,
// although it keeps running cleanly on other VMs.
func TestFrequentRequestIsNotRefusedForUnrelatedCrashes(t *testing.T) {
	t.Parallel()
	for _, count := range []int{7, 85} {
		s := simulate(t, count)
		s.run(2 * time.Second)
		for i := range 6 {
			s.recordCrashes(crashingFingerprint, s.vms[i])
			s.run(catchUpLimit / 2)
			s.vms[6].gateway.clearCrashes(crashingFingerprint, s.now)
			for range 15 {
				s.run(catchUpLimit / 30)
				if n, _ := s.refusing(crashingFingerprint); n > 0 {
					t.Fatalf("%d VMs: %d refuse the request after %d crashes and clean runs", count, n, i+1)
				}
			}
		}
	}
}

// Guards against an exchange of crashes that costs calls while no crash is new.
func TestVMsWithEqualCrashesSendNoRequests(t *testing.T) {
	t.Parallel()
	s := simulate(t, 85)
	s.run(2 * time.Second)
	s.recordCrashes(crashingFingerprint, s.vms[3], s.vms[4], s.vms[5])
	s.run(catchUpLimit + crashguard.NewsPeriod)
	s.stateRequests = 0
	const span = 10 * time.Second
	s.run(span)
	if s.stateRequests > len(s.vms)/10 {
		t.Errorf("%d state requests in %v by %d VMs that refuse the same request", s.stateRequests, span, len(s.vms))
	}
}

// Guards against a digest that fits into no datagram because many requests were interrupted: its VM would count as
// silent.
func TestDigestWithManyCrashesFitsDatagram(t *testing.T) {
	g := newTestGateway(84)
	now := steady.Now()
	for _, endpoint := range []string{"a/1", "b/1"} {
		g.recordOwnCrash(crashguard.Crash{Fingerprint: crashingFingerprint, Endpoint: endpoint}, now)
	}
	now = now.Add(crashguard.NewsPeriod / 2)
	for i := range uint64(5000) {
		g.recordOwnCrash(crashguard.Crash{Fingerprint: i + 1, Endpoint: "endpoint-with-a-long-name/1700000000000"}, now)
	}
	digest := g.digest(1, now)
	datagram, err := gossip.Encode(&gossip.Batch{Digests: []*gossip.Digest{digest}})
	if err != nil || len(datagram) > gossip.MaxBatchBytes {
		t.Fatalf("datagram of %d bytes, error %v", len(datagram), err)
	}
	for _, a := range digest.GetAccusations() {
		if a.GetFingerprint() == crashingFingerprint {
			return
		}
	}
	t.Error("the request with the most crashes is missing")
}

// Guards against crashes that no digest contains because there are always others that come first.
func TestAllCrashesAreReportedInTurn(t *testing.T) {
	g := newTestGateway(1)
	now := steady.Now()
	const count = 10 * crashguard.MaxNews
	for i := range uint64(count) {
		g.recordOwnCrash(crashguard.Crash{Fingerprint: i + 1, Endpoint: "a/1"}, now)
	}
	reported := map[uint64]bool{}
	for i := range uint64(count / crashguard.MaxNews) {
		for _, a := range g.digest(i+1, now).GetAccusations() {
			reported[a.GetFingerprint()] = true
		}
	}
	if len(reported) != count {
		t.Errorf("%d of %d crashes are reported in %d digests", len(reported), count, count/crashguard.MaxNews)
	}
}

// Guards against a request of many callers being refused for an hour, with no clean run left to clear it, because
// several endpoints that ran it crashed for another reason at about the same time.
func TestCleanRequestIsNotRefusedAfterCrashBurst(t *testing.T) {
	for _, count := range []int{7, 85} {
		s := simulate(t, count)
		s.run(2 * time.Second)
		s.vms[6].gateway.clearCrashes(crashingFingerprint, s.now)
		s.recordCrashes(crashingFingerprint, s.vms[0], s.vms[1], s.vms[2], s.vms[3])
		s.run(catchUpLimit)
		if n, _ := s.refusing(crashingFingerprint); n > 0 {
			t.Errorf("%d VMs: %d refuse a request that ran cleanly before", count, n)
		}
	}
}
