package gateway

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

const (
	// simRelayDelay is the time that a state request takes on small links and processors.
	simRelayDelay = 60 * time.Millisecond
	// lossMargin is what has to be left in a large system, after one loss, of the time within which a configuration is wanted in
	// force: time for one more loss.
	lossMargin = time.Second
	// lossPeriod is the time before and after a version is published in which the losses occur.
	lossPeriod = 780 * time.Millisecond
)

// lossPhases is the number of moments before, and after, a version is published at which each loss occurs. CI plays few:
//
//	go test ./pkg/gateway -run TestConfigurationsComeIntoForce -args -phases 6 -sizes 9,78,89,195
var lossPhases = flag.Int("phases", 2, "moments before and after a version at which the simulated losses occur")

// phases returns the number of all moments at which a loss occurs.
func phases() int {
	return 2 * *lossPhases
}

// lossTime returns how long after a version is published the loss of a phase occurs. It is negative for losses before.
func lossTime(phase int) time.Duration {
	return time.Duration(phase-*lossPhases) * lossPeriod / time.Duration(*lossPhases)
}

// stop ends the chosen VMs for good.
func (s *storeSimulation) stop(chosen func(vm *simVM) bool) {
	for _, vm := range s.vms {
		if chosen(vm) {
			vm.down = true
		}
	}
}

// isHubOf reports whether a VM is a hub of a data centre.
func (s *storeSimulation) isHubOf(vm *simVM, dataCentre string) bool {
	return vm.gateway.settings.DataCentre == dataCentre && vm.gateway.isHub(s.now)
}

// singleLosses are losses of one kind, at or shortly before or after a version is published.
var singleLosses = map[string]func(s *storeSimulation){
	"nothing":                        func(*storeSimulation) {},
	"the hubs of a data centre stop": func(s *storeSimulation) { s.stop(func(vm *simVM) bool { return s.isHubOf(vm, "z0") }) },
	"all hubs stop":                  func(s *storeSimulation) { s.stop(func(vm *simVM) bool { return vm.gateway.isHub(s.now) }) },
	"a third of the VMs stops":       func(s *storeSimulation) { s.stop(func(*simVM) bool { return s.rng.IntN(3) == 0 }) },
	"the VM that verifies stops": func(s *storeSimulation) {
		s.vms[s.preferred()].down = true
	},
	"the VMs that were first stop": func(s *storeSimulation) {
		s.stop(func(vm *simVM) bool { return vm.gateway.config.Load().Version == s.newest })
	},
	"a third of the VMs receives no datagrams": func(s *storeSimulation) {
		for _, vm := range s.vms {
			vm.deaf = s.rng.IntN(3) == 0
		}
	},
	"all waiting reads lose their answers": func(s *storeSimulation) { s.mute(func(int) bool { return true }) },
	"every fifth datagram":                 func(s *storeSimulation) { s.lossPercent = 20 },
	"a data centre is cut from the others": func(s *storeSimulation) {
		for _, vm := range s.vms {
			if vm.gateway.settings.DataCentre == "z0" {
				vm.partition = 1
			}
		}
	},
}

// simulateSmallLinks starts VMs with small links that follow a store.
func simulateSmallLinks(t *testing.T, count, repetition int) *storeSimulation {
	t.Helper()
	base := simulateRepetition(t, 0, repetition)
	base.layout, base.hasLinks, base.relayDelay = smallLinks(count), count >= largeSystemVMs, simRelayDelay
	return simulateStoreOn(base, count)
}

// Guards against a configuration that is confirmed and comes into force too late on VMs that lost nothing themselves: the VMs
// that read the records for them, tell them of new ones or send them are lost at that moment, or their links are full.
func TestConfigurationsComeIntoForceUnderAnySingleLoss(t *testing.T) {
	for name, lose := range singleLosses {
		for _, count := range sizes(t) {
			if count == 1 {
				continue
			}
			t.Run(fmt.Sprint(name, "/", count), func(t *testing.T) {
				t.Parallel()
				limit := configLimitSmall
				if count >= largeSystemVMs {
					limit = configLimitLarge - lossMargin
				}
				for phase := range phases() {
					s := simulateSmallLinks(t, count, phase)
					s.requireInForceBeside(lose, lossTime(phase), limit)
				}
			})
		}
	}
}

