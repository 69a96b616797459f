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
	// topUrgency is the urgency of priority 0, urgencyPerPriority what each further priority adds, and maxUrgency the
	// upper bound.
	topUrgency         = 3
	urgencyPerPriority = 2
	maxUrgency         = 9
	// versionLimitMargin is the safety margin by which the last request on old weights precedes the settings' version
	// limit.
	versionLimitMargin = 1500 * time.Millisecond
	// defaultOutputTokens is the assumed output if neither a hint nor a limit is given.
	defaultOutputTokens = 64
)

// placementRequest returns the placer's view of a request to a service under the configuration in force, which may be newer
// than the one that the request began under. The caller holds the lock.
func (g *Gateway) placementRequest(r *request, c *traffic.Config, s *traffic.Service, now time.Time) *place.Request {
	p := &place.Request{
		ID: r.id, Service: s.Name, Route: r.route.Name, Workspace: r.workspaceName(), Exclude: r.excluded,
	}
	if s.Engine == nil {
		return p
	}
	p.OnEngine = true
	p.Model = r.call.Model
	p.Chain = r.call.Chain
	p.Prompt = r.call.PromptTokens
	p.Output = r.call.OutputTokens
	if hint := r.call.ExpectedOutput; hint > 0 && hint < p.Output {
		p.Output = hint
	}
	if p.Output == 0 {
		p.Output = defaultOutputTokens
	}
	p.OutputLimit = r.call.OutputTokens
	p.Whole = r.route.Kind != traffic.Streaming
	p.Salt = cacheSalts(p.Model, g.cacheScope(c, r.workspaceName(), now))
	p.Announced = g.announcements[p.Model]
	return p
}

// workspaceName returns the name of the request's workspace, or "" if it has none.
func (r *request) workspaceName() string {
	if r.workspace == nil {
		return ""
	}
	return r.workspace.Name
}

// cacheSalts returns a function that maps a weight version to the salt of cached material. Salts differ by model,
// version and cache scope, see traffic.Config.CacheScope. They are memoized because placement requests the same few versions
// many times.
func cacheSalts(model, scope string) func(version int64) string {
	known := map[int64]string{}
	return func(version int64) string {
		salt, ok := known[version]
		if !ok {
			h := fnv.New64a()
			_, _ = fmt.Fprintf(h, "%q %d %q", model, version, scope)
			salt = strconv.FormatUint(h.Sum64(), 36)
			known[version] = salt
		}
		return salt
	}
}

// serviceProperties returns the properties of a service that placement depends on. The caller holds the lock.
func (g *Gateway) serviceProperties(
	c *traffic.Config, s *traffic.Service, p *place.Request, endpoints []*fleet.Endpoint,
) place.ServiceProperties {
	f := place.ServiceProperties{DataCentre: g.settings.DataCentre}
	if !g.limits.Empty() {
		f.Limits = placementLimits{g.limits}
	}
	if _, isBrittle := g.brittle.Rejections(s.Name); isBrittle {
		f.Rejections = g.brittleService(s, len(p.Exclude) > 0)
	}
	if s.ConnectionLimit > 0 {
		f.Connections = placementConnections{limits: g.connections, limit: s.ConnectionLimit}
	}
	if len(endpoints) > 0 {
		f.Slots = endpoints[0].Slots
	}
	f.Endpoints = len(g.endpoints.Usable(s.Name))
	if s.Engine == nil {
		return f
	}
	f.Slots = s.Engine.Slots
	f.CacheTokens = s.Engine.CacheTokens
	f.VersionLimit = g.settings.VersionLimit() - versionLimitMargin
	f.LinkTokensPerMs = tokensPerMs(s.Engine.LinkMbps, s.Engine.TokenBytes)
	if store := c.StoreFor(p.Subject()); store != nil {
		f.Store = store.Address
		f.StoreTokens = store.CacheTokens
		f.StoreTokensPerMs = tokensPerMs(store.LinkMbps, s.Engine.TokenBytes)
	}
	return f
}

// tokensPerMs returns the speed of a link in tokens of the given size per millisecond.
func tokensPerMs(mbps float64, tokenBytes int) float64 {
	const bitsPerMs = 1e3 // of one Mbit/s
	return mbps * bitsPerMs / bitsPerByte / float64(max(tokenBytes, 1))
}

// urgency returns the rank of a request in an engine's queue, 0 first.
func urgency(r *request) int {
	priority := r.route.Priority
	if r.workspace != nil && r.workspace.HasPriority {
		priority = r.workspace.Priority
	}
	return min(topUrgency+urgencyPerPriority*priority, maxUrgency)
}
