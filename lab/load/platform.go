package load

import (
	"fmt"

	"github.com/corneldeal/corneldeal/lab/cachestore"
	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/lab/logservice"
	"github.com/corneldeal/corneldeal/lab/service"
	"github.com/corneldeal/corneldeal/lab/vmlist"
	"github.com/corneldeal/corneldeal/pkg/auth"
	"github.com/corneldeal/corneldeal/pkg/config"
)

// platform holds the stand-ins of one run, all in this process.
type platform struct {
	log      *logservice.Service
	vms      *vmlist.Service
	store    *cachestore.Store
	engines  []*engine.Engine
	services []*service.Service
	ledger   *engine.Ledger
	closers  []func()
}

// standIn is a stand-in of any kind.
type standIn interface {
	Start() error
	Close()
}

func (p *platform) start(s standIn) error {
	if err := s.Start(); err != nil {
		return err
	}
	p.closers = append(p.closers, s.Close)
	return nil
}

func (p *platform) close() {
	for _, c := range p.closers {
		c()
	}
}

// newPlatform starts the stand-ins of the profile.
func newPlatform(profile Profile) (*platform, error) {
	p := &platform{
		log:    logservice.New(logservice.Options{}),
		vms:    vmlist.New(vmlist.Options{}),
		store:  cachestore.New(cachestore.Options{}),
		ledger: engine.NewLedger(),
	}
	all := []standIn{p.log, p.vms, p.store}
	for i := range profile.Engines {
		e := engine.New(engine.Options{
			Name:        engineName(i),
			Models:      []engine.LoadedModel{{Model: Model, Version: Version}},
			BlockBytes:  BlockBytes,
			CacheBlocks: profile.CacheBlocks,
			Ledger:      p.ledger,
			Seed:        uint64(i),
		})
		p.engines = append(p.engines, e)
		all = append(all, e)
	}
	for i := range profile.Services {
		s := service.New(service.Options{Name: serviceName(i)})
		p.services = append(p.services, s)
		all = append(all, s)
	}
	for _, s := range all {
		if err := p.start(s); err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func serviceName(i int) string { return fmt.Sprintf("orders-%d", i+1) }

// keyOf returns the key of a workspace in a run.
func keyOf(workspace string) string {
	return "lab-key-" + workspace
}

// Addresses are the endpoints that a release note names.
type Addresses struct {
	Engines  []string
	Services []string
	// CacheStore is the address of the KV cache store, or empty.
	CacheStore string
}

func (p *platform) addresses() Addresses {
	out := Addresses{CacheStore: p.store.Addr()}
	for _, e := range p.engines {
		out.Engines = append(out.Engines, e.Addr())
	}
	for _, s := range p.services {
		out.Services = append(out.Services, s.Addr())
	}
	return out
}

// Note returns the release note of the profile for the endpoints.
func Note(profile Profile, to Addresses) config.ReleaseNote {
	items := config.Items{
		Models: []config.Model{{
			Name:                  Model,
			Version:               Version,
			BlockBytes:            BlockBytes,
			PrefillMicrosPerBlock: engine.DefaultMissCost.Microseconds(),
		}},
		Routes: []config.Route{
			{Name: "chat", Kind: config.RouteChat, Model: Model},
			{Name: "orders", Kind: config.RouteService, Prefix: ServicePrefix, Service: ServiceName},
		},
		Defaults: &config.Defaults{CacheStore: to.CacheStore},
	}
	for _, w := range profile.Workspaces {
		limit := profile.Limit(w)
		items.Workspaces = append(items.Workspaces, config.Workspace{
			Name:            w.Name,
			TokensPerSecond: limit.TokensPerSecond,
			BurstTokens:     limit.BurstTokens,
		})
		items.Keys = append(items.Keys, config.Key{Digest: auth.Digest(keyOf(w.Name)), Workspace: w.Name})
	}
	items.Endpoints = endpoints(profile.DataCentres, to)
	return config.ReleaseNote{ID: "profile-" + profile.Name, Base: -1, Author: "load tool", Added: items}
}

// endpoints lists the endpoints, evenly over the data centres.
func endpoints(dataCentres []string, to Addresses) []config.Endpoint {
	var out []config.Endpoint
	for i, address := range to.Engines {
		out = append(out, config.Endpoint{
			Name:       engineName(i),
			Kind:       config.EndpointEngine,
			Address:    address,
			DataCentre: dataCentres[i%len(dataCentres)],
			Models:     []string{Model},
			MaxRunning: engine.DefaultMaxRunning,
		})
	}
	for i, address := range to.Services {
		out = append(out, config.Endpoint{
			Name:       serviceName(i),
			Kind:       config.EndpointService,
			Address:    address,
			DataCentre: dataCentres[i%len(dataCentres)],
			Service:    ServiceName,
		})
	}
	return out
}

// mostRuns returns the largest number of runs of one idempotency key over all services.
func (p *platform) mostRuns() int64 {
	sum := map[string]int64{}
	for _, s := range p.services {
		for key, n := range s.Stats().Runs {
			sum[key] += n
		}
	}
	var most int64
	for key, n := range sum {
		if len(key) > len(bookingKey) && key[:len(bookingKey)] == bookingKey {
			most = max(most, n)
		}
	}
	return most
}

// bookingKey begins the tally entries of calls with an idempotency key.
const bookingKey = "key:"
