package limit

import (
	"fmt"
	"time"

	"github.com/corneldeal/corneldeal/pkg/lease"
)

const (
	simSlots     = 4
	simRate      = 100
	simBurst     = 1000
	simStep      = 500 * time.Millisecond
	simRetention = 60 * time.Second
	workspaceOld = "old"
	workspaceNew = "new"
)

// entry is one record of the simulated log.
type entry struct {
	data []byte
	at   time.Time
}

// appendResult is the outcome of an append to the simulated log.
type appendResult int

const (
	appendDone appendResult = iota
	appendLost
	appendDelayed
	appendResults
)

// simulation runs several VMs against one simulated log and one VM list.
type simulation struct {
	now       time.Time
	log       []entry
	start     int64
	inTransit []entry
	vms       []*vm
	logDown   bool
	listDown  bool
	// addedAt is the time at which the release note that adds workspaceNew was published; zero before.
	addedAt time.Time
	// available is a token bucket with the whole burst and rate of each workspace, in nanotokens. A negative value
	// means that the VMs have exceeded the limit over some window.
	available   map[string]int64
	availableAt time.Time
	started     int
	grants      []paidGrant
}

// paidGrant is a grant that was spent and may be refunded.
type paidGrant struct {
	id        string
	workspace string
	parts     []Part
	from      *vm
}

// vm is one VM and the state of its connections.
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
	unlisted     bool
	appendResult appendResult
	readAt       time.Time
	inbox        []func()
}

func newSimulation(vms int) *simulation {
	sim := &simulation{
		now:       time.Unix(1000, 0),
		available: map[string]int64{workspaceOld: simBurst * int64(time.Second)},
	}
	sim.availableAt = sim.now
	for i := range vms {
		sim.vms = append(sim.vms, sim.newVM(i))
	}
	return sim
}

// newVM starts a process with a new incarnation on the VM with the given index.
func (sim *simulation) newVM(i int) *vm {
	sim.started++
	self := lease.Holder{
		VM:          fmt.Sprintf("vm%d", i),
		Incarnation: fmt.Sprintf("i%d", sim.started),
		Address:     fmt.Sprintf("10.0.0.%d:1", i),
	}
	v := &vm{self: self, manager: lease.NewManager(self), limiter: New()}
	v.limiter.Configure(simSlots, sim.limits(false), sim.now)
	return v
}

func (sim *simulation) limits(added bool) []Workspace {
	list := []Workspace{{Name: workspaceOld, TokensPerSecond: simRate, BurstTokens: simBurst}}
	if !sim.addedAt.IsZero() {
		list = append(list, Workspace{
			Name: workspaceNew, TokensPerSecond: simRate, BurstTokens: simBurst, Added: added,
		})
	}
	return list
}

// advance moves the time forward by one step and runs every VM that is neither dead nor paused.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(simStep)
	for name, available := range sim.available {
		refilled := simRate * sim.now.Sub(sim.availableAt).Nanoseconds()
		sim.available[name] = min(available+refilled, simBurst*int64(time.Second))
	}
	sim.availableAt = sim.now
	for sim.start < int64(len(sim.log)) && sim.now.Sub(sim.log[sim.start].at) > simRetention {
		sim.start++
	}
	for _, v := range sim.vms {
		if v.running() {
			sim.runVM(v)
		}
	}
}

func (v *vm) running() bool {
	return v.dead.IsZero() && !v.paused
}

// runVM delivers the reads of the previous step, plans, and starts the next reads.
func (sim *simulation) runVM(v *vm) {
	for _, deliver := range v.inbox {
		deliver()
	}
	v.inbox = nil
	inContact := !v.readAt.IsZero() && sim.now.Sub(v.readAt) < lease.EvidenceTTL
	if !v.readAt.IsZero() {
		v.limiter.Configure(simSlots, sim.limits(inContact), sim.now)
	}
	for _, r := range v.manager.Plan(sim.now, sim.view(v)) {
		sim.append(v, r.Encode())
	}
	var slots []Slot
	for _, h := range v.manager.Held(sim.now) {
		if index, ok := lease.SlotIndex(h.Resource); ok {
			slots = append(slots, Slot{Index: index, Epoch: h.Epoch, Until: h.Until})
		}
	}
	v.limiter.SetHeldSlots(slots, sim.now)
	sim.read(v)
}

func (sim *simulation) view(v *vm) lease.View {
	view := lease.View{
		Slots: simSlots, CanIssueOrders: true, Retention: simRetention, LogStart: sim.start, AllAnswer: true,
		Jitter: float64(v.self.VM[2]%3) / 3,
	}
	for _, o := range sim.vms {
		answers := o == v || sim.connected(v, o)
		if sim.listed(o) && o.dead.IsZero() {
			view.Live = append(view.Live, o.self.VM)
		}
		if o != v && sim.listed(o) {
			view.AllAnswer = view.AllAnswer && answers
		}
		if o == v || !answers {
			continue
		}
		for _, h := range o.manager.Held(sim.now) {
			view.PeerHolds = append(view.PeerHolds, h.Resource)
		}
	}
	return view
}

