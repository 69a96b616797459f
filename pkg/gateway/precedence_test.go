package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/precedence"
)

// reportDelay is the time after which all VMs know each other's newest state.
const reportDelay = time.Second

// restart replaces the process of a VM.
func (s *simulation) restart(vm *simVM) {
	old := vm.gateway
	vm.gateway = New(old.settings, func(*httpcall.Client) Platform { return Platform{} })
	vm.gateway.started, vm.gateway.startedUnixMs = s.now, s.now.UnixMilli()
	for name, known := range old.vms {
		vm.gateway.addVM(name, *known, s.now)
	}
}

// reachStore makes the store count as having answered all VMs now.
func (s *simulation) reachStore() {
	for _, vm := range s.vms {
		vm.gateway.streams[OperatorStream].answeredAt = s.now
		vm.gateway.storeFailedAt = time.Time{}
	}
}

// preferredVMs returns the names of the running VMs that count themselves as the preferred one.
func (s *simulation) preferredVMs() []string {
	var out []string
	for _, vm := range s.vms {
		if !vm.down && vm.gateway.isPreferredVM(s.now) {
			out = append(out, vm.gateway.settings.VM)
		}
	}
	return out
}

// Guards against starts in a rhythm after which every VM leaves the duties of the whole system to another one, or several
// do them.
func TestOneVMIsPreferredAfterStartsInAnyRhythm(t *testing.T) {
	const changes = 5
	pauses := map[string]time.Duration{"0.7 s": 700 * time.Millisecond, "1.4 s": 1400 * time.Millisecond, "2.1 s": 2100 * time.Millisecond}
	kinds := map[string]func(s *simulation, i int){
		"joins":    func(s *simulation, _ int) { s.add() },
		"restarts": func(s *simulation, i int) { s.restart(s.vms[i*(len(s.vms)-1)/changes]) },
	}
	for kind, change := range kinds {
		for name, pause := range pauses {
			for _, count := range sizes(t) {
				t.Run(fmt.Sprint(kind, "/", name, "/", count), func(t *testing.T) {
					t.Parallel()
					s := simulate(t, count)
					s.run(reportDelay)
					for i := range changes {
						change(s, i)
						s.reachStore()
						s.run(pause)
					}
					s.run(precedence.SettledUptime + reportDelay)
					s.reachStore()
					s.run(reportDelay)
					if got := s.preferredVMs(); len(got) != 1 {
						t.Errorf("preferred VMs %v, want one", got)
					}
				})
			}
		}
	}
}

// Guards against duties that stay undone because the preferred VM does not do them: of the others exactly one takes over an
// announcement time and a refusal, once, after a bounded time, and none takes over what was reported as done.
func TestUndoneDutiesAreTakenOverOnce(t *testing.T) {
	for _, count := range sizes(t) {
		if count == 1 {
			continue
		}
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			s := simulate(t, count)
			s.reachStore()
			s.run(reportDelay)
			for _, vm := range s.vms {
				vm.gateway.mu.Lock()
				vm.gateway.addAnnouncement("m", place.Announcement{Version: 2, At: s.now})
				vm.gateway.mu.Unlock()
			}
			due := func(vm *simVM) bool {
				duty := vm.gateway.announcementDutyOf("m")
				return !duty.undoneSince.IsZero() && vm.gateway.takesOver(duty.undoneSince, s.now)
			}
			// The VMs' own clocks were read when the version was added.
			for _, vm := range s.vms {
				vm.gateway.announcementDutyOf("m").undoneSince = s.now
			}
			var acting []*simVM
			for _, vm := range s.vms {
				if due(vm) {
					acting = append(acting, vm)
				}
			}
			if len(acting) != 1 {
				t.Fatalf("%d VMs write at once, want 1", len(acting))
			}
			idle := acting[0]
			limit := precedence.MaxTakeoverDelay(count)
			var successor *simVM
			for began := s.now; successor == nil && s.now.Sub(began) < limit; {
				s.reachStore()
				s.run(simStep)
				for _, vm := range s.vms {
					if vm != idle && due(vm) {
						successor = vm
					}
				}
			}
			if successor == nil {
				t.Fatalf("no VM took over within %v", limit)
			}
			successor.gateway.mu.Lock()
			successor.gateway.recordStored("m", 2)
			successor.gateway.announcementDutyOf("m").storedAt = s.now
			successor.gateway.mu.Unlock()
			s.run(reportDelay)
			for _, vm := range s.vms {
				if due(vm) {
					t.Fatalf("%s writes what was reported as stored", vm.gateway.settings.VM)
				}
			}
		})
	}
}

// Guards against a refusal that no VM stores because the one that observed the last crash ended, and against all VMs
// storing it.
func TestRefusalIsStoredWithoutItsObserver(t *testing.T) {
	s := simulate(t, 9)
	s.reachStore()
	s.run(reportDelay)
	const fingerprint = 8
	for _, vm := range s.vms {
		for i := range 5 {
			vm.gateway.addCrash(crashguard.Crash{Fingerprint: fingerprint, Endpoint: fmt.Sprint("e", i)}, "peer", s.now)
		}
		vm.gateway.refusals.Await(fingerprint, s.now.Add(observerWriteTime))
	}
	writers := 0
	for range int((observerWriteTime + reportDelay) / simStep) {
		s.reachStore()
		s.run(simStep)
	}
	for _, vm := range s.vms {
		if vm.gateway.refusals.IsScheduled(fingerprint) {
			writers++
		}
	}
	if writers != 1 {
		t.Fatalf("%d VMs write the refusal, want 1", writers)
	}
}
