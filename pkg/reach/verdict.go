// Package reach decides which endpoints this VM does not reach although other VMs do, and through which of them it sends
// meanwhile.
//
// A VM may lose its paths to endpoints while its callers, the store and the other VMs still reach it. Failed connections
// alone do not tell that from endpoints that ended, so the VM asks others. Nothing that it sees of an endpoint behind a
// lost path counts against the endpoint. The package does no I/O.
package reach

// Probe is the result of an attempt to connect to an endpoint.
type Probe int

const (
	// Unknown means that nothing was found out, for instance because the VM that was asked is cut off itself.
	Unknown Probe = iota
	// Connected means that a connection was accepted.
	Connected
	// Refused means that it was refused or reset at once.
	Refused
	// TimedOut means that nothing answered.
	TimedOut
)

// probeNames are the results as the peer protocol and logs show them.
var probeNames = map[Probe]string{Unknown: "unknown", Connected: "connected", Refused: "refused", TimedOut: "timed_out"}

// String returns the name of the result.
func (p Probe) String() string {
	return probeNames[p]
}

// ParseProbe returns the result with the given name, or Unknown.
func ParseProbe(name string) Probe {
	for p, known := range probeNames {
		if known == name {
			return p
		}
	}
	return Unknown
}

// Verdict says why connections to an endpoint fail.
type Verdict int

const (
	// Unclear means that the evidence is not enough.
	Unclear Verdict = iota
	// Open means that the endpoint accepts connections of this VM.
	Open
	// Ended means that nothing listens at the endpoint's address any more.
	Ended
	// CutOff means that other VMs reach the endpoint.
	CutOff
)

// verdictNames are the verdicts as logs and metrics show them.
var verdictNames = map[Verdict]string{Unclear: "unclear", Open: "open", Ended: "ended", CutOff: "cut_off"}

// String returns the name of the verdict.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Judge returns what the own probe of an endpoint and those of peers show. A peer counts as refused only if it was
// refused twice and another endpoint of the service accepted a connection between the two, which shows that the peer was not cut
// off then. Without peers a refusal proves that the endpoint ended.
func Judge(own Probe, peers []Probe) Verdict {
	if own == Connected {
		return Open
	}
	refused := len(peers) == 0
	for _, p := range peers {
		switch p {
		case Connected:
			return CutOff
		case Refused:
			refused = true
		}
	}
	if own == Refused && refused {
		return Ended
	}
	return Unclear
}
