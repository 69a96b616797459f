package gateway

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

const (
	// bitsPerByte converts the bandwidth of links.
	bitsPerByte = 8
	// urgencyTop is the urgency of priority 0, and urgencyStep what each further priority adds.
	urgencyTop  = 3
	urgencyStep = 2
	urgencyMost = 9
	// versionMargin keeps the last request on old weights clear of the limit.
	versionMargin = 1500 * time.Millisecond
	// unsizedOutput is the output that is assumed where neither hint nor limit is given.
	unsizedOutput = 64
)

// placement returns the request as the placer sees it.
func (g *Gateway) placement(r *request, s *traffic.Service) *place.Request {
	p := &place.Request{ID: r.id, Exclude: r.excluded}
	if s.Engine == nil {
		return p
	}
	p.Engine = true
	p.Model = r.call.Model
	p.Chain = r.call.Chain
	p.Prompt = r.call.PromptTokens
	p.Output = r.call.OutputTokens
	if hint := r.call.ExpectedOutput; hint > 0 && hint < p.Output {
		p.Output = hint
	}
	if p.Output == 0 {
		p.Output = unsizedOutput
	}
	p.Salt = salts(p.Model, isolationOf(r.workspace))
	p.Announced = g.announced[p.Model]
	return p
}

// isolationOf returns what separates the cached material of an isolated workspace.
func isolationOf(w *traffic.Workspace) string {
	if w == nil || !w.Isolated {
		return ""
	}
	return w.Name
}

// salts returns what separates cached material by model, weight version and, where the workspace is isolated, workspace.
// Placement asks for the same few versions many times.
func salts(model, isolation string) func(version int64) string {
	known := map[int64]string{}
	return func(version int64) string {
		salt, ok := known[version]
		if !ok {
			h := fnv.New64a()
			_, _ = fmt.Fprintf(h, "%q %d %q", model, version, isolation)
			salt = strconv.FormatUint(h.Sum64(), 36)
			known[version] = salt
		}
		return salt
	}
}

// facts returns the properties of a service for placement. The caller holds the lock.
func (g *Gateway) facts(c *traffic.Config, s *traffic.Service, p *place.Request, endpoints []*fleet.Endpoint) place.Facts {
	f := place.Facts{DataCentre: g.settings.DataCentre}
	if len(endpoints) > 0 {
		f.Slots = endpoints[0].Slots
	}
	if s.Engine == nil {
		return f
	}
	f.Slots = s.Engine.Slots
	f.CacheTokens = s.Engine.CacheTokens
	f.VersionLimit = g.settings.VersionLimit() - versionMargin
	f.LinkTokensPerMs = tokensPerMs(s.Engine.LinkMbps, s.Engine.TokenBytes)
	if store := c.StoreFor(p.Subject()); store != nil {
		f.Store = store.Address
		f.StoreTokens = store.CacheTokens
		f.StoreTokensPerMs = tokensPerMs(store.LinkMbps, s.Engine.TokenBytes)
	}
	return f
}

// tokensPerMs returns the speed of a link in tokens of the given size.
func tokensPerMs(mbps float64, tokenBytes int) float64 {
	const bitsPerMs = 1e3 // of one Mbit/s
	return mbps * bitsPerMs / bitsPerByte / float64(max(tokenBytes, 1))
}

// urgency returns the rank of a request in an engine's queue.
func urgency(r *request) int {
	priority := r.route.Priority
	if r.workspace != nil && r.workspace.HasPriority {
		priority = r.workspace.Priority
	}
	return min(urgencyTop+urgencyStep*priority, urgencyMost)
}
