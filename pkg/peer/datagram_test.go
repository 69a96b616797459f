package peer

import "testing"

// Guards against accepting load updates from a process without the peer token, or modified ones.
func TestDatagramNeedsToken(t *testing.T) {
	d := &DatagramSocket{token: []byte("0123456789abcdef")}
	other := &DatagramSocket{token: []byte("another-token-16")}
	update := &LoadUpdate{Envelope: &Envelope{Vm: "vm-1"}, Loads: []*EndpointLoad{{Endpoint: "e1", InFlight: 3}}}
	datagram := d.Encode(update)
	if got, err := d.decode(datagram); err != nil || got.Loads[0].InFlight != 3 {
		t.Fatalf("authentic datagram: %v, %v", got, err)
	}
	if _, err := other.decode(datagram); err == nil {
		t.Error("a datagram with another token was accepted")
	}
	datagram[len(datagram)-1]++
	if _, err := d.decode(datagram); err == nil {
		t.Error("a changed datagram was accepted")
	}
	if _, err := d.decode(datagram[:macBytes-1]); err == nil {
		t.Error("a short datagram was accepted")
	}
}

// Guards against sending a truncated update. One that does not fit into a datagram is left to heartbeats.
func TestLargeUpdateIsNotEncoded(t *testing.T) {
	d := &DatagramSocket{token: []byte("0123456789abcdef")}
	update := &LoadUpdate{}
	for range 200 {
		update.Loads = append(update.Loads, &EndpointLoad{Endpoint: "endpoint-with-a-name", InFlight: 1})
	}
	if datagram := d.Encode(update); datagram != nil {
		t.Errorf("a datagram of %d bytes was encoded", len(datagram))
	}
}
