// Package peer is the protocol between the VMs of the router: generated messages, client and server.
//
// twirp needs net/http, so the peer listener uses it instead of fasthttp.
package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/corneldeal/corneldeal/pkg/settings"
)

const (
	// tokenHeader carries the token by which VMs authenticate each other.
	tokenHeader = "Corneldeal-Peer-Token"
	// dialTimeout is kept below the heartbeat timeout.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout keeps connections over several heartbeats.
	idleConnTimeout = 30 * time.Second
	// headerTimeout bounds the time a peer may take to send its request headers.
	headerTimeout = 2 * time.Second
)

// NewServer returns an HTTP server for the peer listener. Requests without the right token are refused.
func NewServer(impl Peer, token string, conf *tls.Config) *http.Server {
	handler := NewPeerServer(impl)
	return &http.Server{
		Handler:           requireToken(token, handler),
		ReadHeaderTimeout: headerTimeout,
		// net/http adds its protocols to the configuration of a server, which a client must not offer.
		TLSConfig: conf.Clone(),
	}
}

func requireToken(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := r.Header.Get(tokenHeader)
		if subtle.ConstantTimeCompare([]byte(got), []byte(token)) != 1 {
			http.Error(w, "peer token missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Clients holds one client per peer address. It is safe for concurrent use.
type Clients struct {
	token  string
	scheme string
	http   *http.Client

	mu        sync.Mutex
	byAddress map[string]Peer
}

// NewClients returns clients that send token. A nil conf means plain TCP.
func NewClients(token string, conf *tls.Config) *Clients {
	scheme := "http"
	if conf != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleConnTimeout,
		TLSClientConfig: conf.Clone(),
	}
	return &Clients{
		token:     token,
		scheme:    scheme,
		http:      &http.Client{Transport: transport},
		byAddress: map[string]Peer{},
	}
}

// At returns the client of the VM with the given peer address (IP:port).
func (c *Clients) At(address string) Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byAddress[address]
	if !ok {
		client = NewPeerProtobufClient(c.scheme+"://"+address, c.http)
		c.byAddress[address] = client
	}
	return client
}

// Context returns ctx with the token for outgoing calls.
func (c *Clients) Context(ctx context.Context) context.Context {
	header := http.Header{}
	header.Set(tokenHeader, c.token)
	out, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		// The only cause is a header name that twirp reserves.
		panic(err)
	}
	return out
}

// Close closes idle connections.
func (c *Clients) Close() {
	c.http.CloseIdleConnections()
}

// TLSConfig reads the files for mutual TLS. It returns nil when s is nil.
func TLSConfig(s *settings.PeerTLS) (*tls.Config, error) {
	if s == nil {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("peer certificate: %w", err)
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, fmt.Errorf("peer certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("peer certificate authority: %s holds no certificate", s.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientCAs:    pool,
		RootCAs:      pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
