package peer

import (
	"context"
	"testing"
)

// Guards against net/http adding the server's protocols to the TLS configuration that server and clients share. Clients
// then offered HTTP/2 and all calls between VMs failed.
func TestMutualTLSBetweenVMs(t *testing.T) {
	client, ctx, _ := startPeer(t, benchPeer{heartbeat: &HeartbeatResponse{}}, benchTLS(t))
	for range 3 {
		if _, err := client.Heartbeat(ctx, &HeartbeatRequest{}); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against serving calls from a process without the peer token.
func TestPeerTokenIsRequired(t *testing.T) {
	client, _, _ := startPeer(t, benchPeer{heartbeat: &HeartbeatResponse{}}, nil)
	if _, err := client.Heartbeat(context.Background(), &HeartbeatRequest{}); err == nil {
		t.Fatal("a call without the peer token was answered")
	}
}
