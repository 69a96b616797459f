package gossip

import (
	"cmp"
	"math"
	"time"
)

const (
	// minHubs is the number of hubs of a data centre with wide links. With two, the loss of one only halves the rate at which
	// digests are forwarded.
	minHubs = 2
	// maxHubs limits the number of hubs, since each VM receives a datagram of each of them per batch.
	maxHubs = 16
	// hubLinkFraction is the part of a hub's link that digests may take on average. A batch is sent in a burst, and requests
	// and calls to the store share the link.
	hubLinkFraction = 0.4
	// typicalDigestBytes is the size of the digest of a VM that sends requests to a hundred engines. It is assumed until sizes
	// are known.
	typicalDigestBytes = 350
	// sizeWeight is the weight of a digest's size in the mean.
	sizeWeight = 0.002
)

// MeanSize is the mean size of the digests that arrived lately. The zero value has seen none. It is not safe for concurrent use.
type MeanSize struct {
	bytes float64
}

// Observe takes in a datagram of that many bytes with that many digests.
func (m *MeanSize) Observe(bytes, digests int) {
	if digests == 0 {
		return
	}
	weight := 1 - math.Pow(1-sizeWeight, float64(digests))
	m.bytes = m.Bytes() + weight*(float64(bytes)/float64(digests)-m.Bytes())
}

// Bytes returns the mean size of a digest in bytes.
func (m *MeanSize) Bytes() float64 {
	return cmp.Or(m.bytes, typicalDigestBytes)
}

// SpreadLoad is what the hubs of a data centre forward to its VMs.
type SpreadLoad struct {
	// VMs is the number of VMs that send digests, in all data centres.
	VMs int
	// Interval is the interval between two digests of a VM.
	Interval time.Duration
	// Receivers is the number of VMs of the data centre.
	Receivers int
	// DigestBytes is the mean size of a digest.
	DigestBytes float64
}

// megabits returns the load in Mbit/s: digests a second x their size x receivers.
func (l SpreadLoad) megabits() float64 {
	return float64(l.VMs) / l.Interval.Seconds() * l.DigestBytes * 8 * float64(l.Receivers) / 1e6
}

// HubCount returns how many of the VMs of a data centre act as hubs, if the first ones do, so that the load, which the hubs
// share evenly, leaves most of the narrowest hub's link free. links are the bandwidths of the VMs in Mbit/s, widest first. A
// link of unknown bandwidth, zero, counts as wide enough.
func HubCount(links []float64, load SpreadLoad) int {
	most := min(len(links), maxHubs)
	for count := min(minHubs, most); count < most; count++ {
		narrowest := links[count-1]
		if narrowest <= 0 || load.megabits()/float64(count) <= narrowest*hubLinkFraction {
			return count
		}
	}
	return most
}
