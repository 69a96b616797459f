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
	// controlLongPoll is the long-poll time of the control stream. It stays well below lease.EvidenceTTL, because only a
	// completed read renews the evidence.
	controlLongPoll = 500 * time.Millisecond
	// controlBatch is the maximum number of control records per read.
	controlBatch = 1000
	// leasePlanInterval is the time between two plans of claims and releases.
	leasePlanInterval = 200 * time.Millisecond
	// slotUpdateInterval is the time between two updates of the limiter's slots.
	slotUpdateInterval = 100 * time.Millisecond
	// vouchInterval is the time between two collections of vouches of other holders (evidence E4).
	vouchInterval = 500 * time.Millisecond
	// maxControlReadAge is the age of the newest complete read of the control stream below which the log counts as
	// readable.
	maxControlReadAge = 1500 * time.Millisecond
	// releaseTimeout limits the wait for the releases of a VM that shuts down.
	releaseTimeout = 2 * time.Second
)

// followControl applies the control stream until the router stops.
func (r *Router) followControl() {
	for r.ctx.Err() == nil {
		if !r.readControl() {
			r.pause(retryPause)
		}
	}
}

// readControl reads the control stream once and reports whether the log answered.
func (r *Router) readControl() bool {
	from := locked(&r.leases, func(m *lease.Manager) int64 { return m.Next() })
	started := time.Now()
	page, err := r.logs.Read(r.ctx, logservice.StreamControl, from, controlBatch, controlLongPoll)
	if err != nil {
		r.controlReadFailed.Store(true)
		return false
	}
	r.controlReadFailed.Store(false)
	r.recordLogAnswer()
	if page.Start > from {
		r.leases.do(func(m *lease.Manager) { m.Reset(page.Start) })
	}
	r.applyControl(page)
	next := locked(&r.leases, func(m *lease.Manager) int64 { return m.Next() })
	r.controlLogStart.Store(page.Start)
	if next >= page.End {
		r.lastControlRead.store(started)
		r.observeLeaseEvidence(lease.Evidence{Kind: lease.OwnRead, At: started, Next: next})
	}
	return true
}

// applyControl applies one page of the control stream to the lease manager.
func (r *Router) applyControl(page logservice.Page) {
	r.leases.do(func(m *lease.Manager) {
		now := time.Now()
		for _, record := range page.Records {
			m.Apply(record.Offset, record.Data, now)
		}
	})
}

// observeLeaseEvidence adds evidence to the lease manager and updates the limiter's slots.
func (r *Router) observeLeaseEvidence(ev lease.Evidence) {
	r.leases.do(func(m *lease.Manager) { m.Observe(ev, time.Now()) })
	r.updateHeldSlots()
}

// updateHeldSlots sets the slots that the limiter of this VM may spend from, and until when.
func (r *Router) updateHeldSlots() {
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
	r.limits.do(func(l *limit.Limiter) { l.SetHeldSlots(slots, now) })
}

// logReadable reports whether the log has recently answered a complete read of the control stream.
func (r *Router) logReadable() bool {
	if r.controlReadFailed.Load() {
		return false
	}
	age, ok := r.lastControlRead.age(time.Now())
	return ok && age < maxControlReadAge
}

// controlReadAge returns the age of the newest complete read of the control stream in milliseconds, or -1 if there was
// none.
func (r *Router) controlReadAge(now time.Time) int64 {
	age, ok := r.lastControlRead.age(now)
	if !ok {
		return -1
	}
	return ageMillis(max(0, age))
}

// observePeerRead adds the read of the control stream in a peer's heartbeat as lease evidence (E2).
func (r *Router) observePeerRead(h *member.Heartbeat, started time.Time) {
	for _, o := range h.Offsets {
		if o.Stream != logservice.StreamControl || o.Age < 0 {
			continue
		}
		r.observeLeaseEvidence(lease.Evidence{Kind: lease.PeerRead, At: started.Add(-o.Age), Next: o.Next})
	}
}

// planLeases appends the claims, releases and renewals that are due.
func (r *Router) planLeases() {
	view := r.leaseView()
	records := locked(&r.leases, func(m *lease.Manager) []lease.Record { return m.Plan(time.Now(), view) })
	r.updateHeldSlots()
	if len(records) == 0 {
		return
	}
	data := make([][]byte, 0, len(records))
	for _, record := range records {
		data = append(data, record.Encode())
		r.record(partLease, string(record.Kind), "", record.Resource)
	}
	if err := r.appendToLog(logservice.StreamControl, data); err != nil {
		r.debug(partLease).Err(err).Msg("lease: append failed")
	}
}

// leaseView returns the state of the router that a lease plan is based on.
func (r *Router) leaseView() lease.View {
	state := r.state.Load()
	now := time.Now()
	view := lease.View{
		Slots:          state.Defaults().LimitSlots,
		Draining:       r.draining.Load(),
		CanIssueOrders: !r.draining.Load(),
		Retention:      time.Duration(state.Defaults().RetentionSeconds) * time.Second,
		LogStart:       r.controlLogStart.Load(),
		Jitter:         rand.Float64(),
	}
	if !view.Draining {
		view.Live = append(view.Live, r.settings.VM)
	}
	view.AllAnswer = r.vmListReadable.Load()
	for _, m := range locked(&r.members, func(t *member.Table) []member.Member { return t.Members(now) }) {
		if !m.Listed {
			continue
		}
		if !m.Draining {
			view.Live = append(view.Live, m.Name)
		}
		if m.LastHeartbeat == nil || now.Sub(m.AnsweredAt) >= lease.EvidenceTTL {
			view.AllAnswer = false
			continue
		}
		view.PeerHolds = append(view.PeerHolds, m.LastHeartbeat.Slots...)
	}
	return view
}

// collectVouches collects vouches (evidence E4) from new answers of the other holders while neither the log nor the VM
// list can be read.
func (r *Router) collectVouches() {
	if r.logReadable() || r.vmListReadable.Load() {
		return
	}
	started := time.Now()
	electorate := locked(&r.leases, func(m *lease.Manager) []lease.Holder { return m.HoldersToPoll() })
	ev := lease.Evidence{Kind: lease.PeerPoll, At: started}
	answers := make(chan *lease.PeerStatus, len(electorate))
	for _, holder := range electorate {
		go func() { answers <- r.requestVouch(holder) }()
	}
	for range electorate {
		if vouch := <-answers; vouch != nil {
			ev.PeerStatuses = append(ev.PeerStatuses, *vouch)
		}
	}
	r.observeLeaseEvidence(ev)
}

// requestVouch returns the vouch of a holder, or nil if it does not answer.
func (r *Router) requestVouch(holder lease.Holder) *lease.PeerStatus {
	h := r.exchangeHeartbeat(holder.Address)
	if h == nil {
		return nil
	}
	vouch := &lease.PeerStatus{
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

// releaseLeases releases the leases of a VM that shuts down, so that others take them over at once. It gives up after
// releaseTimeout or when the log cannot be read.
func (r *Router) releaseLeases() {
	until := time.Now().Add(releaseTimeout)
	for time.Now().Before(until) {
		r.planLeases()
		holdsLeases := locked(&r.leases, func(m *lease.Manager) bool { return m.ClaimPending() || len(m.Held(time.Now())) > 0 })
		if !holdsLeases || !r.logReadable() {
			return
		}
		r.pause(leasePlanInterval)
	}
}
