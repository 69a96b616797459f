// Package router assembles the parts of the router into the process that stands on every VM.
//
// Requests run in a bounded pool of workers over shared tables. Each table has one mutex, see guarded. A
// goroutine that needs two tables locks them in this order: config, members, leases, limits, intents, admission,
// placer, index, engines, crashes, orders, changes, turns. No call over the network is made while a table is locked.
package router

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/panjf2000/ants/v2"
	"github.com/phuslu/log"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/auth"
	"github.com/corneldeal/corneldeal/pkg/cacheindex"
	"github.com/corneldeal/corneldeal/pkg/caller"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/engine"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/lease"
	"github.com/corneldeal/corneldeal/pkg/limit"
	"github.com/corneldeal/corneldeal/pkg/logservice"
	"github.com/corneldeal/corneldeal/pkg/member"
	"github.com/corneldeal/corneldeal/pkg/order"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/service"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/timeline"
	"github.com/corneldeal/corneldeal/pkg/vmlist"
)

// Version is the version of the program.
const Version = "0.1.0"

// Router is one process. The life of a Router is New, Provision, Validate, Start, Shutdown, Cleanup.
type Router struct {
	settings    settings.Settings
	incarnation string
	started     time.Time
	logger      *log.Logger

	http     *httpcall.Client
	logs     *logservice.Client
	vms      *vmlist.Client
	engines  *engine.Client
	services *service.Client
	peers    *peer.Clients
	peerTLS  *tls.Config
	// datagrams carries load updates between heartbeats.
	datagrams *peer.DatagramSocket

	pool   *ants.Pool
	clock  *timeline.Clock
	events *timeline.Recorder
	keys   *auth.Registry

	// publishing is held while a new state is put in force. It is locked before any table.
	publishing sync.Mutex
	// state is the configuration in force; it is replaced as a whole.
	state   atomic.Pointer[config.State]
	config  guarded[*config.Replay]
	members guarded[*member.Table]
	leases  guarded[*lease.Manager]
	limits  guarded[*limit.Limiter]
	intents guarded[*intentTable]
	// queues is keyed by model.
	queues  guarded[*admissionTable]
	placer  guarded[*placement]
	index   guarded[*cacheindex.Index]
	fleet   guarded[*engineTable]
	crashes guarded[*crashguard.Guard]
	orders  guarded[*order.Planner]
	changes guarded[*loadChanges]
	turns   guarded[*turns]
	retries guarded[*admit.RetryBudget]

	intentsAdded chan struct{}
	loadsChanged chan struct{}
	queueFilled  chan struct{}
	requestIDs   atomic.Uint64
	crashSeq     atomic.Uint64

	draining       atomic.Bool
	running        atomic.Int64
	vmListReadable atomic.Bool
	controlFailed  atomic.Bool
	controlStart   atomic.Int64
	// controlRead is the start of the newest complete read of the control stream.
	controlRead instant
	// logAnswer is the newest answer of the log to a read or an append.
	logAnswer instant
	// orderFence is the fencing number of the newest right to issue orders, orderSince when it was first held.
	orderFence atomic.Int64
	orderSince instant
	// snapshotTick is the newest snapshot record, snapshotSeen when it was first seen.
	snapshotTick atomic.Int64
	snapshotSeen instant
	// appendFailed is the newest failed append since the last one that was answered.
	appendFailed instant

	callerLn   net.Listener
	peerLn     net.Listener
	callers    *caller.Server
	peerServer *http.Server

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	fatal  chan error
}

// New returns a router with the given settings.
func New(s settings.Settings) *Router {
	incarnation := uuid.NewString()
	clock := &timeline.Clock{}
	r := &Router{
		settings:    s,
		incarnation: incarnation,
		started:     time.Now(),
		logger:      newLogger(s.VM, s.LogLevel),
		http:        httpcall.NewClient(),
		clock:       clock,
		events:      timeline.NewRecorder(clock, s.VM, incarnation, s.TimelineEvents),
		keys:        &auth.Registry{},
		fatal:       make(chan error, 1),

		intentsAdded: make(chan struct{}, 1),
		loadsChanged: make(chan struct{}, 1),
		queueFilled:  make(chan struct{}, 1),
	}
	r.config.table = config.NewReplay()
	r.members.table = member.NewTable(s.VM)
	r.leases.table = lease.NewManager(lease.Holder{VM: s.VM, Incarnation: incarnation, Address: s.PeerAdvertiseAddress})
	r.limits.table = limit.New()
	r.intents.table = newIntentTable(s.VM, incarnation)
	r.queues.table = newAdmissionTable(s.QueuePerWorkspace)
	r.index.table = cacheindex.New(cacheindex.Settings{}, r.started)
	r.fleet.table = newEngineTable()
	r.crashes.table = crashguard.New(crashguard.Settings{})
	r.turns.table = &turns{byWorkspace: map[string]chan struct{}{}}
	r.changes.table = &loadChanges{endpoints: map[string]bool{}}
	r.orderFence.Store(-1)
	r.orders.table = order.NewPlanner(order.Settings{})
	r.retries.table = &admit.RetryBudget{}
	r.state.Store(r.config.table.State())
	r.logs = logservice.New(s.LogAddress, r.http)
	r.vms = vmlist.New(s.VMListAddress, r.http)
	r.engines = engine.New(r.http)
	r.services = service.New(r.http)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Provision opens the listeners and the worker pool.
func (r *Router) Provision() error {
	conf, err := peer.TLSConfig(r.settings.PeerTLS)
	if err != nil {
		return err
	}
	r.peerTLS = conf
	r.peers = peer.NewClients(r.settings.PeerToken, conf)
	if r.placer.table, err = newPlacement(r.settings); err != nil {
		return err
	}
	// A full pool refuses at once instead of blocking, and no task of the pool submits to the pool.
	r.pool, err = ants.NewPool(r.settings.Workers, ants.WithNonblocking(true))
	if err != nil {
		return fmt.Errorf("worker pool: %w", err)
	}
	// The peer address is bound first: once it is, no earlier process of this VM is left.
	if r.peerLn, err = net.Listen("tcp", r.settings.PeerAddress); err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	if r.datagrams, err = peer.ListenDatagrams(r.settings.PeerAddress, r.settings.PeerToken); err != nil {
		return fmt.Errorf("peer datagrams: %w", err)
	}
	if r.callerLn, err = listenCallers(r.settings); err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	r.callers = caller.NewServer(r, r.settings)
	r.peerServer = peer.NewServer(&peerService{r: r}, r.settings.PeerToken, conf)
	return nil
}

func listenCallers(s settings.Settings) (net.Listener, error) {
	ln, err := net.Listen("tcp", s.CallerAddress)
	if err != nil || s.CallerTLS == nil {
		return ln, err
	}
	pair, err := tls.LoadX509KeyPair(s.CallerTLS.CertFile, s.CallerTLS.KeyFile)
	if err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	return tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}), nil
}

