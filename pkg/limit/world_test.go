package limit

import (
	"fmt"
	"time"

	"github.com/corneldeal/corneldeal/pkg/lease"
)

const (
	worldSlots     = 4
	worldRate      = 100
	worldBurst     = 1000
	worldStep      = 500 * time.Millisecond
	worldRetention = 60 * time.Second
	workspaceOld   = "old"
	workspaceNew   = "new"
)

// entry is one record of the simulated log.
type entry struct {
	data []byte
	at   time.Time
}

// fate is what becomes of an append.
type fate int

const (
	fateAppended fate = iota
	fateLost
	fateLate
	fates
)

// world is several VMs against one simulated log and one VM list.
type world struct {
	now      time.Time
	log      []entry
	start    int64
	late     []entry
	vms      []*vm
	logDown  bool
	listDown bool
	// addedAt is when the note that adds workspaceNew was published; zero before.
	addedAt time.Time
	// level is a bucket of the whole burst and rate per workspace, in nanotokens. Spending below zero breaks the
	// limit over some window.
	level   map[string]int64
	levelAt time.Time
	started int
	grants  []paid
}

// paid is a grant that was spent and may be returned.
type paid struct {
	id        string
	workspace string
	parts     []Part
	from      *vm
}

// vm is one VM and its connections.
type vm struct {
	self    lease.Holder
	manager *lease.Manager
	limiter *Limiter
	dead    time.Time
	paused  bool
	noLog   bool
	noList  bool
	noPeers bool
	// unlisted hides the VM from the VM list.
	unlisted bool
	fate     fate
	readAt   time.Time
	inbox    []func()
}

func newWorld(vms int) *world {
	w := &world{
		now:   time.Unix(1000, 0),
		level: map[string]int64{workspaceOld: worldBurst * int64(time.Second)},
	}
	w.levelAt = w.now
	for i := range vms {
		w.vms = append(w.vms, w.newVM(i))
	}
	return w
}

// newVM starts a process of the VM with the index, with a new incarnation.
func (w *world) newVM(i int) *vm {
	w.started++
	self := lease.Holder{
		VM:          fmt.Sprintf("vm%d", i),
		Incarnation: fmt.Sprintf("i%d", w.started),
		Address:     fmt.Sprintf("10.0.0.%d:1", i),
	}
	v := &vm{self: self, manager: lease.NewManager(self), limiter: New()}
	v.limiter.Configure(worldSlots, w.limits(false), w.now)
	return v
}

func (w *world) limits(added bool) []Workspace {
	list := []Workspace{{Name: workspaceOld, TokensPerSecond: worldRate, BurstTokens: worldBurst}}
	if !w.addedAt.IsZero() {
		list = append(list, Workspace{
			Name: workspaceNew, TokensPerSecond: worldRate, BurstTokens: worldBurst, Added: added,
		})
	}
	return list
}

// advance moves the time by one step and lets every running VM work.
func (w *world) advance() {
	w.now = w.now.Add(worldStep)
	for name, level := range w.level {
		minted := worldRate * w.now.Sub(w.levelAt).Nanoseconds()
		w.level[name] = min(level+minted, worldBurst*int64(time.Second))
	}
	w.levelAt = w.now
	for w.start < int64(len(w.log)) && w.now.Sub(w.log[w.start].at) > worldRetention {
		w.start++
	}
	for _, v := range w.vms {
		if v.running() {
			w.work(v)
		}
	}
}

func (v *vm) running() bool {
	return v.dead.IsZero() && !v.paused
}

// work takes in what was read one step ago, plans, and reads again.
func (w *world) work(v *vm) {
	for _, deliver := range v.inbox {
		deliver()
	}
	v.inbox = nil
	inContact := !v.readAt.IsZero() && w.now.Sub(v.readAt) < lease.Forfeit
	if !v.readAt.IsZero() {
		v.limiter.Configure(worldSlots, w.limits(inContact), w.now)
	}
	for _, r := range v.manager.Plan(w.now, w.view(v)) {
		w.append(v, r.Encode())
	}
	var slots []Slot
	for _, h := range v.manager.Held(w.now) {
		if index, ok := lease.SlotIndex(h.Resource); ok {
			slots = append(slots, Slot{Index: index, Epoch: h.Epoch, Until: h.Until})
		}
	}
	v.limiter.SetHeld(slots, w.now)
	w.read(v)
}

func (w *world) view(v *vm) lease.View {
	view := lease.View{
		Slots: worldSlots, Orders: true, Retention: worldRetention, LogStart: w.start, AllAnswer: true,
		Jitter: float64(v.self.VM[2]%3) / 3,
	}
	for _, o := range w.vms {
		answers := o == v || w.peers(v, o)
		if w.listed(o) && o.dead.IsZero() {
			view.Live = append(view.Live, o.self.VM)
		}
		if o != v && w.listed(o) {
			view.AllAnswer = view.AllAnswer && answers
		}
		if o == v || !answers {
			continue
		}
		for _, h := range o.manager.Held(w.now) {
			view.PeerHolds = append(view.PeerHolds, h.Resource)
		}
	}
	return view
}

