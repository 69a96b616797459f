package admit

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a workspace that sends five times its rate delaying others. The endpoints serve exactly the sum of the
// rates; each request of another workspace, all of which stay below their rates, waits at most for its own service at
// its rate and for one request of each workspace.
func TestOverloadDelaysOnlyItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"aggressor", "b", "c", "d", "e"}[:rapid.IntRange(2, 5).Draw(t, "workspaces")]
		const rate = 1000 // tokens per second and workspace
		const maxCost = 500
		q := New(Settings{MaxPerWorkspace: 20})
		rates := map[string]int64{}
		next := map[string]int{}
		for _, name := range names {
			rates[name] = rate
			next[name] = rapid.IntRange(0, 500).Draw(t, "start")
		}
		q.SetWeights(rates)
		perToken := time.Second / time.Duration(rate*len(names))
		bound := time.Duration(len(names)+1)*maxCost*perToken + maxCost*time.Second/rate
		free := epoch
		id := uint64(0)
		for ms := range 10_000 {
			now := at(ms)
			for _, name := range names {
				if ms < next[name] {
					continue
				}
				id++
				cost := rapid.IntRange(10, maxCost).Draw(t, "cost")
				gap := cost * 1000 / (rate * 8 / 10)
				if name == names[0] {
					gap = cost * 1000 / (rate * 5)
				}
				next[name] = ms + max(gap, 1)
				err := q.Push(Item{ID: id, Workspace: name, Cost: int64(cost)}, now)
				if err != nil && name != names[0] {
					t.Fatalf("%d ms: a request of %s was refused: %v", ms, name, err)
				}
			}
			for !free.After(now) && q.Len() > 0 {
				item, _ := q.Pop(now)
				if waited := now.Sub(item.PushedAt); waited > bound && item.Workspace != names[0] {
					t.Fatalf("%d ms: a request of %s waited %v, bound %v", ms, item.Workspace, waited, bound)
				}
				if free.Before(now.Add(-time.Millisecond)) {
					free = now
				}
				free = free.Add(time.Duration(item.Cost) * perToken)
			}
		}
	})
}

// push queues n requests of cost 10 without a deadline.
func push(t *testing.T, q *Queue, workspace string, n int, now time.Time) {
	t.Helper()
	for i := range n {
		if err := q.Push(Item{ID: uint64(i), Workspace: workspace, Cost: 10}, now); err != nil {
			t.Fatal(err)
		}
	}
}

// popCounts returns the number of requests of each workspace among the next n.
func popCounts(q *Queue, n int, now time.Time) string {
	counts := map[string]int{}
	for range n {
		item, _ := q.Pop(now)
		counts[item.Workspace]++
	}
	return fmt.Sprint(counts)
}

// Guards against unfair shares between workspaces.
func TestWorkspacesGetFairShares(t *testing.T) {
	cases := []struct {
		failure string
		want    string
		prepare func(q *Queue)
	}{
		{"equal workspaces get unequal shares", "map[a:10 b:10]", func(*Queue) {}},
		{"a workspace gets credit for its idle time", "map[a:10 b:10]", func(q *Queue) {
			push(t, q, "b", 1, at(0))
			push(t, q, "a", 100, at(0))
			popCounts(q, 91, at(1))
		}},
		{"a workspace is charged for work done while no other waited", "map[a:10 b:10]", func(q *Queue) {
			push(t, q, "a", 100, at(0))
			popCounts(q, 100, at(1))
			q.Charge("a", 5000)
		}},
		{"work beyond the expected cost is not charged", "map[a:5 b:15]", func(q *Queue) {
			push(t, q, "a", 1, at(0))
			push(t, q, "b", 1, at(0))
			q.Charge("a", 100)
		}},
		{"the weights are not used", "map[a:15 b:5]", func(q *Queue) {
			q.SetWeights(map[string]int64{"a": 300, "b": 100})
		}},
	}
	for _, c := range cases {
		q := New(Settings{})
		c.prepare(q)
		push(t, q, "a", 50, at(2))
		push(t, q, "b", 50, at(2))
		if got := popCounts(q, 20, at(3)); got != c.want {
			t.Errorf("%s: served %s, want %s", c.failure, got, c.want)
		}
	}
}

