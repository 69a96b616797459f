package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// The benchmarks measure the slopes (cost per unit) listed in docs/CAPACITY.md. They do not assert durations.

func benchEnvelope() *Envelope {
	return &Envelope{
		Vm:           "vm-0123",
		Incarnation:  "0197f3a2-5c1e-4b7a-9d42-6f0c8e2b1a55",
		ConfigOffset: 5_110_000,
		HlcWallNs:    1_800_000_000_000_000_000,
		HlcCounter:   3,
	}
}

// benchHeartbeat returns a heartbeat with the given numbers of endpoint loads, spare tokens of workspaces, and crash
// accusations.
func benchHeartbeat(endpoints, workspaces, accusations int) *HeartbeatRequest {
	h := &HeartbeatRequest{
		Envelope:       benchEnvelope(),
		Offsets:        []*StreamOffset{{Stream: "config", Next: 5_110_000, ReadAgeMs: 120}, {Stream: "control", Next: 90_000, ReadAgeMs: 90}},
		Contact:        true,
		LogReadable:    true,
		VmListReadable: true,
		DataCentre:     "dc-07",
		ConfigDigest:   fmt.Sprintf("%064x", 1),
		Slots:          []string{"slot/3"},
	}
	for i := range endpoints {
		h.Loads = append(h.Loads, &EndpointLoad{Endpoint: fmt.Sprintf("engine-%04d", i), InFlight: 3})
	}
	for i := range workspaces {
		h.Spare = append(h.Spare, &SpareTokens{Workspace: fmt.Sprintf("workspace-%03d", i), Tokens: 123_456})
	}
	for i := range accusations {
		h.Accusations = append(h.Accusations, &Accusation{
			Fingerprint: uint64(i) << 40, Event: fmt.Sprintf("vm-0123/0197f3a2-5c1e-4b7a-9d42-6f0c8e2b1a55/%d", i), WeightMilli: 500,
		})
	}
	return h
}

var heartbeatSizes = []struct{ endpoints, workspaces, accusations int }{
	{0, 0, 0}, {120, 0, 0}, {2400, 0, 0}, {0, 360, 0}, {0, 0, 100}, {120, 360, 0}, {2400, 360, 0},
}

// eachHeartbeat runs a sub-benchmark for each entry of heartbeatSizes.
func eachHeartbeat(b *testing.B, run func(b *testing.B, h *HeartbeatRequest)) {
	for _, s := range heartbeatSizes {
		b.Run(fmt.Sprintf("endpoints=%d/workspaces=%d/accusations=%d", s.endpoints, s.workspaces, s.accusations), func(b *testing.B) {
			run(b, benchHeartbeat(s.endpoints, s.workspaces, s.accusations))
		})
	}
}

// BenchmarkHeartbeatEncode measures encoding of a heartbeat and reports the size of the message.
func BenchmarkHeartbeatEncode(b *testing.B) {
	eachHeartbeat(b, func(b *testing.B, h *HeartbeatRequest) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := proto.Marshal(h); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(proto.Size(h)), "message-bytes")
	})
}

