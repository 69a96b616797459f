package brittle

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

var epoch = time.Unix(1e9, 0)

// at returns a time in milliseconds after epoch.
func at(ms int) time.Time {
	return epoch.Add(time.Duration(ms) * time.Millisecond)
}

// testEndpoint is an endpoint of a service that is brittle in the tests.
var testEndpoint = Endpoint{Incarnation: fleet.Incarnation{ID: "e", StartTimeMs: 1}, Service: "s", Slots: 4}

// testTables returns the tables of a number of VMs that know each other and that the service is brittle.
func testTables(vms, rejections int) []*Table {
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%03d", i))
	}
	var out []*Table
	for _, name := range names {
		t := New(name)
		t.SetMembers(names)
		t.Observe(Answer{Service: "s", Announcement: Announcement{Kind: Announced, Rejections: rejections}}, epoch)
		out = append(out, t)
	}
	return out
}

// crowd is an endpoint that many VMs want to use at the same time.
type crowd struct {
	*rand.Rand
	tables []*Table
	// places is the number of requests that the endpoint accepts.
	places int
	own    []int
	// accepted contains the VM of each request on the endpoint, and unanswered that of each rejected request whose answer is
	// under way.
	accepted, unanswered []int
	rejected             []time.Time
	now                  time.Time
}

// step lets a random thing happen, most often a request.
func (c *crowd) step() {
	switch n := c.IntN(100); {
	case n < 70:
		c.send(c.IntN(len(c.tables)))
	case n < 80:
		c.remove(&c.accepted)
	case n < 95:
		c.answer()
	default:
		c.now = c.now.Add(time.Duration(c.IntN(120)) * time.Millisecond)
	}
}

// send sends a request of a VM if the VM may send one, whatever it knows of the load of a service that is not calm.
func (c *crowd) send(vm int) {
	r := Request{Service: Service{Endpoints: 1, Room: 100, Load: 100*calmUse + c.IntN(100)}, Retry: c.IntN(4) == 0}
	if !c.tables[vm].Judge(testEndpoint, Load{Own: c.own[vm], Total: c.IntN(8)}, r, c.now).Allowed {
		return
	}
	c.own[vm]++
	if len(c.accepted) < c.places {
		c.accepted = append(c.accepted, vm)
		return
	}
	c.unanswered = append(c.unanswered, vm)
	c.rejected = append(c.rejected, c.now)
}

// remove removes a random request from a list and returns its VM.
func (c *crowd) remove(list *[]int) (vm int, ok bool) {
	if len(*list) == 0 {
		return 0, false
	}
	i := c.IntN(len(*list))
	vm = (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	c.own[vm]--
	return vm, true
}

// answer makes the answer to a rejected request arrive. Some of the other VMs hear of it.
func (c *crowd) answer() {
	vm, ok := c.remove(&c.unanswered)
	if !ok {
		return
	}
	c.tables[vm].RecordRejection(testEndpoint, Load{Own: c.own[vm], Total: c.places}, c.now)
	for _, x := range c.tables[vm].RejectionReports(c.now) {
		for other, t := range c.tables {
			if c.IntN(10) == 0 {
				t.MergeRejection(x, c.own[other], c.now)
			}
		}
	}
}

// recentRejections returns the number of rejections in the last second.
func (c *crowd) recentRejections() int {
	c.rejected = slices.DeleteFunc(c.rejected, func(x time.Time) bool { return c.now.Sub(x) >= time.Second })
	return len(c.rejected)
}

// Guards against VMs that together have more requests rejected within a second than an endpoint tolerates, however late they
// learn of rejections and whatever they know of the load, once the service is not calm.
func TestRejectionsStayWithinWhatIsTolerated(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(1, 30).Draw(rt, "vms")
		rejections := rapid.IntRange(1, 20).Draw(rt, "rejections")
		c := &crowd{
			Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)), tables: testTables(vms, rejections), now: epoch,
			places: testEndpoint.Slots + rapid.IntRange(0, 2).Draw(rt, "waiting"), own: make([]int, vms),
		}
		for range 3000 {
			c.step()
			if n := c.recentRejections(); n > rejections {
				rt.Fatalf("%d rejections in a second, %d are tolerated", n, rejections)
			}
		}
	})
}