func (w *world) peers(a, b *vm) bool {
	return a.running() && b.running() && !a.noPeers && !b.noPeers
}

// listed tells what the VM list shows; it drops a dead VM after two seconds.
func (w *world) listed(v *vm) bool {
	return !v.unlisted && (v.dead.IsZero() || w.now.Sub(v.dead) < 2*time.Second)
}

func (w *world) logReadable(v *vm) bool {
	return !w.logDown && !v.noLog
}

func (w *world) listReadable(v *vm) bool {
	return !w.listDown && !v.noList
}

func (w *world) append(v *vm, data []byte) {
	if !w.logReadable(v) || v.fate == fateLost {
		return
	}
	if v.fate == fateLate {
		w.late = append(w.late, entry{data: data})
		return
	}
	w.log = append(w.log, entry{data: data, at: w.now})
}

// land appends one record that was in transit.
func (w *world) land(i int) {
	e := w.late[i]
	w.late = append(w.late[:i], w.late[i+1:]...)
	if !w.logDown {
		w.log = append(w.log, entry{data: e.data, at: w.now})
	}
}

// read starts reads whose results arrive one step later, or after a pause.
func (w *world) read(v *vm) {
	at := w.now
	if w.logReadable(v) {
		w.readLog(v, at)
	}
	if w.listReadable(v) {
		ev := lease.Evidence{Kind: lease.ListRead, At: at, AsOf: at, LogUnreachable: !w.logReadable(v)}
		for _, o := range w.vms {
			if w.listed(o) {
				ev.Listed = append(ev.Listed, lease.ListedVM{VM: o.self.VM, Address: o.self.Address})
			}
		}
		v.inbox = append(v.inbox, func() { v.manager.Observe(ev, w.now) })
		return
	}
	if w.logReadable(v) {
		return
	}
	ev := lease.Evidence{Kind: lease.PeerVouch, At: at}
	for _, o := range w.vms {
		if o == v || !w.peers(v, o) {
			continue
		}
		ev.Vouches = append(ev.Vouches, lease.Vouch{
			VM: o.self.VM, Incarnation: o.self.Incarnation, ClaimPending: o.manager.ClaimPending(),
			ReadsLog: w.logReadable(o), ReadsList: w.listReadable(o), Next: o.manager.Next(),
		})
		relay := lease.Evidence{Kind: lease.PeerRead, At: o.readAt, Next: o.manager.Next()}
		v.inbox = append(v.inbox, func() { v.manager.Observe(relay, w.now) })
	}
	v.inbox = append(v.inbox, func() { v.manager.Observe(ev, w.now) })
}

func (w *world) readLog(v *vm, at time.Time) {
	if v.manager.Next() < w.start {
		v.manager.Reset(w.start)
	}
	from := v.manager.Next()
	end := int64(len(w.log))
	records := w.log[from:end]
	v.inbox = append(v.inbox, func() {
		for i, e := range records {
			v.manager.Apply(from+int64(i), e.data, w.now)
		}
		if v.manager.Observe(lease.Evidence{Kind: lease.OwnRead, At: at, Next: end}, w.now) {
			v.readAt = at
		}
	})
}

// spend counts tokens as used by a request.
func (w *world) spend(id, name string, from *vm, g Grant) {
	w.level[name] -= g.Tokens * int64(time.Second)
	w.grants = append(w.grants, paid{id: id, workspace: name, parts: g.Parts, from: from})
}

// check returns the first broken invariant, or an empty string.
func (w *world) check() string {
	for name, level := range w.level {
		if level < 0 {
			return fmt.Sprintf("workspace %s spent %d nanotokens above rate and burst", name, -level)
		}
	}
	owners := map[string]string{}
	for _, v := range w.vms {
		if !v.dead.IsZero() {
			continue
		}
		for _, resource := range w.acting(v) {
			if other := owners[resource]; other != "" {
				return fmt.Sprintf("%s and %s both act on %s", other, v.self.VM, resource)
			}
			owners[resource] = v.self.VM
		}
	}
	return ""
}

// acting returns the resources that the VM would use now, even if it has been paused since it was told so.
func (w *world) acting(v *vm) []string {
	var out []string
	for _, h := range v.limiter.held {
		if w.now.Before(h.Until) {
			out = append(out, lease.SlotResource(h.Index))
		}
	}
	if v.manager.MayAct(lease.ResourceOrders, w.now) {
		out = append(out, lease.ResourceOrders)
	}
	return out
}
