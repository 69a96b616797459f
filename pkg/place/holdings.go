package place

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

const (
	// holdFor is the time for which an engine is expected to keep a part after its last use here.
	holdFor = 8 * time.Second
	// maxHoldings bounds the remembered parts.
	maxHoldings = 8192
)

// holding identifies a part on one endpoint. Wall and version keep cached material apart.
type holding struct {
	endpoint string
	born     int64
	version  int64
	wall     string
	part     uint64
}

// holdings predicts which prompt parts the engines hold, from the requests that this VM sent there.
type holdings struct {
	used map[holding]time.Time
}

func newHoldings() *holdings {
	return &holdings{used: map[holding]time.Time{}}
}

func key(e *fleet.Endpoint, version int64, r *Request, part uint64) holding {
	return holding{endpoint: e.ID, born: e.Born, version: version, wall: r.Wall, part: part}
}

// held returns the tokens of the leading shared parts that the endpoint should hold.
func (h *holdings) held(e *fleet.Endpoint, version int64, r *Request, now time.Time) int {
	tokens := 0
	for i, part := range r.Chain {
		if i == len(r.Chain)-1 {
			break
		}
		at, ok := h.used[key(e, version, r, part.ID)]
		if !ok || now.Sub(at) > holdFor {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

func (h *holdings) add(e *fleet.Endpoint, version int64, r *Request, now time.Time) {
	if len(h.used) > maxHoldings {
		h.expire(now)
	}
	for i, part := range r.Chain {
		if i == len(r.Chain)-1 {
			break
		}
		h.used[key(e, version, r, part.ID)] = now
	}
}

func (h *holdings) expire(now time.Time) {
	for k, at := range h.used {
		if now.Sub(at) > holdFor || len(h.used) > maxHoldings {
			delete(h.used, k)
		}
	}
}

// drop forgets what an endpoint held, since it may have crashed.
func (h *holdings) drop(endpoint string) {
	for k := range h.used {
		if k.endpoint == endpoint {
			delete(h.used, k)
		}
	}
}