// Guards against sums of times that leave no room for a second loss: beside each loss, the next call of each VM to the store gets no
// answer.
func TestConfigurationsComeIntoForceUnderALossAndALostAnswer(t *testing.T) {
	for name, lose := range singleLosses {
		for _, count := range sizes(t) {
			if count < largeSystemVMs {
				continue
			}
			t.Run(fmt.Sprint(name, "/", count), func(t *testing.T) {
				t.Parallel()
				for phase := range phases() {
					s := simulateSmallLinks(t, count, phase)
					both := func(s *storeSimulation) {
						lose(s)
						s.loseNextAnswers()
					}
					s.requireInForceBeside(both, lossTime(phase), configLimitLarge)
				}
			})
		}
	}
}

// loseNextAnswers makes the call that each VM has under way, or sends next, get no answer.
func (s *storeSimulation) loseNextAnswers() {
	lost := map[*simRead]bool{}
	next := make([]*simRead, len(s.vms))
	s.losesAnswers = func(vm int) bool {
		read := s.readers[vm].read
		if next[vm] == nil && read.wait == 0 {
			next[vm] = read
			lost[read] = true
		}
		return lost[read]
	}
	s.mute(func(int) bool { return true })
}

// requireInForceBeside fails unless a version is in force within a limit on all VMs that run, beside a loss that occurs the given
// time after the version is published.
func (s *storeSimulation) requireInForceBeside(lose func(*storeSimulation), after, limit time.Duration) {
	s.t.Helper()
	took := s.timeInForceBeside(lose, after)
	s.t.Logf("%d VMs, loss %v after the version: in force after %v", len(s.vms), after, took)
	if took > limit {
		s.t.Errorf("loss %v after the version: in force after %v, want at most %v", after, took, limit)
	}
}

// Guards against hubs whose links are too narrow for what they send: after the VMs with wide links are lost, every
// configuration has to come into force in time, not only the next one.
func TestConfigurationsComeIntoForceWithoutWideLinks(t *testing.T) {
	for _, count := range sizes(t) {
		if count < largeSystemVMs {
			continue
		}
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			s := simulateSmallLinks(t, count, 0)
			s.stop(func(vm *simVM) bool {
				return vm.gateway.settings.DataCentre == "z0" && vm.gateway.settings.LinkMbps == s.layout.wideMbps
			})
			s.advance(2 * time.Second)
			for range 8 {
				took := s.timeInForce(time.Minute)
				t.Logf("%d VMs: in force after %v", count, took)
				if took > configLimitLarge-lossMargin {
					t.Errorf("in force after %v, want at most %v", took, configLimitLarge-lossMargin)
				}
				s.requireNarrowLinksFree()
				s.advance(time.Second)
			}
		})
	}
}

// requireNarrowLinksFree fails if datagrams fill the link of a VM that runs.
func (s *storeSimulation) requireNarrowLinksFree() {
	s.t.Helper()
	for _, vm := range s.vms {
		if queue := vm.sendsUntil.Sub(s.now); !vm.down && queue > simQueueLimit {
			s.t.Errorf("the link of %s with %v Mbit/s is full: %v wait", vm.gateway.settings.VM, vm.gateway.settings.LinkMbps, queue)
		}
	}
}

// timeInForceBeside publishes a version and returns after which time it is in force on all VMs that run. The loss occurs the
// given time after the version is published, or before it if after is negative.
func (s *storeSimulation) timeInForceBeside(lose func(*storeSimulation), after time.Duration) time.Duration {
	if after < 0 {
		lose(s)
		s.advance(-after)
		return s.timeInForce(time.Minute)
	}
	s.publish()
	s.advance(after)
	lose(s)
	return after + s.timeUntilInForce(s.newest, time.Minute)
}
