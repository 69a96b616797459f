package router

import (
	"math/rand/v2"
	"time"

	"github.com/corneldeal/corneldeal/pkg/lease"
	"github.com/corneldeal/corneldeal/pkg/limit"
	"github.com/corneldeal/corneldeal/pkg/logservice"
	"github.com/corneldeal/corneldeal/pkg/member"
)

const (
	// controlPoll is the long-poll time of the control stream. It is kept well below lease.Forfeit, since only a
	// completed read renews the evidence.
	controlPoll = 500 * time.Millisecond
	// controlBatch is the number of control records read at once.
	controlBatch = 1000
	// planEvery is the time between two plans of claims and releases.
	planEvery = 200 * time.Millisecond
	// holdEvery is the time between two updates of the limiter's slots.
	holdEvery = 100 * time.Millisecond
	// vouchEvery is the time between two rounds of E4 evidence.
	vouchEvery = 500 * time.Millisecond
	// logReadWindow is the age of the newest complete read at which the log counts as readable.
	logReadWindow = 1500 * time.Millisecond
	// releaseWait bounds the wait for the releases of a VM that leaves.
	releaseWait = 2 * time.Second
)

// followControl applies the control stream for as long as the router runs.
func (r *Router) followControl() {
	for r.ctx.Err() == nil {
		if !r.readControl() {
			r.pause(retryPause)
		}
	}
}

// readControl reads once and reports whether the log answered.
func (r *Router) readControl() bool {
	from := read(&r.leases, func(m *lease.Manager) int64 { return m.Next() })
	started := time.Now()
	page, err := r.logs.Read(r.ctx, logservice.StreamControl, from, controlBatch, controlPoll)
	if err != nil {
		r.controlFailed.Store(true)
		return false
	}
	r.controlFailed.Store(false)
	r.logAnswered()
	if page.Start > from {
		r.leases.do(func(m *lease.Manager) { m.Reset(page.Start) })
	}
	r.applyControl(page)
	next := read(&r.leases, func(m *lease.Manager) int64 { return m.Next() })
	r.controlStart.Store(page.Start)
	if next >= page.End {
		r.controlRead.set(started)
		r.observeLease(lease.Evidence{Kind: lease.OwnRead, At: started, Next: next})
	}
	return true
}

func (r *Router) applyControl(page logservice.Page) {
	r.leases.do(func(m *lease.Manager) {
		now := time.Now()
		for _, record := range page.Records {
			m.Apply(record.Offset, record.Data, now)
		}
	})
}

// observeLease adds evidence and passes the slots on to the limiter.
func (r *Router) observeLease(ev lease.Evidence) {
	r.leases.do(func(m *lease.Manager) { m.Observe(ev, time.Now()) })
	r.holdSlots()
}

// holdSlots tells the limiter which slots this VM may spend from, and until when.
func (r *Router) holdSlots() {
	r.leases.mu.Lock()
	defer r.leases.mu.Unlock()
	now := time.Now()
	var slots []limit.Slot
	for _, held := range r.leases.table.Held(now) {
		if index, ok := lease.SlotIndex(held.Resource); ok {
			slots = append(slots, limit.Slot{Index: index, Epoch: held.Epoch, Until: held.Until})
		}
	}
	// The limiter is updated under the lease lock, so that an older set of slots never replaces a newer one.
	r.limits.do(func(l *limit.Limiter) { l.SetHeld(slots, now) })
}

// logReadable tells whether the log has answered a complete read of the control stream lately.
func (r *Router) logReadable() bool {
	if r.controlFailed.Load() {
		return false
	}
	age, ok := r.controlRead.age(time.Now())
	return ok && age < logReadWindow
}

// controlAge is the age of the newest complete read of the control stream in milliseconds, or -1.
func (r *Router) controlAge(now time.Time) int64 {
	age, ok := r.controlRead.age(now)
	if !ok {
		return -1
	}
	return ageMillis(max(0, age))
}

