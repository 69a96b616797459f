package place

import "github.com/corneldeal/corneldeal/pkg/splitmix"

const (
	// localChoices and remoteChoices are the mean numbers of endpoints that are drawn for a request in a system of at least
	// sampleFromPeers peers, in the VM's data centre and in the others. Traffic between data centres is slower and has a price.
	localChoices    = 4
	remoteChoices   = 1
	sampleFromPeers = 20
	// maxSampledMs bounds, in milliseconds, how much worse than the best endpoint the drawn ones may be, so that one that is being loaded, or
	// fails, gets no request while others are well.
	maxSampledMs = 400.0
)

// draw keeps the candidates that hold the shared parts of a request, their home, and a few drawn at random. Many VMs that
// all took the best endpoint by the same late reports would send it everything until the next reports (Mitzenmacher, How
// useful is old information?, 2000). It returns all candidates in a small system, or if those drawn are much worse than the
// best one. It may reorder the candidates.
func (p *Placer) draw(candidates []Candidate, r *Request, f ServiceProperties) []Candidate {
	if len(p.peers) < sampleFromPeers || len(candidates) <= localChoices {
		return candidates
	}
	local := 0
	for i := range candidates {
		if candidates[i].Endpoint.DataCentre == f.DataCentre {
			local++
		}
	}
	best := lowestScore(candidates).Score
	kept := 0
	for i := range candidates {
		c := &candidates[i]
		choices, among := remoteChoices, len(candidates)-local
		if c.Endpoint.DataCentre == f.DataCentre {
			choices, among = localChoices, local
		}
		if c.holdsOrIsHome(r) || p.isDrawn(choices, among) {
			candidates[i], candidates[kept] = candidates[kept], candidates[i]
			kept++
		}
	}
	if kept == 0 || lowestScore(candidates[:kept]).Score > best+maxSampledMs {
		return candidates
	}
	return candidates[:kept]
}

// holdsOrIsHome reports whether a candidate holds the shared parts of a request, or is their home.
func (c *Candidate) holdsOrIsHome(r *Request) bool {
	shared := r.sharedTokens()
	return shared >= minTransferTokens && (c.home || c.CachedTokens > shared-minTransferTokens)
}

// isDrawn reports whether one endpoint is drawn. Of the number among, choices are drawn on average.
func (p *Placer) isDrawn(choices, among int) bool {
	p.choices++
	return splitmix.Number(p.seed, p.choices)%uint64(among) < uint64(choices)
}
