package limit

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corneldeal/corneldeal/pkg/lease"
)

// TestSimulationKeepsLimit guards against spending more than burst plus rate over any window, and against two VMs using
// one resource, under pauses, restarts, partitions, outages, lost and late records, and log expiry.
func TestSimulationKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3)
		sim.run(t, 12)
		pick := func(t *rapid.T) *vm {
			return rapid.SampledFrom(sim.vms).Draw(t, "vm")
		}
		name := func(t *rapid.T) string {
			if sim.addedAt.IsZero() {
				return workspaceOld
			}
			return rapid.SampledFrom([]string{workspaceOld, workspaceNew}).Draw(t, "workspace")
		}
		tokens := rapid.Int64Range(1, 400)
		clock := func() time.Time { return sim.now }
		t.Repeat(map[string]func(*rapid.T){
			"":          func(t *rapid.T) { sim.checkInvariants(t) },
			"run":       func(t *rapid.T) { sim.run(t, rapid.IntRange(1, 8).Draw(t, "steps")) },
			"run 15 s":  func(t *rapid.T) { sim.run(t, 30) },
			"run 40 s":  func(t *rapid.T) { sim.run(t, 80) },
			"lose VM":   func(t *rapid.T) { sim.isolate(pick(t)) },
			"spend all": func(t *rapid.T) { sim.spendAll(name(t)) },
			"pause for 40 s": func(t *rapid.T) {
				v := pick(t)
				v.paused, v.unlisted = true, true
				sim.run(t, 80)
				sim.spendAll(name(t))
				v.paused, v.unlisted = false, false
			},
			"leave list for 30 s": func(t *rapid.T) {
				v := pick(t)
				v.unlisted = true
				sim.run(t, rapid.IntRange(16, 28).Draw(t, "steps"))
				v.unlisted, v.noLog = false, true
				sim.run(t, 40)
			},
			"return late": func(t *rapid.T) {
				sim.spendAll(workspaceOld)
				sim.run(t, 30)
				if len(sim.grants) > 0 {
					sim.refund(len(sim.grants)-1, 0)
				}
				sim.spendAll(workspaceOld)
			},
			"toggle log of all":  func(*rapid.T) { sim.logDown = !sim.logDown },
			"toggle list of all": func(*rapid.T) { sim.listDown = !sim.listDown },
			"toggle log":         func(t *rapid.T) { v := pick(t); v.noLog = !v.noLog },
			"toggle list":        func(t *rapid.T) { v := pick(t); v.noList = !v.noList },
			"toggle peers":       func(t *rapid.T) { v := pick(t); v.noPeers = !v.noPeers },
			"toggle listed":      func(t *rapid.T) { v := pick(t); v.unlisted = !v.unlisted },
			"pause":              func(t *rapid.T) { v := pick(t); v.paused = !v.paused },
			"appends": func(t *rapid.T) {
				pick(t).appendResult = appendResult(rapid.IntRange(0, int(appendResults)-1).Draw(t, "fate"))
			},
			"land": func(t *rapid.T) {
				if len(sim.inTransit) > 0 {
					sim.deliverDelayed(rapid.IntRange(0, len(sim.inTransit)-1).Draw(t, "record"))
				}
			},
			"kill": func(t *rapid.T) { sim.kill(pick(t)) },
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(sim.vms)-1).Draw(t, "index")
				sim.kill(sim.vms[i])
				sim.vms[i] = sim.newVM(i)
			},
			"replace": func(t *rapid.T) {
				if len(sim.vms) < 5 {
					sim.kill(pick(t))
					sim.vms = append(sim.vms, sim.newVM(len(sim.vms)))
				}
			},
			"heal": func(*rapid.T) { sim.heal() },
			"add workspace": func(*rapid.T) {
				if sim.addedAt.IsZero() {
					sim.addedAt = sim.now
					sim.available[workspaceNew] = simBurst * int64(time.Second)
				}
			},
			"take": func(t *rapid.T) {
				v, ws := pick(t), name(t)
				if v.dead.IsZero() {
					g, _ := v.limiter.Take(ws, tokens.Draw(t, "tokens"), clock)
					sim.spend("", ws, v, g)
				}
			},
			"debit": func(t *rapid.T) {
				v, ws := pick(t), name(t)
				if !v.dead.IsZero() {
					return
				}
				id := fmt.Sprintf("d%d", rapid.IntRange(0, 20).Draw(t, "id"))
				g := v.limiter.Debit(id, ws, tokens.Draw(t, "tokens"), clock)
				if rapid.Bool().Draw(t, "answered") {
					sim.spend(id, ws, v, g)
				}
			},
			"return": func(t *rapid.T) {
				if len(sim.grants) == 0 {
					return
				}
				i := rapid.IntRange(0, len(sim.grants)-1).Draw(t, "grant")
				sim.refund(i, rapid.Int64Range(0, 400).Draw(t, "spent"))
			},
		})
	})
}

