package gateway

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// Guards against waiting for a holder that gives no orders: one that does not know its claim, one that holds another claim,
// and one that knows it but finds nothing to order. One that waits for its predecessor, or that has just claimed, is not
// replaced.
func TestHolderThatGivesNoOrdersIsNotActive(t *testing.T) {
	claimed := logpos.Position{Era: 2, Offset: 4}
	idle := issuer.SuccessorWait(0) + holderIdleMargin
	for name, c := range map[string]struct {
		lease *int64
		// after is the time since the claim became known, and lastOrder the age of the holder's last order.
		after, lastOrder time.Duration
		loading          []string
		active           bool
	}{
		"reports its claim":                   {proto.Int64(4), 2 * time.Second, time.Second, nil, true},
		"has just claimed":                    {nil, claimReportLimit / 2, time.Minute, nil, true},
		"does not know its claim":             {nil, claimReportLimit, time.Second, nil, false},
		"holds an older claim":                {proto.Int64(3), claimReportLimit, time.Second, nil, false},
		"waits for its predecessor":           {proto.Int64(4), idle, -time.Second, nil, true},
		"gives no orders":                     {proto.Int64(4), idle, idle, nil, false},
		"gives none and waits for a load":     {proto.Int64(4), idle, idle, []string{"e"}, true},
		"waits for a load without an end":     {proto.Int64(4), idle + loadTimeout, idle + loadTimeout, []string{"e"}, false},
		"was active before orders became due": {proto.Int64(4), 0, time.Minute, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(0)
			now := steady.Now()
			g.storeEra = 2
			g.setOrderClaim(issuer.Claim{Holder: "vm-1", Boot: 7, At: claimed}, now.Add(-c.after))
			g.ordersDueSince = now.Add(-c.after)
			g.applyDigest(&gossip.Digest{
				Vm: "vm-1", Boot: 7, Sequence: 1, Address: "10.0.1.1", StoreEra: proto.Int64(2), LeaseOffset: c.lease, LeaseEra: 2,
				LastOrderAgeMs: proto.Int64(c.lastOrder.Milliseconds()), Loading: c.loading, UptimeMs: time.Hour.Milliseconds(),
			}, now)
			if got := g.holderActive(now); got != c.active {
				t.Errorf("active %v, want %v", got, c.active)
			}
		})
	}
}

// Guards against calls to the store by each of hundreds of VMs that only want to know the holder, and against a claim from
// before a restore that replaces what is known.
func TestReportedLeaseReplacesOlderClaim(t *testing.T) {
	g := newTestGateway(0)
	now := steady.Now()
	g.storeEra = 2
	report := func(sequence uint64, era, offset int64) {
		g.applyDigest(&gossip.Digest{
			Vm: "vm-1", Boot: 7, Sequence: sequence, Address: "10.0.1.1", StoreEra: proto.Int64(era), LeaseOffset: proto.Int64(offset), LeaseEra: era,
		}, now)
	}
	for i, c := range []struct{ era, offset, want int64 }{{1, 9, -1}, {2, 0, 0}, {2, 5, 5}, {2, 3, 5}} {
		report(uint64(i+1), c.era, c.offset)
		if got := g.orderClaim.At.Offset; got != c.want {
			t.Errorf("after a report of offset %d in era %d the newest claim is at %d, want %d", c.offset, c.era, got, c.want)
		}
	}
}

// Guards against a holder, and a stored announcement time, that no VM recognizes where the store tells no era: each VM would
// claim past the holder in turn and store the time itself.
func TestDutiesAreReportedWithoutEras(t *testing.T) {
	now := steady.Now()
	holder, other := newTestGateway(0), newTestGateway(0)
	holder.settings.VM, holder.settings.Address = "holder", "10.0.0.2"
	holder.streams[OperatorStream].answeredAt = now
	at := logpos.Position{Offset: 3}
	holder.lease.Claimed(at, issuer.NoPredecessor, time.Time{}, now)
	holder.addAnnouncement("m", place.Announcement{Version: 2, At: now})
	other.addAnnouncement("m", place.Announcement{Version: 2, At: now})
	holder.recordStored("m", 2)
	other.applyDigest(holder.digest(1, now), now)
	if got := other.orderClaim; got.Holder != "holder" || got.At != at {
		t.Errorf("the newest claim is %+v", got)
	}
	if !other.holderActive(now) {
		t.Error("the holder does not count as active")
	}
	if !other.announcementDutyOf("m").undoneSince.IsZero() {
		t.Error("a stored announcement time counts as not stored")
	}
}

// Guards against a holder of the order lease that keeps it while its orders do not arrive.
func TestVMCutFromEnginesGivesNoOrders(t *testing.T) {
	g := newTestGateway(1)
	now := steady.Now()
	g.config.Store(&traffic.Config{Version: 1, Services: map[string]*traffic.Service{
		"llm": {Name: "llm", Engine: &traffic.Engine{Models: []string{"m"}}},
	}})
	e := &fleet.Endpoint{ID: "e", Service: "llm", Ready: true, Versions: map[string]int64{"m": 1}}
	g.endpoints.Apply("e", logpos.Position{Offset: 1}, e, now)
	g.addAnnouncement("m", place.Announcement{Version: 2, At: now})
	if !g.leaseSituation(now).Pending {
		t.Fatal("no order is due")
	}
	g.cutServices["llm"] = true
	if g.leaseSituation(now).Pending {
		t.Error("a VM that reaches no engine has orders to give")
	}
}
