package gateway

import (
	"errors"
	"fmt"
	"testing"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/place"
)

// Guards against what is known of a cache being discarded because its source once answered with something that is no answer, and
// against contents that stay known of a source that does not answer.
func TestBrokenCacheEventsLeaveTheLastState(t *testing.T) {
	malformed := &httpcall.Error{Written: true, Err: &httpcall.ResponseError{Detail: "no status line"}}
	for _, c := range []struct {
		err  error
		kept bool
	}{{malformed, true}, {fmt.Errorf("events: %w", malformed), true}, {errors.New("no answer"), false}} {
		g := newTestGateway(0)
		now := g.now()
		g.endpoints.Apply("e", logpos.Position{Offset: 1}, &fleet.Endpoint{
			ID: "e", Service: "s", Address: "a:1", Ready: true, StartTimeMs: 1, Versions: map[string]int64{"m": 1},
		}, now)
		e := g.endpoints.Get("e")
		w := &cacheWatch{address: place.SourceOf(e)}
		g.applyCacheEvents(w, CacheEvents{Epoch: 3, Next: 7, Events: []place.CacheEvent{{Salt: "salt", Part: 1, Tokens: 900}}})
		g.recordWatchFailure(w, c.err)
		r := &place.Request{
			ID: 1, OnEngine: true, Model: "m", Prompt: 1000, Output: 1, Salt: func(int64) string { return "salt" },
			Chain: []place.Part{{ID: 1, Tokens: 900}, {ID: 2, Tokens: 100}},
		}
		got := g.placer.Place(r, []*fleet.Endpoint{e}, place.ServiceProperties{Slots: 8, CacheTokens: 10_000}, now)
		if kept := got.UncachedTokens == 100; kept != c.kept || (w.nextEvent == 7) != c.kept {
			t.Errorf("%v: %d tokens are not cached, the next event is %d", c.err, got.UncachedTokens, w.nextEvent)
		}
	}
}