// observePeerRead takes a peer's relayed read as evidence (E2).
func (r *Router) observePeerRead(h *member.Heartbeat, started time.Time) {
	for _, o := range h.Offsets {
		if o.Stream != logservice.StreamControl || o.Age < 0 {
			continue
		}
		r.observeLease(lease.Evidence{Kind: lease.PeerRead, At: started.Add(-o.Age), Next: o.Next})
	}
}

// planLeases appends the claims, releases and renewals that are due.
func (r *Router) planLeases() {
	view := r.leaseView()
	records := read(&r.leases, func(m *lease.Manager) []lease.Record { return m.Plan(time.Now(), view) })
	r.holdSlots()
	if len(records) == 0 {
		return
	}
	data := make([][]byte, 0, len(records))
	for _, record := range records {
		data = append(data, record.Encode())
		r.record(partLease, string(record.Kind), "", record.Resource)
	}
	if err := r.append(logservice.StreamControl, data); err != nil {
		r.debug(partLease).Err(err).Msg("lease: append failed")
	}
}

func (r *Router) leaseView() lease.View {
	state := r.state.Load()
	now := time.Now()
	view := lease.View{
		Slots:     state.Defaults().LimitSlots,
		Draining:  r.draining.Load(),
		Orders:    !r.draining.Load(),
		Retention: time.Duration(state.Defaults().RetentionSeconds) * time.Second,
		LogStart:  r.controlStart.Load(),
		Jitter:    rand.Float64(),
	}
	if !view.Draining {
		view.Live = append(view.Live, r.settings.VM)
	}
	view.AllAnswer = r.vmListReadable.Load()
	for _, m := range read(&r.members, func(t *member.Table) []member.Member { return t.Members(now) }) {
		if !m.Listed {
			continue
		}
		if !m.Draining {
			view.Live = append(view.Live, m.Name)
		}
		if m.Last == nil || now.Sub(m.Answered) >= lease.Forfeit {
			view.AllAnswer = false
			continue
		}
		view.PeerHolds = append(view.PeerHolds, m.Last.Slots...)
	}
	return view
}

// vouchRound collects E4 evidence from the newest answers of the other holders while neither log nor VM list can
// be read.
func (r *Router) vouchRound() {
	if r.logReadable() || r.vmListReadable.Load() {
		return
	}
	started := time.Now()
	electorate := read(&r.leases, func(m *lease.Manager) []lease.Holder { return m.Electorate() })
	ev := lease.Evidence{Kind: lease.PeerVouch, At: started}
	answers := make(chan *lease.Vouch, len(electorate))
	for _, holder := range electorate {
		go func() { answers <- r.askVouch(holder) }()
	}
	for range electorate {
		if vouch := <-answers; vouch != nil {
			ev.Vouches = append(ev.Vouches, *vouch)
		}
	}
	r.observeLease(ev)
}

func (r *Router) askVouch(holder lease.Holder) *lease.Vouch {
	h := r.askHeartbeat(holder.Address)
	if h == nil {
		return nil
	}
	vouch := &lease.Vouch{
		VM:           h.VM,
		Incarnation:  h.Incarnation,
		ReadsLog:     h.LogReadable,
		ReadsList:    h.VMListReadable,
		ClaimPending: h.ClaimPending,
	}
	for _, o := range h.Offsets {
		if o.Stream == logservice.StreamControl {
			vouch.Next = o.Next
		}
	}
	return vouch
}

// leave releases the leases of a VM that stops, so that others take them over at once.
func (r *Router) leave() {
	until := time.Now().Add(releaseWait)
	for time.Now().Before(until) {
		r.planLeases()
		held := read(&r.leases, func(m *lease.Manager) bool { return m.ClaimPending() || len(m.Held(time.Now())) > 0 })
		if !held || !r.logReadable() {
			return
		}
		r.pause(planEvery)
	}
}
