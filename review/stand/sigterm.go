//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Figures of the rolling restart: those of the site's day trouble-2 (share 1, one machine each 2 s). The pages set no number
// for machines that are replaced.
const (
	replacements = 18
	rollGap      = 2 * time.Second
)

// sigtermCase replaces machines one after the other, as over the life of a deployment, and then restarts all machines in
// turn, while callers send drafts.
func sigtermCase(l *lab, trouble bool) (bool, error) {
	if err := l.startSite(3, 3); err != nil {
		return false, err
	}
	for _, w := range l.workers {
		w.SetStream(20, 60*time.Millisecond)
	}
	machines := slices.Clone(l.vms)
	if trouble {
		for i := range replacements {
			zone := zones[i%len(zones)]
			k := slices.IndexFunc(machines, func(v *vm) bool { return v.zone == zone })
			old := machines[k]
			next, err := l.addVM(fmt.Sprintf("front-%s-r%d", zone, i), zone, false)
			if err != nil {
				return false, err
			}
			if err := l.awaitReady(next); err != nil {
				return false, err
			}
			time.Sleep(250 * time.Millisecond)
			old.kill()
			machines = append(slices.Delete(machines, k, k+1), next)
			l.line("machine %s replaces %s for good", next.name, old.name)
		}
	}
	slices.SortFunc(machines, func(a, b *vm) int { return slices.Index(zones, a.zone) - slices.Index(zones, b.zone) })
	time.Sleep(2 * stabilityWindow)
	l.line("%d machines run; all are restarted in turn", len(machines))
	b := l.startVisits(machines)
	time.Sleep(time.Second)
	var restarts sync.WaitGroup
	for _, v := range machines {
		l.line("machine %s gets SIGTERM", v.name)
		b.leaving(v)
		v.signal(syscall.SIGTERM)
		restarts.Go(func() {
			select {
			case <-v.ended():
			case <-time.After(graceS * time.Second):
				v.kill()
			}
			time.Sleep(500 * time.Millisecond)
			if err := v.start(); err != nil {
				l.line("machine %s does not start: %v", v.name, err)
				return
			}
			if l.await(10*time.Second, v.ready) {
				b.back(v)
			}
		})
		time.Sleep(rollGap)
	}
	restarts.Wait()
	lost := b.stop()
	l.line("%d whole requests got neither an answer nor a refusal around the SIGTERM of their machine", lost)
	return lost > 0, nil
}

// visits are callers of the platform's balancer: they use machines that are ready, and keep to the rules of requesters.
type visits struct {
	lab      *lab
	machines []*vm
	ended    chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	// out are the machines that take no new channels, since their readiness failed twice, with the time of their SIGTERM.
	out map[*vm]time.Time
	// sent is the number of requests that were sent, and lost that of requests without an answer.
	sent, lost int
}

// balancerDelay is the time from the SIGTERM of a machine until the balancer has missed two of its answers.
const balancerDelay = 2 * time.Second

func (b *visits) leaving(v *vm) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.out[v] = time.Now()
}

func (b *visits) back(v *vm) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.out, v)
	b.lab.line("machine %s is ready again", v.name)
}

// pick returns a machine in rotation.
func (b *visits) pick() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	var in []*vm
	for _, v := range b.machines {
		if at, leaving := b.out[v]; !leaving || time.Since(at) < balancerDelay {
			in = append(in, v)
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[rand.IntN(len(in))]
}

// startVisits starts callers whose visits take 60 to 450 ms at their workers, as on the site.
func (l *lab) startVisits(machines []*vm) *visits {
	b := &visits{lab: l, machines: machines, ended: make(chan struct{}), out: map[*vm]time.Time{}}
	for i := range 24 {
		b.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-b.ended:
					return
				case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
				}
				if v := b.pick(); v != nil {
					b.draft(v, fmt.Sprintf("draft-%d-%d", i, n))
				}
			}
		})
	}
	return b
}

// draft sends one draft. It counts as lost if its channel ends without an answer though the request was written whole.
func (b *visits) draft(v *vm, id string) {
	l := b.lab
	l.line("sent %s to %s", id, v.name)
	a := v.send(request{id: id, line: "POST /stream/draft/" + id, key: "key-kumasi", tokens: "100,20", deadline: 15 * time.Second,
		prompt: "a1:60,b" + fmt.Sprintf("%x", rand.Uint32()) + ":40", body: "prompt"})
	l.line("got %s from %s: %v", id, v.name, a)
	b.mu.Lock()
	defer b.mu.Unlock()
	at, leaving := b.out[v]
	if !a.connected || a.complete || !leaving {
		return
	}
	l.line("lost %s: %.3f s after the SIGTERM of %s", id, time.Since(at).Seconds(), v.name)
	b.lost++
}

// stop ends the callers and returns the number of lost requests.
func (b *visits) stop() int {
	close(b.ended)
	b.wg.Wait()
	return b.lost
}