func (sim *simulation) run(t *rapid.T, steps int) {
	for range steps {
		sim.advance()
		sim.checkInvariants(t)
	}
}

func (sim *simulation) checkInvariants(t *rapid.T) {
	if violation := sim.findViolation(); violation != "" {
		t.Fatal(violation)
	}
}

func (sim *simulation) kill(v *vm) {
	if v.dead.IsZero() {
		v.dead = sim.now
	}
}

// isolate cuts a VM off from the log, the VM list and its peers, and the platform takes it off the VM list.
func (sim *simulation) isolate(v *vm) {
	v.noLog, v.noList, v.noPeers, v.unlisted = true, true, true, true
}

// spendAll spends all tokens of all VMs, including paused ones, as if they resumed at this moment.
func (sim *simulation) spendAll(name string) {
	for _, v := range sim.vms {
		if v.dead.IsZero() {
			g, _ := v.limiter.Take(name, simBurst, func() time.Time { return sim.now })
			sim.spend("", name, v, g)
		}
	}
}

func (sim *simulation) heal() {
	sim.logDown = false
	sim.listDown = false
	for i, v := range sim.vms {
		if !v.dead.IsZero() {
			sim.vms[i] = sim.newVM(i)
			continue
		}
		v.paused, v.noLog, v.noList, v.noPeers, v.unlisted = false, false, false, false, false
		v.appendResult = appendDone
	}
}

// refund returns the unspent tokens of a grant to the process that deducted them, once.
func (sim *simulation) refund(i int, spent int64) {
	g := sim.grants[i]
	sim.grants = append(sim.grants[:i], sim.grants[i+1:]...)
	parts := Unused(g.parts, spent)
	if len(parts) == 0 || !g.from.dead.IsZero() {
		return
	}
	returned := g.from.limiter.Refund("", g.workspace, parts, sim.now)
	sim.available[g.workspace] = min(sim.available[g.workspace]+returned*int64(time.Second), simBurst*int64(time.Second))
}

// TestSimulationSharesSlotsEvenly guards against slots that stay unheld or unevenly divided once all faults have ended.
func TestSimulationSharesSlotsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3)
		sim.run(t, 10)
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			v := rapid.SampledFrom(sim.vms).Draw(t, "vm")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				sim.kill(v)
			case 1:
				v.unlisted = true
			case 2:
				v.noLog = true
			case 3:
				v.appendResult = appendLost
			}
			sim.run(t, rapid.IntRange(1, 80).Draw(t, "steps"))
		}
		sim.heal()
		sim.run(t, 240)
		for _, e := range sim.log[sim.start:] {
			var r lease.Record
			if json.Unmarshal(e.data, &r) != nil || r.Kind != lease.KindRenew && sim.now.Sub(e.at) < 40*time.Second {
				t.Fatalf("slots still move: %s", e.data)
			}
		}
		total := 0
		for _, v := range sim.vms {
			n := len(v.limiter.held)
			if n < 1 || n > 2 {
				t.Fatalf("%s holds %d of %d slots", v.self.VM, n, simSlots)
			}
			total += n
		}
		if total != simSlots {
			t.Fatalf("%d of %d slots are held", total, simSlots)
		}
	})
}
