package peer

import (
	"context"
	"testing"
)

// Server and clients of a VM share one TLS configuration. When the server's protocols leaked into it, clients offered
// HTTP/2 and no VM could talk to another.
func TestMutualTLSBetweenVMs(t *testing.T) {
	client, ctx, _ := startPeer(t, benchPeer{heartbeat: &HeartbeatResponse{}}, benchTLS(t))
	for range 3 {
		if _, err := client.Heartbeat(ctx, &HeartbeatRequest{}); err != nil {
			t.Fatal(err)
		}
	}
}

// A process without the peer token must reach no method of the peer listener.
func TestPeerTokenIsRequired(t *testing.T) {
	client, _, _ := startPeer(t, benchPeer{heartbeat: &HeartbeatResponse{}}, nil)
	if _, err := client.Heartbeat(context.Background(), &HeartbeatRequest{}); err == nil {
		t.Fatal("a call without the peer token was answered")
	}
}