// Validate checks that the parts fit together.
func (r *Router) Validate() error {
	if r.callerLn == nil || r.peerLn == nil || r.pool == nil {
		return errors.New("router: not provisioned")
	}
	return nil
}

// Start serves callers and peers until Shutdown. Failures that must stop the process arrive on Fatal.
func (r *Router) Start() {
	r.loop(r.servePeers)
	r.loop(r.receiveLoads)
	r.bootstrap()
	r.startLoops()
	r.loop(func() {
		if err := r.callers.Serve(r.callerLn); err != nil {
			r.fail(fmt.Errorf("caller listener: %w", err))
		}
	})
	r.info(partProcess).Str("incarnation", r.incarnation).Str("callers", r.settings.CallerAddress).Msg("process: started")
	r.record(partProcess, "started", "", "")
}

func (r *Router) servePeers() {
	var err error
	if r.peerTLS != nil {
		err = r.peerServer.ServeTLS(r.peerLn, "", "")
	} else {
		err = r.peerServer.Serve(r.peerLn)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		r.fail(fmt.Errorf("peer listener: %w", err))
	}
}

// loop runs f in a goroutine that Cleanup waits for.
func (r *Router) loop(f func()) {
	r.loops.Add(1)
	go func() {
		defer r.loops.Done()
		f()
	}()
}

// every runs f at once and then after each period until the router stops.
func (r *Router) every(period time.Duration, f func()) {
	r.loop(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			f()
			select {
			case <-ticker.C:
			case <-r.ctx.Done():
				return
			}
		}
	})
}

// wake signals a loop that waits on the channel. A signal that is already there stands for both.
func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// onSignal runs f after each signal, once the pause is over, until the router stops. Timers that ran all the time took
// most of the processor time of an idle process.
func (r *Router) onSignal(signal <-chan struct{}, pause time.Duration, f func()) {
	r.loop(func() {
		for {
			select {
			case <-signal:
			case <-r.ctx.Done():
				return
			}
			r.pause(pause)
			f()
		}
	})
}

// fail reports a broken invariant or a listener that ended.
func (r *Router) fail(err error) {
	if r.ctx.Err() != nil {
		return
	}
	select {
	case r.fatal <- err:
	default:
	}
}

// Fatal delivers the error that must stop the process.
func (r *Router) Fatal() <-chan error {
	return r.fatal
}

// Shutdown stops gracefully: readiness fails first, requests are accepted for the drain delay while the balancer
// notices, and every accepted request gets its whole answer. It returns the error of ctx when that ends first.
func (r *Router) Shutdown(ctx context.Context) error {
	r.draining.Store(true)
	r.info(partProcess).Msg("process: draining")
	r.record(partProcess, "draining", "", "")
	select {
	case <-time.After(r.settings.DrainDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	err := r.callers.Shutdown(ctx)
	r.leave()
	r.record(partProcess, "stopped", "", "")
	r.info(partProcess).Msg("process: stopped")
	return err
}

// Cleanup releases listeners, loops and connections.
func (r *Router) Cleanup() {
	r.cancel()
	if r.callerLn != nil {
		_ = r.callerLn.Close()
	}
	if r.peerServer != nil {
		_ = r.peerServer.Close()
	}
	if r.datagrams != nil {
		r.datagrams.Close()
	}
	r.loops.Wait()
	if r.pool != nil {
		r.pool.Release()
	}
	if r.peers != nil {
		r.peers.Close()
	}
	r.http.Close()
}

// record adds an event to the timeline.
func (r *Router) record(part, name, request, detail string) {
	r.events.Record(timeline.Event{Part: part, Name: name, Request: request, Detail: detail}, time.Now())
}
