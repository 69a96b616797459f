package gateway

import (
	"fmt"
	"testing"
	"time"
)

const (
	// killCycles is the number of kills of all VMs in a case.
	killCycles = 8
	// minKillPause and killPauseSpread bound the time between two kills.
	minKillPause    = 4 * time.Second
	killPauseSpread = 6 * time.Second
	// maxWritesPerLoss is the number of writes to the store that the end of one engine may cost, over all VMs: what the VMs before
	// it in rank leave undone, and one without the crashes that were cleared.
	maxWritesPerLoss = 4
)

// killAll restarts all VMs at the same moment.
func (s *crashSimulation) killAll() {
	for _, vm := range s.vms {
		s.restart(vm)
	}
}

// killPatterns are the ways in which VMs end in one cycle of a case.
var killPatterns = map[string]func(s *crashSimulation){
	"all at once": func(s *crashSimulation) {
		s.advance(minKillPause + s.upTo(killPauseSpread))
		s.killAll()
	},
	"all at once, one just before": func(s *crashSimulation) {
		s.advance(minKillPause + s.upTo(killPauseSpread))
		s.restart(s.vms[s.rng.IntN(len(s.vms))])
		s.advance(s.upTo(time.Second))
		s.killAll()
	},
	"all in a row": func(s *crashSimulation) {
		s.advance(minKillPause + s.upTo(killPauseSpread))
		for _, vm := range s.vms {
			s.restart(vm)
			s.advance(s.upTo(300 * time.Millisecond))
		}
	},
	"one while the store is away, all once it is back": func(s *crashSimulation) {
		s.advance(minKillPause/2 + s.upTo(killPauseSpread))
		s.storeAway = true
		s.advance(s.upTo(2 * time.Second))
		if len(s.vms) > 1 {
			s.restart(s.vms[s.rng.IntN(len(s.vms))])
		}
		s.advance(s.upTo(2 * time.Second))
		s.storeAway = false
		s.advance(time.Second)
		s.killAll()
	},
}

// upTo draws a time.
func (s *crashSimulation) upTo(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most)))
}

// Guards against VMs that are killed together, again and again, and forget the crashes that were too few to refuse a part
// (review/13: four requests with the part reached workers late, and so on for as long as the kills went on). With -table it
// plays all rates, five times each.
func TestCrashesAreCountedThroughKillsOfAllVMs(t *testing.T) {
	play := func(t *testing.T, vms, guilty, repetition int, rate float64, cycle func(s *crashSimulation)) {
		s := simulateCrashes(t, vms, repetition)
		s.guiltyRate = rate
		s.guiltyParts = []uint64{simGuiltyPart, simGuiltyPart + 1}[:guilty]
		for range killCycles {
			cycle(s)
		}
		s.advance(30 * time.Second)
		s.requireStopped()
		s.guiltyParts = nil
		s.requireNoneRefusedForGood()
	}
	rates, repeated := []float64{0.5}, 1
	if *suspectsTable {
		rates, repeated = []float64{0.25, 0.5, 2}, repetitions(1)
	}
	for pattern, cycle := range killPatterns {
		for _, vms := range []int{1, 3, 9} {
			for _, guilty := range []int{1, 2} {
				for _, rate := range rates {
					for repetition := range repeated {
						t.Run(fmt.Sprintf("%s/%d VMs/%d guilty/%v a second/%d", pattern, vms, guilty, rate, repetition), func(t *testing.T) {
							t.Parallel()
							play(t, vms, guilty, repetition, rate, cycle)
						})
					}
				}
			}
		}
	}
}

// Guards against sound requests that are refused since they were on engines that ended for another reason, each time before all
// VMs were killed, and against a write for each request or part of such an end.
func TestLostEnginesCostFewWritesAndRefuseNothing(t *testing.T) {
	for _, c := range []struct {
		vms  int
		kill bool
	}{{1, false}, {1, true}, {3, false}, {3, true}, {9, true}, {30, false}} {
		t.Run(fmt.Sprintf("%d VMs/killed %v", c.vms, c.kill), func(t *testing.T) {
			t.Parallel()
			s := simulateCrashes(t, c.vms, 0)
			losses := 0
			for range 3 * killCycles {
				s.endEngine(s.engines[s.rng.IntN(len(s.engines))])
				losses++
				s.advance(minKillPause/4 + s.upTo(killPauseSpread))
				if c.kill && s.rng.IntN(2) == 0 {
					s.killAll()
				}
			}
			s.advance(5 * time.Second)
			if s.sound.refused > 0 {
				s.t.Errorf("%d of %d sound requests were refused", s.sound.refused, s.sound.sent)
			}
			if s.evidenceWrites > losses*maxWritesPerLoss {
				s.t.Errorf("%d writes for %d engines that ended, want at most %d each", s.evidenceWrites, losses, maxWritesPerLoss)
			}
			t.Logf("%d engines lost, %d writes, %d broken, %d sound requests", losses, s.evidenceWrites, s.sound.broken, s.sound.sent)
		})
	}
}
