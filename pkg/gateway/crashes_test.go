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
	// touchLimit is the least time that a deployment allows a VM that was away before it is held to the rules again.
	touchLimit = 3 * time.Second
	// crashing is the fingerprint of a request that ends endpoints.
	crashing = 0x6a09e667f3bcc908
)

// crash lets VMs see one crash each.
func (s *simulation) crash(fingerprint uint64, vms ...*simVM) {
	for _, vm := range vms {
		s.crashes++
		c := crashguard.Crash{Fingerprint: fingerprint, Endpoint: fmt.Sprintf("e%d/1", s.crashes)}
		vm.g.sawCrash(c, s.now)
	}
}

// refusing returns the number of VMs that run and refuse a request, and of all that run.
func (s *simulation) refusing(fingerprint uint64) (refusing, all int) {
	for _, vm := range s.vms {
		if vm.down {
			continue
		}
		all++
		if vm.g.crashes.Refuse(fingerprint, s.now) {
			refusing++
		}
	}
	return refusing, all
}

func (s *simulation) mustAllRefuse(when string) {
	s.t.Helper()
	if n, all := s.refusing(crashing); n != all {
		s.t.Errorf("%s: %d of %d VMs refuse the request", when, n, all)
	}
}

// Guards against VMs that were paused, cut off or not yet there when a request ended its endpoints, and that let it end
// three more each.
func TestVMsThatMissedCrashesRefuseTheRequest(t *testing.T) {
	for _, count := range []int{7, 85, 195} {
		s := simulate(t, count)
		s.run(2 * time.Second)
		paused, cutOff := s.vms[1], s.vms[2]
		paused.down, cutOff.group = true, 1
		s.crash(crashing, s.vms[3], s.vms[4], s.vms[5])
		s.run(touchLimit)
		s.run(2 * crashNewsFor)
		paused.down, cutOff.group = false, 0
		s.add()
		s.run(touchLimit)
		s.mustAllRefuse(fmt.Sprintf("%d VMs, one paused, one cut off, one new", count))
	}
}

// Guards against crashes that no VM adds up, since halves of the system saw some each while they were cut from each other.
func TestCrashesSeenByHalvesAddUp(t *testing.T) {
	for _, count := range []int{7, 85} {
		s := simulate(t, count)
		s.run(2 * time.Second)
		for i, vm := range s.vms {
			vm.group = i % 2
		}
		s.crash(crashing, s.vms[2], s.vms[3], s.vms[4])
		s.run(2 * crashNewsFor)
		if n, _ := s.refusing(crashing); n > 0 {
			t.Fatalf("%d VMs refuse the request before the halves meet", n)
		}
		for _, vm := range s.vms {
			vm.group = 0
		}
		s.run(touchLimit)
		s.mustAllRefuse(fmt.Sprintf("%d VMs after the cut", count))
	}
}

// Guards against a restart of one VM after the other in which all of them forget the first crashes.
func TestCrashesOutliveARollingRestart(t *testing.T) {
	s := simulate(t, 7)
	s.run(2 * time.Second)
	s.crash(crashing, s.vms[0], s.vms[1])
	s.run(2 * crashNewsFor)
	for i := range 7 {
		s.vms[i].down = true
		s.run(time.Second)
		s.add()
		s.run(time.Second)
	}
	s.run(touchLimit)
	s.crash(crashing, s.vms[7])
	s.run(touchLimit)
	s.mustAllRefuse("after a rolling restart")
}

// Guards against an innocent request that is refused since endpoints crashed for other reasons while they ran it, though it
// runs clean on other VMs all the time.
func TestHotLookupIsNotRefusedForOtherCrashes(t *testing.T) {
	for _, count := range []int{7, 85} {
		s := simulate(t, count)
		s.run(2 * time.Second)
		for i := range 6 {
			s.crash(crashing, s.vms[i])
			s.run(touchLimit / 2)
			s.vms[6].g.clearCrashes(crashing, s.now)
			for range 15 {
				s.run(touchLimit / 30)
				if n, _ := s.refusing(crashing); n > 0 {
					t.Fatalf("%d VMs: %d refuse it after %d crashes and clean runs", count, n, i+1)
				}
			}
		}
	}
}

// Guards against an exchange of crashes that costs calls while nothing is new.
func TestVMsThatAgreeOnCrashesDoNotAsk(t *testing.T) {
	s := simulate(t, 85)
	s.run(2 * time.Second)
	s.crash(crashing, s.vms[3], s.vms[4], s.vms[5])
	s.run(touchLimit + crashNewsFor)
	s.asked = 0
	const span = 10 * time.Second
	s.run(span)
	if s.asked > len(s.vms)/10 {
		t.Errorf("%d questions in %v by %d VMs that refuse the same request", s.asked, span, len(s.vms))
	}
}

// Guards against a digest that fits into no datagram since many requests were interrupted: its VM would look silent.
func TestDigestWithManyCrashesIsSent(t *testing.T) {
	g := system(84)
	now := steady.Now()
	for _, endpoint := range []string{"a/1", "b/1"} {
		g.sawCrash(crashguard.Crash{Fingerprint: crashing, Endpoint: endpoint}, now)
	}
	now = now.Add(crashNewsFor / 2)
	for i := range uint64(5000) {
		g.sawCrash(crashguard.Crash{Fingerprint: i + 1, Endpoint: "endpoint-with-a-long-name/1700000000000"}, now)
	}
	digest := g.digest(1, now)
	datagram, err := gossip.Encode(&gossip.Batch{Digests: []*gossip.Digest{digest}})
	if err != nil || len(datagram) > gossip.MaxBatchBytes {
		t.Fatalf("%d bytes, %v", len(datagram), err)
	}
	for _, a := range digest.GetAccusations() {
		if a.GetFingerprint() == crashing {
			return
		}
	}
	t.Error("the request with the most crashes is left out")
}

// Guards against a lookup that many callers send and that is refused for an hour, with no clean run to clear it any more,
// since several endpoints that ran it crashed for another reason within a moment.
func TestLookupThatRanCleanOutlivesABurstOfCrashes(t *testing.T) {
	for _, count := range []int{7, 85} {
		s := simulate(t, count)
		s.run(2 * time.Second)
		s.vms[6].g.clearCrashes(crashing, s.now)
		s.crash(crashing, s.vms[0], s.vms[1], s.vms[2], s.vms[3])
		s.run(touchLimit)
		if n, _ := s.refusing(crashing); n > 0 {
			t.Errorf("%d VMs: %d refuse a lookup that ran clean before", count, n)
		}
	}
}
