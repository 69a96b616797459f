package gateway

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/place"
)

// suspectsTable has TestSharedPartsAreToldFromGuiltyOnes play all its cases and print the table of docs/design/crashing-parts.md:
//
//	go test ./pkg/gateway -run TestSharedPartsAreToldFromGuiltyOnes -args -table -sizes 1,9,30,85,195,410
var suspectsTable = flag.Bool("table", false, "play all cases of suspects and print their table")

const (
	// Shared parts of the prompts of a promptMix.
	sharedFirst, sharedSecond, sharedThird, otherFirst = 0xf1, 0xf2, 0xf3, 0xf4
	// soundGroup is the number of sound requests that are sent at once.
	soundGroup = 6
	// minSuspectSound is the number of sound requests of a case, with which the rule holds.
	minSuspectSound = 24
	// maxSuspectRounds limits the rounds for which a case goes on until that many sound requests count.
	maxSuspectRounds = 3
	// soundFrom is the time after the fifth crash, or the last if there are fewer, from which sound requests count.
	soundFrom = 6 * time.Second
)

// promptMix is a mix of guilty and sound prompts with shared parts. The last part is added to each.
type promptMix struct {
	name string
	// guilty returns the guilty part of the n-th crashing request, and the shared parts before and after it.
	guilty func(n int) (part uint64, shared []uint64)
	// sound returns the shared parts of the n-th sound request, whose subject is subject.
	sound func(n int, subject uint64) []uint64
}

// promptMixes returns the mixes that are played.
func promptMixes() []promptMix {
	firstOnly := func(_ int, subject uint64) []uint64 { return []uint64{sharedFirst, subject} }
	one := func(shared ...uint64) func(int) (uint64, []uint64) {
		return func(int) (uint64, []uint64) { return simGuiltyPart, shared }
	}
	return []promptMix{
		{"one shared part", one(sharedFirst), firstOnly},
		{"three shared parts, sound prompts have all", one(sharedFirst, sharedSecond, sharedThird), func(_ int, subject uint64) []uint64 {
			return []uint64{sharedFirst, sharedSecond, sharedThird, subject}
		}},
		{"three shared parts, sound prompts have one or two", one(sharedFirst, sharedSecond, sharedThird), func(n int, subject uint64) []uint64 {
			return []uint64{sharedFirst, []uint64{sharedSecond, subject}[n%2], subject}
		}},
		{"the guilty part comes first", func(n int) (uint64, []uint64) {
			return simGuiltyPart, []uint64{0xb000 + uint64(n%3)}
		}, func(n int, _ uint64) []uint64 { return []uint64{otherFirst, 0xb000 + uint64(n%3)} }},
		{"two guilty parts", func(n int) (uint64, []uint64) {
			return simGuiltyPart + uint64(n%2), []uint64{sharedFirst}
		}, firstOnly},
		{"crashing prompts of two kinds", func(n int) (uint64, []uint64) {
			return simGuiltyPart, []uint64{[]uint64{sharedFirst, sharedFirst, otherFirst}[n%3]}
		}, func(n int, subject uint64) []uint64 { return []uint64{[]uint64{sharedFirst, otherFirst}[n%2], subject} }},
		{"crashing prompts lose their shared part", func(n int) (uint64, []uint64) {
			if n < 40 {
				return simGuiltyPart, []uint64{sharedFirst}
			}
			return simGuiltyPart, []uint64{otherFirst}
		}, firstOnly},
	}
}

// suspectCase is one case of the table.
type suspectCase struct {
	mix      promptMix
	interval time.Duration
	rate     float64
	size     int
	restarts string
}

// restartPatterns are the ways in which VMs restart, every five seconds.
var restartPatterns = []string{"none", "one after the other", "all at once, once"}

// soundRequest is a sound request of a case.
type soundRequest struct {
	sentAt time.Time
	count  *soundCount
}

// begun reports whether the request was sent at the first attempt.
func (r soundRequest) begun() bool {
	return r.count.refused == 0
}

// suspectSimulation plays one case.
type suspectSimulation struct {
	*crashSimulation
	suspectCase
	sound  []soundRequest
	guilty int
	groups int
	nextAt time.Time
}

// playSuspects plays a case.
func playSuspects(t *testing.T, c suspectCase) *suspectSimulation {
	t.Helper()
	s := &suspectSimulation{crashSimulation: newCrashSimulation(t, c.size, 0), suspectCase: c}
	s.soundRate = 0.1 * s.soundRate
	s.nextAt = s.now
	s.run(2 * time.Second)
	groups := minSuspectSound/soundGroup + 1
	s.play(max(3*time.Second, time.Duration(float64(c.interval)*1.3)), false)
	calm := s.now
	s.play(max(45*time.Second, time.Duration(groups)*c.interval+30*time.Second), true)
	s.sound = slices.DeleteFunc(s.sound, func(r soundRequest) bool { return r.sentAt.Before(calm) })
	for range maxSuspectRounds {
		if _, _, sent, _ := s.result(); sent >= minSuspectSound {
			break
		}
		s.play(time.Duration(groups)*c.interval, true)
	}
	return s
}

// play lets time pass with sound requests, and crashing ones if set.
func (s *suspectSimulation) play(d time.Duration, crashing bool) {
	for begin, end, step := s.now, s.now.Add(d), 0; s.now.Before(end); step++ {
		if crashing {
			s.arrive(s.rate, s.sendGuilty)
		}
		for !s.now.Before(s.nextAt) {
			s.sendSound()
			s.nextAt = s.nextAt.Add(s.interval)
		}
		if every := int(5 * time.Second / simStep); crashing && step%every == every-1 {
			s.restartSome(s.now.Sub(begin))
		}
		s.advance(simStep)
	}
}