func (sim *simulation) connected(a, b *vm) bool {
	return a.running() && b.running() && !a.noPeers && !b.noPeers
}

// listed reports whether the VM list shows the VM. The list drops a dead VM after two seconds.
func (sim *simulation) listed(v *vm) bool {
	return !v.unlisted && (v.dead.IsZero() || sim.now.Sub(v.dead) < 2*time.Second)
}

func (sim *simulation) logReadable(v *vm) bool {
	return !sim.logDown && !v.noLog
}

func (sim *simulation) listReadable(v *vm) bool {
	return !sim.listDown && !v.noList
}

func (sim *simulation) append(v *vm, data []byte) {
	if !sim.logReadable(v) || v.appendResult == appendLost {
		return
	}
	if v.appendResult == appendDelayed {
		sim.inTransit = append(sim.inTransit, entry{data: data})
		return
	}
	sim.log = append(sim.log, entry{data: data, at: sim.now})
}

// deliverDelayed appends one record that was in transit.
func (sim *simulation) deliverDelayed(i int) {
	e := sim.inTransit[i]
	sim.inTransit = append(sim.inTransit[:i], sim.inTransit[i+1:]...)
	if !sim.logDown {
		sim.log = append(sim.log, entry{data: e.data, at: sim.now})
	}
}

// read starts reads whose results arrive one step later, or after a pause.
func (sim *simulation) read(v *vm) {
	at := sim.now
	if sim.logReadable(v) {
		sim.readLog(v, at)
	}
	if sim.listReadable(v) {
		ev := lease.Evidence{Kind: lease.ListRead, At: at, AsOf: at, LogUnreachable: !sim.logReadable(v)}
		for _, o := range sim.vms {
			if sim.listed(o) {
				ev.Listed = append(ev.Listed, lease.ListedVM{VM: o.self.VM, Address: o.self.Address})
			}
		}
		v.inbox = append(v.inbox, func() { v.manager.Observe(ev, sim.now) })
		return
	}
	if sim.logReadable(v) {
		return
	}
	ev := lease.Evidence{Kind: lease.PeerPoll, At: at}
	for _, o := range sim.vms {
		if o == v || !sim.connected(v, o) {
			continue
		}
		ev.PeerStatuses = append(ev.PeerStatuses, lease.PeerStatus{
			VM: o.self.VM, Incarnation: o.self.Incarnation, ClaimPending: o.manager.ClaimPending(),
			ReadsLog: sim.logReadable(o), ReadsList: sim.listReadable(o), Next: o.manager.Next(),
		})
		relay := lease.Evidence{Kind: lease.PeerRead, At: o.readAt, Next: o.manager.Next()}
		v.inbox = append(v.inbox, func() { v.manager.Observe(relay, sim.now) })
	}
	v.inbox = append(v.inbox, func() { v.manager.Observe(ev, sim.now) })
}

func (sim *simulation) readLog(v *vm, at time.Time) {
	if v.manager.Next() < sim.start {
		v.manager.Reset(sim.start)
	}
	from := v.manager.Next()
	end := int64(len(sim.log))
	records := sim.log[from:end]
	v.inbox = append(v.inbox, func() {
		for i, e := range records {
			v.manager.Apply(from+int64(i), e.data, sim.now)
		}
		if v.manager.Observe(lease.Evidence{Kind: lease.OwnRead, At: at, Next: end}, sim.now) {
			v.readAt = at
		}
	})
}

// spend counts the tokens of a grant as used by a request.
func (sim *simulation) spend(id, name string, from *vm, g Grant) {
	sim.available[name] -= g.Tokens * int64(time.Second)
	sim.grants = append(sim.grants, paidGrant{id: id, workspace: name, parts: g.Parts, from: from})
}

// findViolation returns a description of the first broken invariant, or an empty string.
func (sim *simulation) findViolation() string {
	for name, available := range sim.available {
		if available < 0 {
			return fmt.Sprintf("workspace %s spent %d nanotokens above rate and burst", name, -available)
		}
	}
	owners := map[string]string{}
	for _, v := range sim.vms {
		if !v.dead.IsZero() {
			continue
		}
		for _, resource := range sim.usableResources(v) {
			if other := owners[resource]; other != "" {
				return fmt.Sprintf("%s and %s both use %s", other, v.self.VM, resource)
			}
			owners[resource] = v.self.VM
		}
	}
	return ""
}

// usableResources returns the resources that the VM would use now, even if it has been paused since it last observed
// evidence.
func (sim *simulation) usableResources(v *vm) []string {
	var out []string
	for _, h := range v.limiter.held {
		if sim.now.Before(h.Until) {
			out = append(out, lease.SlotResource(h.Index))
		}
	}
	if v.manager.MayAct(lease.ResourceOrders, sim.now) {
		out = append(out, lease.ResourceOrders)
	}
	return out
}