// refusalOf returns the code and the RetryAfter of a refusal.
func refusalOf(err error) (refusal.Code, time.Duration) {
	var e *refusal.Error
	if !errors.As(err, &e) {
		return "", 0
	}
	return e.Code, e.RetryAfter
}

// Guards against a full queue that accepts requests, refuses without a time to retry, or takes the room of other
// workspaces.
func TestQueueIsBounded(t *testing.T) {
	q := New(Settings{MaxPerWorkspace: 3, MaxItems: 5})
	push(t, q, "a", 3, epoch)
	if c, retry := refusalOf(q.Push(Item{Workspace: "a"}, epoch)); c != refusal.CodeQueueFull || retry <= 0 {
		t.Fatalf("code %q, retry after %v", c, retry)
	}
	push(t, q, "b", 2, epoch)
	if c, _ := refusalOf(q.Push(Item{Workspace: "c"}, epoch)); c != refusal.CodeQueueFull {
		t.Fatalf("code %q beyond the bound of all queues, want queue full", c)
	}
	if !q.Remove("a", 0, epoch) || q.Remove("a", 99, epoch) || q.Len() != 4 {
		t.Fatal("Remove leaves a queued request in place or removes one that is not queued")
	}
}

// busyQueue returns a queue that was observed to serve 1000 tokens per second, and the time in milliseconds. Requests
// that found it empty must not count, or the predicted wait behind the first backlog would be too short.
func busyQueue(t *testing.T) (*Queue, int) {
	q := New(Settings{})
	for ms := range 5000 {
		push(t, q, "a", 1, at(ms))
		q.Pop(at(ms))
	}
	push(t, q, "a", 200, at(5000))
	ms := 5000
	for range 150 {
		ms += 10
		q.Pop(at(ms))
	}
	return q, ms
}

// Guards against queueing a request that cannot meet its deadline, which must be refused at once with the time after
// which it would fit, and against refusing one that can because another workspace's backlog counts in full.
func TestMissedDeadlineIsRefusedEarly(t *testing.T) {
	q, ms := busyQueue(t)
	now := at(ms)
	if wait := q.Wait("a", now); wait < 450*time.Millisecond || wait > 550*time.Millisecond {
		t.Fatalf("predicted wait %v behind 500 tokens at 1000 tokens a second", wait)
	}
	item := Item{Workspace: "a", Cost: 10, Deadline: now.Add(300 * time.Millisecond), ServiceTime: 100 * time.Millisecond}
	if c, retry := refusalOf(q.Push(item, now)); c != refusal.CodeDeadline || retry < 200*time.Millisecond || retry > 400*time.Millisecond {
		t.Fatalf("code %q, retry after %v, want about 300ms", c, retry)
	}
	item.Workspace = "b"
	if err := q.Push(item, now); err != nil {
		t.Fatalf("a workspace without backlog was refused: %v", err)
	}
	item.Workspace, item.Deadline = "a", now.Add(time.Second)
	if err := q.Push(item, now); err != nil {
		t.Fatalf("a request that can be served in time was refused: %v", err)
	}
}

// Guards against requests that wait past their deadline when the endpoints stop serving. Those behind a backlog expire
// earlier, and those without a deadline stay.
func TestExpireWhenServiceStops(t *testing.T) {
	q, ms := busyQueue(t)
	item := Item{Deadline: at(ms + 3000), ServiceTime: 500 * time.Millisecond}
	for i, name := range []string{"a", "b"} {
		item.ID, item.Workspace = uint64(1000+i), name
		if err := q.Push(item, at(ms)); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		after int
		want  string
	}{{1000, "[]"}, {1900, "[1000]"}, {2499, "[]"}, {2501, "[1001]"}} {
		ids := []uint64{}
		for _, item := range q.Expire(at(ms + c.after)) {
			ids = append(ids, item.ID)
		}
		if fmt.Sprint(ids) != c.want {
			t.Errorf("after %d ms: expired %v, want %s", c.after, ids, c.want)
		}
	}
	if q.Len() != 50 {
		t.Errorf("%d requests without a deadline left, want 50", q.Len())
	}
}