// restartSome restarts the VMs that the case says.
func (s *suspectSimulation) restartSome(since time.Duration) {
	switch s.restarts {
	case restartPatterns[1]:
		s.restart(s.vms[int(since/(5*time.Second))%len(s.vms)])
	case restartPatterns[2]:
		if since < 10*time.Second && since > 5*time.Second {
			for _, vm := range s.vms {
				s.restart(vm)
			}
		}
	}
}

// arriveWith has a request with the given shared parts arrive at one of the VMs.
func (s *suspectSimulation) arriveWith(shared []uint64, guilty uint64, count *soundCount) {
	s.nextID++
	var chain []place.Part
	for _, id := range append(slices.Compact(shared), s.nextID<<16) {
		chain = append(chain, place.Part{ID: id})
	}
	s.arriveAt(s.vms[s.rng.IntN(len(s.vms))], chain, guilty, count)
}

// sendGuilty sends the next crashing request.
func (s *suspectSimulation) sendGuilty() {
	part, shared := s.mix.guilty(s.guilty)
	s.guilty++
	if !slices.Contains(s.guiltyParts, part) {
		s.guiltyParts = append(s.guiltyParts, part)
	}
	s.arriveWith(append(shared, part), part, nil)
}

// sendSound sends the next group of sound requests.
func (s *suspectSimulation) sendSound() {
	for range soundGroup {
		s.groups++
		r := soundRequest{sentAt: s.now, count: &soundCount{}}
		s.sound = append(s.sound, r)
		s.arriveWith(s.mix.sound(s.groups, 0xe00+uint64(s.groups%7)), 0, r.count)
	}
}

// result returns the late sends and crashes, those of the part with the most, and the sound requests that were sent and that
// began once they count.
func (s *suspectSimulation) result() (late, crashes, sent, begun int) {
	limit := stopLimitSmall
	if s.size >= largeSystemVMs {
		limit = stopLimitLarge
	}
	var from time.Time
	for _, part := range s.guiltyParts {
		late, crashes = max(late, s.lateSends(part, limit)), max(crashes, len(s.crashes[part]))
		if at := s.crashes[part]; len(at) > 0 {
			from = latest(from, at[min(len(at), crashesBeforeLimit)-1].Add(soundFrom))
		}
	}
	for _, r := range s.sound {
		if r.sentAt.Before(from) {
			continue
		}
		sent++
		if r.begun() {
			begun++
		}
	}
	return late, crashes, sent, begun
}

// suspectCases returns the cases to play: all for the table, otherwise those that take seconds.
func suspectCases(t *testing.T) []suspectCase {
	t.Helper()
	pauses := []time.Duration{2500 * time.Millisecond, 7 * time.Second}
	if *suspectsTable {
		intervals := slices.Concat([]time.Duration{100 * time.Millisecond, time.Second}, pauses, []time.Duration{20 * time.Second, time.Minute})
		return crossSuspects(intervals, []float64{0.2, 0.6, 2, 10}, sizes(t), restartPatterns)
	}
	return slices.Concat(
		crossSuspects(pauses, []float64{0.6, 10}, []int{3}, restartPatterns[:1]),
		crossSuspects(pauses[1:], []float64{10}, []int{defaultLargeSize}, restartPatterns[:1]),
		crossSuspects([]time.Duration{20 * time.Second}, []float64{10}, []int{3}, restartPatterns[1:]),
	)
}

// crossSuspects returns a case for each mix of prompts and each combination of the others.
func crossSuspects(intervals []time.Duration, rates []float64, counts []int, restarts []string) []suspectCase {
	var out []suspectCase
	for _, mix := range promptMixes() {
		for _, interval := range intervals {
			for _, rate := range rates {
				for _, count := range counts {
					for _, pattern := range restarts {
						out = append(out, suspectCase{mix: mix, interval: interval, rate: rate, size: count, restarts: pattern})
					}
				}
			}
		}
	}
	return out
}

// Guards against sound requests that are refused for a part that they share with crashing ones, while they pause (review/8: none
// of 24 began), and against a guilty part that is sent more often to find that out, also while VMs restart.
func TestSharedPartsAreToldFromGuiltyOnes(t *testing.T) {
	for _, c := range suspectCases(t) {
		t.Run(fmt.Sprintf("%s/%v/%v a second/%d VMs/restarts %s", c.mix.name, c.interval, c.rate, c.size, c.restarts), func(t *testing.T) {
			t.Parallel()
			late, crashes, sent, begun := playSuspects(t, c).result()
			if *suspectsTable {
				fmt.Println(strings.Join([]string{"suspects", c.mix.name, fmt.Sprint(c.size), c.restarts, c.interval.String(),
					fmt.Sprint(c.rate), fmt.Sprint(crashes), fmt.Sprint(late), fmt.Sprint(begun), fmt.Sprint(sent)}, ";"))
			}
			if late > lateSendsAllowed {
				t.Errorf("%d sends of a guilty part later than allowed after its fifth crash, want at most %d", late, lateSendsAllowed)
			}
			if sent >= 20 && begun < (sent+1)/2 {
				t.Errorf("%d of %d sound requests began from %v after the fifth crash on", begun, sent, soundFrom)
			}
		})
	}
}
