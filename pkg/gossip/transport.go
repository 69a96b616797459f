// Package gossip implements the protocol between gateways: state digests in UDP datagrams, and a twirp service that
// relays the platform's records.
//
// A datagram may be lost because the next one repeats its content. The relay uses net/http because twirp requires it.
package gossip

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// MaxBatchBytes is the largest size of an encoded batch. It is below the largest UDP payload.
	MaxBatchBytes = 60 << 10
	// relayTimeout bounds one call to the relay of a peer.
	relayTimeout = 800 * time.Millisecond
	// headerTimeout bounds the time to read the request headers.
	headerTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle relay connection is closed. It allows a few calls per connection.
	idleTimeout = 5 * time.Second
)

// Socket is a UDP socket that sends and receives batches of digests. Only one goroutine may call Receive.
type Socket struct {
	conn *net.UDPConn
	// buf is the receive buffer.
	buf []byte
}

// Listen returns a socket bound to the UDP port of address (IP:port).
func Listen(address string) (*Socket, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn, buf: make([]byte, MaxBatchBytes)}, nil
}

// Port returns the port that the socket is bound to.
func (s *Socket) Port() int {
	return int(netip.MustParseAddrPort(s.conn.LocalAddr().String()).Port())
}

// Close closes the socket, which makes Receive return an error.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// Encode returns a batch as a datagram. It does not check the size.
func Encode(b *Batch) ([]byte, error) {
	return proto.Marshal(b)
}

// Decode parses a datagram. It drops digests that do not name their VM.
func Decode(datagram []byte) (*Batch, error) {
	b := &Batch{}
	if err := proto.Unmarshal(datagram, b); err != nil {
		return nil, err
	}
	b.Digests = slices.DeleteFunc(b.Digests, func(d *Digest) bool { return d.GetVm() == "" })
	return b, nil
}

// Send sends a datagram. It returns an error only for a failure of the local socket, not if the datagram is lost.
func (s *Socket) Send(to netip.AddrPort, datagram []byte) error {
	_, err := s.conn.WriteToUDPAddrPort(datagram, to)
	return err
}

// Receive waits for the next batch and returns it with its size in bytes and the number of unreadable datagrams that it
// dropped before. It returns an error only after the socket was closed.
func (s *Socket) Receive() (b *Batch, size, dropped int, err error) {
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(s.buf)
		if errors.Is(err, net.ErrClosed) {
			return nil, 0, dropped, err
		}
		if err != nil {
			dropped++
			continue
		}
		b, err := Decode(s.buf[:n])
		if err != nil {
			dropped++
			continue
		}
		return b, n, dropped, nil
	}
}

// NewServer returns an HTTP server for the relay, and for the other handlers of calls between VMs by their paths.
func NewServer(impl Relay, others map[string]http.Handler) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/", NewRelayServer(impl))
	for path, handler := range others {
		mux.Handle(path, handler)
	}
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// RelayClients caches one relay client per peer address. It is safe for concurrent use.
type RelayClients struct {
	http *http.Client

	// mu guards byAddress.
	mu        sync.Mutex
	byAddress map[string]Relay
}

// NewRelayClients returns an empty set of relay clients.
func NewRelayClients() *RelayClients {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: relayTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,
	}
	return &RelayClients{
		http:      &http.Client{Transport: transport, Timeout: relayTimeout},
		byAddress: map[string]Relay{},
	}
}

// State requests records from the relay of the peer at address (IP:port).
func (r *RelayClients) State(ctx context.Context, address string, req *StateRequest) (*StateResponse, error) {
	return r.client(address).State(ctx, req)
}

// Probe asks the peer at address (IP:port) to connect to an endpoint.
func (r *RelayClients) Probe(ctx context.Context, address string, req *ProbeRequest) (*ProbeResponse, error) {
	return r.client(address).Probe(ctx, req)
}

// TakeTurn asks the peer at address (IP:port) for a turn in which a request with refused parts may be sent.
func (r *RelayClients) TakeTurn(ctx context.Context, address string, req *TurnRequest) (*TurnResponse, error) {
	return r.client(address).TakeTurn(ctx, req)
}

// client returns the client of the peer at address.
func (r *RelayClients) client(address string) Relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	client, ok := r.byAddress[address]
	if !ok {
		client = NewRelayProtobufClient("http://"+address, r.http)
		r.byAddress[address] = client
	}
	return client
}
