// Package peer implements the protocol between the VMs of the router: generated messages, client and server.
//
// The peer listener uses net/http instead of fasthttp because twirp requires it.
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
	// tokenHeader is the header with the token that authenticates VMs to each other.
	tokenHeader = "Corneldeal-Peer-Token"
	// dialTimeout bounds the time to connect. It is below the heartbeat timeout.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout is the time after which an idle connection is closed. It spans several heartbeats.
	idleConnTimeout = 30 * time.Second
	// headerTimeout bounds the time to read the request headers.
	headerTimeout = 2 * time.Second
)

// NewServer returns an HTTP server for the peer listener. It refuses requests that do not carry token. A nil conf means
// plain TCP.
func NewServer(impl Peer, token string, conf *tls.Config) *http.Server {
	handler := NewPeerServer(impl)
	return &http.Server{
		Handler:           requireToken(token, handler),
		ReadHeaderTimeout: headerTimeout,
		// Clone because net/http adds the server's protocols to the configuration, and a client must not offer those.
		TLSConfig: conf.Clone(),
	}
}

// requireToken returns a handler that passes requests with the right token to next and answers others with 401.
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

// Clients caches one client per peer address. It is safe for concurrent use.
type Clients struct {
	token  string
	scheme string
	http   *http.Client

	// mu guards byAddress.
	mu        sync.Mutex
	byAddress map[string]Peer
}

// NewClients returns an empty set of clients that authenticate with token. A nil conf means plain TCP.
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

// At returns the client for the VM with the given peer address (IP:port), and creates it if necessary.
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

// Context returns a copy of ctx that adds the token to outgoing calls.
func (c *Clients) Context(ctx context.Context) context.Context {
	header := http.Header{}
	header.Set(tokenHeader, c.token)
	out, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		// Unreachable: twirp only rejects header names that it reserves.
		panic(err)
	}
	return out
}

// Close closes the idle connections of all clients.
func (c *Clients) Close() {
	c.http.CloseIdleConnections()
}

// TLSConfig returns the configuration for mutual TLS, read from the files named in s. It returns nil if s is nil.
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
		return nil, fmt.Errorf("peer certificate authority: %s contains no certificate", s.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientCAs:    pool,
		RootCAs:      pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