// Guards against shares that do not add up to what the VMs share.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.IntRange(1, 300).Draw(rt, "total")
		sum := 0
		for _, table := range testTables(rapid.IntRange(1, 60).Draw(rt, "vms"), 5) {
			sum += table.share(table.state(testEndpoint.Incarnation, epoch), total)
		}
		if sum != total {
			rt.Fatalf("shares add up to %d of %d", sum, total)
		}
	})
}

// Guards against VMs without an endpoint that they may use while a large system sends little to a small service.
func TestEveryVMHasEndpointsWhileCalm(t *testing.T) {
	const endpoints = 10
	r := Request{Service: Service{Endpoints: endpoints, Room: endpoints * testEndpoint.Slots, Load: 1}}
	without := 0
	tables := testTables(410, 5)
	for _, table := range tables {
		allowed := 0
		for i := range endpoints {
			e := testEndpoint
			e.ID = fmt.Sprint("e", i)
			if table.Judge(e, Load{}, r, at(calmAfterMs)).Allowed {
				allowed++
			}
		}
		if allowed == 0 {
			without++
		}
	}
	if without > len(tables)/100 {
		t.Errorf("%d of %d VMs may send to no endpoint", without, len(tables))
	}
}

const calmAfterMs = int(calmAfter / time.Millisecond)

// Guards against an end of the brittleness that an earlier answer, one that proves nothing or a malformed one causes, and
// against one that no answer causes.
func TestBrittlenessEndsWithALaterAnswer(t *testing.T) {
	table := testTables(1, 5)[0]
	announce := func(rejections, sent, now int) {
		table.Observe(Answer{Service: "s", Announcement: Announcement{Kind: Announced, Rejections: rejections}, SentAt: at(sent)}, at(now))
	}
	want := func(rejections int, why string) {
		t.Helper()
		if got, _ := table.Rejections("s"); got != rejections {
			t.Errorf("%d rejections, want %d: %s", got, rejections, why)
		}
	}
	announce(3, 0, 100)
	want(3, "a lower number was announced")
	announce(9, 0, 200)
	want(3, "the lowest number holds")
	table.Observe(Answer{Service: "s", SentAt: at(150), Conclusive: true}, at(300))
	want(3, "the request was sent before the last announcement")
	table.Observe(Answer{Service: "s", SentAt: at(250)}, at(300))
	want(3, "the answer proves nothing")
	table.Observe(Answer{Service: "s", Announcement: Announcement{Kind: Malformed}, SentAt: at(250), Conclusive: true}, at(300))
	want(3, "the announcement is malformed")
	if c := table.Observe(Answer{Service: "s", SentAt: at(250), Conclusive: true}, at(300)); !c.Changed || c.After.Brittle {
		t.Errorf("%+v", c)
	}
	want(0, "a later answer lacks the announcement")
	announce(9, 300, 400)
	want(9, "it was announced anew")
}

// Guards against VMs that disagree on what is brittle for long after they heard each other.
func TestReportsSpreadBrittlenessAndItsEnd(t *testing.T) {
	a, b := New("a"), New("b")
	report := func(from, to *Table, now int) {
		for _, s := range from.ServiceReports(true, at(now)) {
			to.Merge(s, at(now))
		}
	}
	a.Observe(Answer{Service: "s", Announcement: Announcement{Kind: Announced, Rejections: 4}}, at(0))
	report(a, b, 10)
	if got, _ := b.Rejections("s"); got != 4 {
		t.Errorf("%d rejections after a report", got)
	}
	a.Observe(Answer{Service: "s", SentAt: at(2000), Conclusive: true}, at(2100))
	report(b, a, 2200)
	if _, isBrittle := a.Rejections("s"); isBrittle {
		t.Error("an older report undid the end")
	}
	report(a, b, 2300)
	if _, isBrittle := b.Rejections("s"); isBrittle {
		t.Error("the end was not reported")
	}
}
