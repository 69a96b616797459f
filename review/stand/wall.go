//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// configurationMs is the bound of the site within which a desired state is in force.
const configurationMs = 2000

// cachedPart is who made a part of a prompt in the memory of a worker.
type cachedPart struct {
	tenant, request string
}

// caches are the KV caches of all workers, by worker, salt and part with all parts before it.
type caches struct {
	mu   sync.Mutex
	held map[string]map[string]cachedPart
}

// use returns the parts that a request finds at a worker and who made them, and keeps those that it reads itself.
func (c *caches) use(worker string, headers map[string]string, source string) []cachedPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.held[worker]
	if own == nil {
		own = map[string]cachedPart{}
		c.held[worker] = own
	}
	var found []cachedPart
	key, prefix := headers["cache-salt"]+" "+headers["model"], true
	for part := range strings.SplitSeq(headers["prompt-prefix"], ",") {
		key += "," + part
		made, known := own[key]
		if !known && source != "" {
			made, known = c.held[source][key]
		}
		prefix = prefix && known
		if prefix {
			found = append(found, made)
		} else {
			made = cachedPart{tenant: headers["tenant"], request: headers["attempt-id"]}
		}
		own[key] = made
	}
	return found
}

// wallCase makes a tenant isolated whose prompts share parts with those of another tenant.
func wallCase(l *lab, trouble bool) (bool, error) {
	if err := l.startSite(9, 3); err != nil {
		return false, err
	}
	kept := &caches{held: map[string]map[string]cachedPart{}}
	addresses := map[string]string{}
	for _, w := range l.workers {
		addresses[w.Address()] = w.ID
	}
	var mu sync.Mutex
	inForce, breaches := false, 0
	for _, w := range l.workers {
		if w.service != "wordloom" {
			continue
		}
		w.SetOnArrival(func(got receivedRequest) {
			found := kept.use(w.ID, got.Headers, addresses[got.Headers["kv-cache-source"]])
			mu.Lock()
			defer mu.Unlock()
			l.line("run %s of tenant %s at %s, salt %s, prompt %s: %d parts found, %v", got.Headers["attempt-id"],
				got.Headers["tenant"], w.ID, got.Headers["cache-salt"], got.Headers["prompt-prefix"], len(found), found)
			for _, part := range found {
				if inForce && part.tenant != got.Headers["tenant"] && (part.tenant == "hotel" || got.Headers["tenant"] == "hotel") {
					breaches++
					l.line("%s of tenant %s uses what %s of the isolated tenant hotel made", got.Headers["attempt-id"],
						got.Headers["tenant"], part.request)
				}
			}
		})
	}
	send := func(who string, n int) error {
		for i, v := range l.vms {
			id := fmt.Sprintf("%s-%d-%d", who, n, i)
			a := v.send(request{id: id, line: "POST /stream/draft/x", key: "key-" + who, tokens: "6340,20",
				prompt: fmt.Sprintf("c0ffee:2520,beef:3780,%x%02x:40", n+1, i), deadline: 5 * time.Second, body: "prompt"})
			l.line("got %s from %s: %v", id, v.name, a)
			if a.status != 200 {
				return fmt.Errorf("%w: %s got %v", errCannotRun, id, a)
			}
		}
		return nil
	}
	if err := send("hotel", 0); err != nil {
		return false, err
	}
	l.publish(func(config map[string]any) {
		tenants := config["tenants"].([]any)
		tenants[1].(map[string]any)["isolated"] = trouble
		l.line("operator: tenant hotel is isolated: %v", trouble)
	})
	time.Sleep(configurationMs*time.Millisecond + stabilityWindow)
	mu.Lock()
	inForce = trouble
	mu.Unlock()
	for n := range 3 {
		if err := send("kumasi", 10+n); err != nil {
			return false, err
		}
	}
	mu.Lock()
	defer mu.Unlock()
	l.line("%d parts of another tenant's cache were used %d ms and more after the confirmation, one of the two isolated",
		breaches, configurationMs)
	return breaches > 0, nil
}
