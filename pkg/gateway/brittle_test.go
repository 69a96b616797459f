package gateway

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/brittle"
	"github.com/corneldeal/corneldeal/pkg/fleet"
)

// Guards against VMs that do not learn that the endpoints of a service are brittle, that this has ended, or that one of them
// rejected a request, and against shares of an endpoint that do not add up.
func TestAllVMsAgreeOnBrittleEndpoints(t *testing.T) {
	t.Parallel()
	for _, count := range []int{9, 30, 100} {
		s := simulate(t, count)
		s.run(2 * time.Second)
		for _, vm := range s.vms {
			vm.gateway.lastRequestAt = s.now.Add(time.Hour)
		}
		answer := func(a brittle.Announcement) {
			g := s.vms[1].gateway
			g.brittle.Observe(brittle.Answer{Service: "app", Announcement: a, SentAt: s.now, Conclusive: true}, s.now)
			g.requestDigest()
		}
		isBrittle := func(g *Gateway) bool {
			n, ok := g.brittle.Rejections("app")
			return ok && n == 5
		}
		answer(brittle.Announcement{Kind: brittle.Announced, Rejections: 5})
		if took := s.timeUntil(4*time.Second, isBrittle); took > 2*time.Second {
			t.Errorf("%d VMs: %v until all knew that the endpoints are brittle", count, took)
		}
		// In the first seconds no rejections are risked.
		s.run(6 * time.Second)
		e := brittle.Endpoint{Incarnation: fleet.Incarnation{ID: "e", StartTimeMs: 7}, Service: "app", Slots: 8}
		if sum := s.sharesOf(e); sum != e.Slots+3 {
			t.Errorf("%d VMs: the shares of an endpoint with 8 slots add up to %d", count, sum)
		}
		s.vms[2].gateway.brittle.RecordRejection(e, brittle.Load{Total: e.Slots}, s.now)
		s.vms[2].gateway.requestDigest()
		knows := func(g *Gateway) bool { return g.brittle.Usage(s.now).Full == 1 }
		if took := s.timeUntilAny(time.Second, knows, count*8/10); took > 700*time.Millisecond {
			t.Errorf("%d VMs: %v until eight tenths knew of a rejection", count, took)
		}
		answer(brittle.Announcement{})
		sound := func(g *Gateway) bool { return !isBrittle(g) }
		if took := s.timeUntil(6*time.Second, sound); took > 4*time.Second {
			t.Errorf("%d VMs: %v until all knew that the endpoints are no longer brittle", count, took)
		}
	}
}

// sharesOf returns the sum of the requests that the running VMs may have on an endpoint of a full service.
func (s *simulation) sharesOf(e brittle.Endpoint) int {
	sum := 0
	for _, vm := range s.vms {
		r := brittle.Request{Service: brittle.Service{Endpoints: 1, Room: 8, Load: 9}}
		for own := 0; vm.gateway.brittle.Judge(e, brittle.Load{Own: own}, r, s.now).Allowed; own++ {
			sum++
		}
	}
	return sum
}

// timeUntilAny runs until a condition holds for a number of VMs at the same time and returns how long that took, or limit.
func (s *simulation) timeUntilAny(limit time.Duration, holds func(*Gateway) bool, number int) time.Duration {
	begin := s.now
	for s.now.Sub(begin) < limit {
		s.run(10 * time.Millisecond)
		n := 0
		for _, vm := range s.vms {
			if holds(vm.gateway) {
				n++
			}
		}
		if n >= number {
			break
		}
	}
	return s.now.Sub(begin)
}
