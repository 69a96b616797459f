package gateway

import (
	"bytes"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/rollout"
)

// maxPastOrders is the number of earlier orders of a service that are remembered, to tell those that a restore of the store
// brings back from new ones.
const maxPastOrders = 8

// rollouts is what this VM knows of roll-outs.
type rollouts struct {
	byService map[string]*serviceRollout
	// references are what the versions in use need for their first tokens, by service. They are kept without an order too, so
	// that slow answers are known as such from the first one on.
	references map[string]*rollout.Reference
	// running counts the attempts of this VM that run.
	running map[runningKey]int
}

// runningKey names the endpoints of a service with one software version.
type runningKey struct {
	service, software string
}

func newRollouts() rollouts {
	return rollouts{
		byService: map[string]*serviceRollout{}, references: map[string]*rollout.Reference{}, running: map[runningKey]int{},
	}
}

// oldRunning returns the number of attempts of this VM that run at other versions than the target of an order.
func (s *rollouts) oldRunning(order rollout.Order) int {
	sum := 0
	for key, n := range s.running {
		if key.service == order.Service && key.software != order.Target {
			sum += n
		}
	}
	return sum
}

// serviceRollout is what this VM knows of the newest order for a service.
type serviceRollout struct {
	order rollout.Order
	// record is that of the order. Its key is empty while the order is known from peers only; its duration is not known then.
	record Record
	// past are the records of earlier orders, oldest first.
	past []Record
	// barred are the targets of earlier orders that did not complete. They may be bad, so they are no old versions.
	barred []string
	// since is the earliest time at which a VM is known to have read the order.
	since time.Time
	// foundAtStart is set if this process read the order with its first records, so it may be older than the process.
	foundAtStart bool
	withdrawn    bool
	follower     *rollout.Follower
	// finalSince is since when this VM knows the final state, or when the store was restored after it. It is zero before.
	finalSince time.Time
	tally      *rollout.Tally
	pool       *rollout.Pool
	// reports are the newest ones of the peers, by VM.
	reports map[string]rolloutReport
	duty    rolloutDuty
}

// rolloutReport is what a peer said last of its part in a roll-out.
type rolloutReport struct {
	boot uint64
	at   time.Time
	// oldRunning is the number of its attempts that run at old endpoints, and followed the share that it follows, in per mille.
	oldRunning int
	followed   int
	// madeAt is when the instruction was made that the peer follows.
	madeAt time.Time
}

// newServiceRollout returns the state of an order that was just read.
func newServiceRollout(order rollout.Order, rollback time.Duration, now time.Time) *serviceRollout {
	return &serviceRollout{
		order: order, since: now, follower: rollout.NewFollower(order.At, rollback), tally: rollout.NewTally(),
		pool: rollout.NewPool(), reports: map[string]rolloutReport{},
	}
}

// replace takes over from an earlier order of the service what outlives it. Earlier may be nil.
func (ro *serviceRollout) replace(earlier *serviceRollout) {
	if earlier == nil {
		return
	}
	ro.barred = slices.Clone(earlier.barred)
	if earlier.follower.State() != rollout.Completed {
		ro.barred = append(ro.barred, earlier.order.Target)
	}
	ro.barred = slices.DeleteFunc(ro.barred, func(software string) bool { return software == ro.order.Target })
	slices.Sort(ro.barred)
	ro.barred = slices.Compact(ro.barred)
	ro.past = slices.Clone(earlier.past)
	if earlier.isOrdered() {
		ro.past = append(ro.past, earlier.record)
	}
	ro.past = ro.past[max(len(ro.past)-maxPastOrders, 0):]
}

// withoutBarred returns the endpoints whose version is not barred. Those in service are all of the service; if every one of
// them is barred, there is nothing else to serve requests, and none is left out.
func (ro *serviceRollout) withoutBarred(endpoints, inService []*fleet.Endpoint) []*fleet.Endpoint {
	isBarred := func(e *fleet.Endpoint) bool { return slices.Contains(ro.barred, e.Software) }
	if len(ro.barred) == 0 || !slices.ContainsFunc(inService, func(e *fleet.Endpoint) bool { return !isBarred(e) }) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), isBarred)
}

// isOrdered reports whether the record of the order is known.
func (ro *serviceRollout) isOrdered() bool {
	return ro.record.Key != ""
}

// observeAge records that a VM knows the order for a time.
func (ro *serviceRollout) observeAge(age time.Duration, at time.Time) {
	if since := at.Add(-age); since.Before(ro.since) {
		ro.since = since
	}
}

// rename records that the order was repeated at another position.
func (ro *serviceRollout) rename(at logpos.Position) {
	ro.order.At = at
	ro.follower.Renamed(at)
}

// applyRolloutOrder applies an operator's order. The caller holds the lock.
func (g *Gateway) applyRolloutOrder(r Record, order RolloutOrder, now time.Time) {
	if reason := g.rolloutOrderFault(order); reason != "" {
		g.ignoreRolloutOrder(r, order, reason)
		return
	}
	known := g.rollouts.byService[order.Service]
	if known != nil && known.repeats(r) {
		g.keepRolloutRecord(known, r)
		return
	}
	if known != nil && known.isOlder(r) {
		g.ignoreRolloutOrder(r, order, "older than the order in force")
		return
	}
	next := rollout.Order{At: r.Position, Service: order.Service, Target: order.Target, Duration: order.Duration}
	ro := known
	if known == nil || known.isOrdered() || known.order.At != r.Position {
		ro = newServiceRollout(next, g.settings.Rollback(), now)
		ro.foundAtStart = !g.streams[OperatorStream].synced
		ro.replace(known)
	}
	ro.order = next
	g.rollouts.byService[order.Service] = ro
	g.keepRolloutRecord(ro, r)
	g.log.info(partOrder).Str("service", order.Service).Str("target", order.Target).Dur("duration_ms", order.Duration).
		Int64("era", r.Position.Era).Int64("offset", r.Position.Offset).Bool("found_at_start", ro.foundAtStart).
		Msg("roll-out ordered")
}