// Guards against keeping the state of idle workspaces indefinitely.
func TestIdleWorkspacesAreForgotten(t *testing.T) {
	q := New(Settings{})
	for i := range 100 {
		push(t, q, fmt.Sprint(i), 1, at(i))
		q.Pop(at(i))
	}
	push(t, q, "last", 1, at(200))
	q.Expire(at(200))
	if len(q.workspaces) != 1 {
		t.Fatalf("state of %d workspaces kept, want 1", len(q.workspaces))
	}
}

// Guards against retries that multiply the load of a failing endpoint: in any ten seconds they are at most three plus a
// tenth of the first attempts. A VM with few requests must be able to retry.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		var firsts, retries []int
		ms := 0
		within := func(times []int, window int) (n int) {
			for _, at := range times {
				if at > ms-window {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			ms += rapid.IntRange(0, 400).Draw(t, "ms")
			if rapid.IntRange(0, 3).Draw(t, "retry") > 0 {
				b.CountFirst(at(ms))
				firsts = append(firsts, ms)
				continue
			}
			if !b.Take(at(ms)) {
				if n := within(retries, 11_000); n < retryFloor {
					t.Fatalf("%d ms: refused after %d retries", ms, n)
				}
				continue
			}
			retries = append(retries, ms)
			if n, f := within(retries, 10_000), within(firsts, 10_000); n > retryFloor+f/10 {
				t.Fatalf("%d ms: retry %d allowed for %d first attempts in ten seconds", ms, n, f)
			}
		}
	})
}

// Guards against retries that were held and not used and that count as used, and against a hold of fewer than are needed.
func TestHeldRetriesAreGivenBack(t *testing.T) {
	var b RetryBudget
	if taken := b.TakeSome(2, 2, at(0)); taken != 2 {
		t.Fatalf("%d of two retries are held", taken)
	}
	if taken := b.TakeSome(2, 2, at(0)); taken != 0 {
		t.Errorf("%d retries are held where one is left and two are needed", taken)
	}
	if taken := b.TakeSome(1, 2, at(0)); taken != 1 {
		t.Errorf("%d retries are held where one is left and enough", taken)
	}
	if b.CanRetry(at(500)) {
		t.Error("a retry is allowed beyond those that are held")
	}
	b.GiveBack(at(2000))
	if !b.Take(at(2000)) || b.CanRetry(at(2000)) {
		t.Error("a retry that was given back, and only that one, is allowed")
	}
}

// Guards against every VM using the budget of the whole system: a floor of three for each of hundreds of VMs, and again
// after each restart, exceeds what all of them may send together.
func TestRetriesOfAllVMsKeepTheSharedBudget(t *testing.T) {
	const ratio = 0.2
	for _, c := range []struct {
		vms      int
		slack    float64
		requests int
	}{
		{7, 54, 20}, {7, 54, 1100}, {85, 184, 300}, {195, 430, 500}, {410, 860, 900}, {410, 860, 20_000},
	} {
		for _, restarts := range []int{0, 1, 3} {
			sent := 0
			for vm := range c.vms {
				sent += retriesOf(c.requests*(vm+1)/c.vms-c.requests*vm/c.vms, restarts, func(fresh bool) int {
					return RetryFloor(c.slack, c.vms, fresh)
				})
			}
			if allowed := ratio*float64(c.requests) + c.slack; float64(sent) > allowed {
				t.Errorf("%d VMs, %d restarts each, %d requests: %d retries, %.0f allowed", c.vms, restarts, c.requests, sent, allowed)
			}
		}
	}
}

// retriesOf returns the number of retries that one VM sends in a window if every attempt fails and it restarts the
// given number of times.
func retriesOf(requests, restarts int, floor func(fresh bool) int) (sent int) {
	for start := range restarts + 1 {
		b := RetryBudget{}
		b.SetFloor(floor(start > 0))
		for range (requests + restarts) / (restarts + 1) {
			b.CountFirst(at(0))
		}
		for b.Take(at(1)) {
			sent++
		}
	}
	return sent
}

// Guards against VMs of a small system with few requests not being able to retry at all.
func TestIdleVMsOfASmallSystemRetry(t *testing.T) {
	if floor := RetryFloor(54, 7, false); floor < 3 {
		t.Errorf("%d retries allowed in a window, want at least 3", floor)
	}
	if floor := RetryFloor(54, 7, true); floor < 1 {
		t.Errorf("%d retries allowed in a window after a start, want at least 1", floor)
	}
}
