package limit

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corneldeal/corneldeal/pkg/lease"
)

// TestWorldKeepsLimit guards against spending above burst plus rate over any window, and against two VMs acting on
// one resource, under pauses, restarts, partitions, outages, lost and late records, and log expiry.
func TestWorldKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		w.run(t, 12)
		pick := func(t *rapid.T) *vm {
			return rapid.SampledFrom(w.vms).Draw(t, "vm")
		}
		name := func(t *rapid.T) string {
			if w.addedAt.IsZero() {
				return workspaceOld
			}
			return rapid.SampledFrom([]string{workspaceOld, workspaceNew}).Draw(t, "workspace")
		}
		tokens := rapid.Int64Range(1, 400)
		clock := func() time.Time { return w.now }
		t.Repeat(map[string]func(*rapid.T){
			"":          func(t *rapid.T) { w.mustHold(t) },
			"run":       func(t *rapid.T) { w.run(t, rapid.IntRange(1, 8).Draw(t, "steps")) },
			"run 15 s":  func(t *rapid.T) { w.run(t, 30) },
			"run 40 s":  func(t *rapid.T) { w.run(t, 80) },
			"lose VM":   func(t *rapid.T) { w.cutOff(pick(t)) },
			"spend all": func(t *rapid.T) { w.drainAll(name(t)) },
			"pause for 40 s": func(t *rapid.T) {
				v := pick(t)
				v.paused, v.unlisted = true, true
				w.run(t, 80)
				w.drainAll(name(t))
				v.paused, v.unlisted = false, false
			},
			"leave list for 30 s": func(t *rapid.T) {
				v := pick(t)
				v.unlisted = true
				w.run(t, rapid.IntRange(16, 28).Draw(t, "steps"))
				v.unlisted, v.noLog = false, true
				w.run(t, 40)
			},
			"return late": func(t *rapid.T) {
				w.drainAll(workspaceOld)
				w.run(t, 30)
				if len(w.grants) > 0 {
					w.giveBack(len(w.grants)-1, 0)
				}
				w.drainAll(workspaceOld)
			},
			"toggle log of all":  func(*rapid.T) { w.logDown = !w.logDown },
			"toggle list of all": func(*rapid.T) { w.listDown = !w.listDown },
			"toggle log":         func(t *rapid.T) { v := pick(t); v.noLog = !v.noLog },
			"toggle list":        func(t *rapid.T) { v := pick(t); v.noList = !v.noList },
			"toggle peers":       func(t *rapid.T) { v := pick(t); v.noPeers = !v.noPeers },
			"toggle listed":      func(t *rapid.T) { v := pick(t); v.unlisted = !v.unlisted },
			"pause":              func(t *rapid.T) { v := pick(t); v.paused = !v.paused },
			"appends":            func(t *rapid.T) { pick(t).fate = fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")) },
			"land": func(t *rapid.T) {
				if len(w.late) > 0 {
					w.land(rapid.IntRange(0, len(w.late)-1).Draw(t, "record"))
				}
			},
			"kill": func(t *rapid.T) { w.kill(pick(t)) },
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.vms)-1).Draw(t, "index")
				w.kill(w.vms[i])
				w.vms[i] = w.newVM(i)
			},
			"replace": func(t *rapid.T) {
				if len(w.vms) < 5 {
					w.kill(pick(t))
					w.vms = append(w.vms, w.newVM(len(w.vms)))
				}
			},
			"heal": func(*rapid.T) { w.heal() },
			"add workspace": func(*rapid.T) {
				if w.addedAt.IsZero() {
					w.addedAt = w.now
					w.level[workspaceNew] = worldBurst * int64(time.Second)
				}
			},
			"take": func(t *rapid.T) {
				v, ws := pick(t), name(t)
				if v.dead.IsZero() {
					g, _ := v.limiter.Take(ws, tokens.Draw(t, "tokens"), clock)
					w.spend("", ws, v, g)
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
					w.spend(id, ws, v, g)
				}
			},
			"return": func(t *rapid.T) {
				if len(w.grants) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.grants)-1).Draw(t, "grant")
				w.giveBack(i, rapid.Int64Range(0, 400).Draw(t, "spent"))
			},
		})
	})
}

func (w *world) run(t *rapid.T, steps int) {
	for range steps {
		w.advance()
		w.mustHold(t)
	}
}

func (w *world) mustHold(t *rapid.T) {
	if broken := w.check(); broken != "" {
		t.Fatal(broken)
	}
}

func (w *world) kill(v *vm) {
	if v.dead.IsZero() {
		v.dead = w.now
	}
}

// cutOff separates a VM from everything, and the platform takes it off the VM list.
func (w *world) cutOff(v *vm) {
	v.noLog, v.noList, v.noPeers, v.unlisted = true, true, true, true
}

// drainAll spends the whole stock of all VMs, also of paused ones, as if they resumed at this moment.
func (w *world) drainAll(name string) {
	for _, v := range w.vms {
		if v.dead.IsZero() {
			g, _ := v.limiter.Take(name, worldBurst, func() time.Time { return w.now })
			w.spend("", name, v, g)
		}
	}
}

func (w *world) heal() {
	w.logDown = false
	w.listDown = false
	for i, v := range w.vms {
		if !v.dead.IsZero() {
			w.vms[i] = w.newVM(i)
			continue
		}
		v.paused, v.noLog, v.noList, v.noPeers, v.unlisted = false, false, false, false, false
		v.fate = fateAppended
	}
}

// giveBack returns what a request did not spend to the process that paid, once.
func (w *world) giveBack(i int, spent int64) {
	g := w.grants[i]
	w.grants = append(w.grants[:i], w.grants[i+1:]...)
	parts := Unused(g.parts, spent)
	if len(parts) == 0 || !g.from.dead.IsZero() {
		return
	}
	returned := g.from.limiter.Return("", g.workspace, parts, w.now)
	w.level[g.workspace] = min(w.level[g.workspace]+returned*int64(time.Second), worldBurst*int64(time.Second))
}

// TestWorldSharesEvenly guards against slots that stay unheld or uneven once all faults have ended.
func TestWorldSharesEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		w.run(t, 10)
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			v := rapid.SampledFrom(w.vms).Draw(t, "vm")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				w.kill(v)
			case 1:
				v.unlisted = true
			case 2:
				v.noLog = true
			case 3:
				v.fate = fateLost
			}
			w.run(t, rapid.IntRange(1, 80).Draw(t, "steps"))
		}
		w.heal()
		w.run(t, 240)
		for _, e := range w.log[w.start:] {
			var r lease.Record
			if json.Unmarshal(e.data, &r) != nil || r.Kind != lease.KindRenew && w.now.Sub(e.at) < 40*time.Second {
				t.Fatalf("slots still move: %s", e.data)
			}
		}
		total := 0
		for _, v := range w.vms {
			n := len(v.limiter.held)
			if n < 1 || n > 2 {
				t.Fatalf("%s holds %d of %d slots", v.self.VM, n, worldSlots)
			}
			total += n
		}
		if total != worldSlots {
			t.Fatalf("%d of %d slots are held", total, worldSlots)
		}
	})
}