// rolloutOrderFault returns why an order cannot be carried out, or "". The caller holds the lock.
func (g *Gateway) rolloutOrderFault(order RolloutOrder) string {
	c := g.config.Load()
	switch {
	case order.Target == "":
		return "no target"
	case order.Duration <= 0:
		return "no duration"
	case c != nil && c.Services[order.Service] == nil:
		return "unknown service"
	case g.rollouts.byService[order.Service] == nil && g.runsOnly(order.Service, order.Target):
		return "the target is what the service runs"
	}
	return ""
}

// runsOnly reports whether all endpoints of a service have one software version. The caller holds the lock.
func (g *Gateway) runsOnly(service, software string) bool {
	endpoints := g.endpoints.Usable(service)
	return len(endpoints) > 0 && !slices.ContainsFunc(endpoints, func(e *fleet.Endpoint) bool { return e.Software != software })
}

// ignoreRolloutOrder logs that an order changes nothing. The caller holds the lock.
func (g *Gateway) ignoreRolloutOrder(r Record, order RolloutOrder, reason string) {
	g.metrics.count("rollout_orders_ignored_total")
	g.log.warn(partOrder).Str("key", r.Key).Str("service", order.Service).Str("target", order.Target).
		Dur("duration_ms", order.Duration).Int64("era", r.Position.Era).Int64("offset", r.Position.Offset).
		Str("why", reason).Msg("roll-out order ignored")
}

// repeats reports whether a record is that of the order in a newer era, as after a restore of the store. A copy keeps the
// offsets of its records, so an order that was withdrawn is given anew by a record at another offset.
func (ro *serviceRollout) repeats(r Record) bool {
	if !ro.isOrdered() || r.Position.Era <= ro.order.At.Era || !bytes.Equal(r.Value, ro.record.Value) {
		return false
	}
	return !ro.withdrawn || r.Position.Offset == ro.order.At.Offset
}

// isOlder reports whether a record is one before the order in force, also if a restore of the store brings it back.
func (ro *serviceRollout) isOlder(r Record) bool {
	if r.Position.Before(ro.order.At) {
		return true
	}
	return slices.ContainsFunc(ro.past, func(old Record) bool {
		return r.Position.Era > old.Position.Era && r.Position.Offset == old.Position.Offset && bytes.Equal(r.Value, old.Value)
	})
}

// keepRolloutRecord keeps the record of an order, also for peers. The caller holds the lock.
func (g *Gateway) keepRolloutRecord(ro *serviceRollout, r Record) {
	st := g.streams[OperatorStream]
	ro.record = r
	ro.rename(r.Position)
	st.records[r.Key] = r
	st.recordChange(r.Key, r.Position)
	g.requestDigest()
}

// withdrawRollout applies the removal of an operator's record, if it is that of an order. The caller holds the lock.
func (g *Gateway) withdrawRollout(r Record) {
	for _, ro := range g.rollouts.byService {
		if ro.record.Key != r.Key || r.Position.Before(ro.order.At) {
			continue
		}
		st := g.streams[OperatorStream]
		st.records[r.Key] = r
		st.recordChange(r.Key, r.Position)
		if ro.withdrawn {
			return
		}
		ro.withdrawn = true
		g.log.info(partOrder).Str("service", ro.order.Service).Str("target", ro.order.Target).
			Str("state", ro.follower.State().String()).Int64("era", r.Position.Era).Int64("offset", r.Position.Offset).
			Msg("roll-out order withdrawn")
		g.requestDigest()
	}
}

// withdrawUnlistedRollouts withdraws the orders that a complete listing lacks, since their records were removed. An order that
// is missing after a restore of the store stays in force, since the copy may have lost it. The caller holds the lock.
func (g *Gateway) withdrawUnlistedRollouts(listing Listing) {
	listed := make(map[string]bool, len(listing.Records))
	for _, r := range listing.Records {
		listed[r.Key] = true
	}
	for _, ro := range g.rollouts.byService {
		at := ro.order.At
		if ro.isOrdered() && !listed[ro.record.Key] && at.Era == listing.End.Era && at.Before(listing.End) {
			g.withdrawRollout(Record{Key: ro.record.Key, Position: listing.End.Previous()})
		}
	}
}

// followInstruction applies an instruction. The caller holds the lock.
func (g *Gateway) followInstruction(ro *serviceRollout, i rollout.Instruction, source string, now time.Time) {
	before, _ := ro.follower.Newest()
	if !ro.follower.Apply(i) {
		return
	}
	if i.State.IsFinal() && before.State != i.State {
		ro.finalSince = now
	}
	if i.State == before.State && i.SharePerMille == before.SharePerMille {
		return
	}
	g.requestDigest()
	g.log.info(partOrder).Str("service", ro.order.Service).Str("target", ro.order.Target).Str("state", i.State.String()).
		Int("share_per_mille", i.SharePerMille).Int64("claim_era", i.Claim.Era).Int64("claim_offset", i.Claim.Offset).
		Int64("revision", i.Revision).Dur("age_ms", now.Sub(i.MadeAt)).Str("source", source).Msg("roll-out instruction followed")
}