// BenchmarkHeartbeatDecode measures decoding of a heartbeat.
func BenchmarkHeartbeatDecode(b *testing.B) {
	eachHeartbeat(b, func(b *testing.B, h *HeartbeatRequest) {
		data, err := proto.Marshal(h)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		for b.Loop() {
			if err := proto.Unmarshal(data, &HeartbeatRequest{}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkEnvelope measures encoding and decoding of the envelope alone.
func BenchmarkEnvelope(b *testing.B) {
	e := benchEnvelope()
	b.ReportAllocs()
	for b.Loop() {
		data, err := proto.Marshal(e)
		if err != nil {
			b.Fatal(err)
		}
		if err := proto.Unmarshal(data, &Envelope{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(e)), "message-bytes")
}

// benchPeer returns fixed responses, so that the benchmarks measure only the transport.
type benchPeer struct {
	Peer
	heartbeat *HeartbeatResponse
}

func (p benchPeer) Heartbeat(context.Context, *HeartbeatRequest) (*HeartbeatResponse, error) {
	return p.heartbeat, nil
}

func (p benchPeer) Debit(_ context.Context, req *DebitRequest) (*DebitResponse, error) {
	parts := []*Part{{Slot: 3, Epoch: 12, Tokens: req.Tokens}}
	return &DebitResponse{Envelope: benchEnvelope(), Granted: req.Tokens, Parts: parts}, nil
}

// startPeer serves p on a loopback address. It returns a client, a context with the peer token, and a function that
// returns the number of bytes transferred over the server's connections. A nil conf means plain TCP.
func startPeer(b testing.TB, p Peer, conf *tls.Config) (Peer, context.Context, func() int64) {
	b.Helper()
	const token = "benchmark-peer-token"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counted := &countingListener{Listener: ln}
	server := NewServer(p, token, conf)
	done := make(chan error, 1)
	go func() {
		if conf != nil {
			done <- server.ServeTLS(counted, "", "")
			return
		}
		done <- server.Serve(counted)
	}()
	clients := NewClients(token, conf)
	b.Cleanup(func() {
		clients.Close()
		_ = server.Close()
		if err := <-done; err != http.ErrServerClosed {
			b.Error(err)
		}
	})
	return clients.At(ln.Addr().String()), clients.Context(context.Background()), counted.total
}

// cpuNs returns the CPU time of this process in nanoseconds, client and server together.
func cpuNs(b *testing.B) int64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// measureCalls runs call and reports CPU time and wire bytes per call, for both ends and both directions together.
func measureCalls(b *testing.B, bytes func() int64, call func() error) {
	b.Helper()
	if err := call(); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	cpu, carried := cpuNs(b), bytes()
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuNs(b)-cpu)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(bytes()-carried)/float64(b.N), "wire-bytes/op")
}

// benchTLS returns a mutual TLS configuration like that of TLSConfig, with a self-signed certificate for 127.0.0.1.
func benchTLS(b testing.TB) *tls.Config {
	b.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		b.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		b.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientCAs:    pool,
		RootCAs:      pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// BenchmarkDebitRoundTrip measures one debit over loopback with the real server and client, on an open connection.
func BenchmarkDebitRoundTrip(b *testing.B) {
	for _, c := range []struct {
		name string
		conf *tls.Config
	}{{"tcp", nil}, {"mutual_tls", benchTLS(b)}} {
		b.Run(c.name, func(b *testing.B) {
			client, ctx, bytes := startPeer(b, benchPeer{}, c.conf)
			req := &DebitRequest{Envelope: benchEnvelope(), Id: "0197f3a2-5c1e-4b7a-9d42-6f0c8e2b1a55", Workspace: "workspace-123", Tokens: 700}
			measureCalls(b, bytes, func() error {
				_, err := client.Debit(ctx, req)
				return err
			})
		})
	}
}

// BenchmarkHeartbeatRoundTrip measures one heartbeat exchange over loopback with the real server and client.
func BenchmarkHeartbeatRoundTrip(b *testing.B) {
	eachHeartbeat(b, func(b *testing.B, h *HeartbeatRequest) {
		client, ctx, bytes := startPeer(b, benchPeer{heartbeat: &HeartbeatResponse{State: h}}, nil)
		measureCalls(b, bytes, func() error {
			_, err := client.Heartbeat(ctx, h)
			return err
		})
	})
}

// BenchmarkDatagram measures encoding and decoding of a load update, by the number of changed endpoints.
func BenchmarkDatagram(b *testing.B) {
	for _, endpoints := range []int{1, 10} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			d := &DatagramSocket{token: []byte("benchmark-peer-token")}
			update := &LoadUpdate{Envelope: benchEnvelope()}
			for i := range endpoints {
				update.Loads = append(update.Loads, &EndpointLoad{Endpoint: fmt.Sprintf("engine-%d", i), InFlight: 3, PrefillMs: 150})
			}
			size := 0
			for b.Loop() {
				datagram := d.Encode(update)
				size = len(datagram)
				if _, err := d.decode(datagram); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
