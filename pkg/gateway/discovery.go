package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/steady"
)

// registerPause is the pause between two tries to register this VM.
const registerPause = time.Second

// vmRecord is the registration of a gateway in the store.
type vmRecord struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	LinkMbps   float64 `json:"link_mbps"`
}

// registerVM registers this VM and learns of the others. Later ones make themselves known by their digests.
func (g *Gateway) registerVM() {
	g.addSeeds()
	done := g.tryRegister()
	close(g.registered)
	for ; !done; done = g.tryRegister() {
		if !g.sleep(jitter(registerPause)) {
			return
		}
	}
}

func (g *Gateway) addSeeds() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, seed := range g.settings.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil || addr.Addr().String() == g.settings.Address {
			continue
		}
		g.addVM(seedPrefix+addr.Addr().String(), knownVM{ip: addr.Addr()}, steady.Now())
	}
	g.digestSoon()
}

func (g *Gateway) tryRegister() bool {
	value, err := json.Marshal(vmRecord{
		Address: g.settings.Address, DataCentre: g.settings.DataCentre, LinkMbps: g.settings.LinkMbps,
	})
	if err != nil {
		// The type has no field that JSON cannot hold.
		panic(err)
	}
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	if _, err := g.platform.Store.Append(ctx, VMStream, g.settings.VM, value, -1); err != nil {
		g.log.warn(partPeer).Err(err).Msg("registration failed")
		return false
	}
	records, _, err := g.platform.Store.Newest(ctx, VMStream)
	if err != nil {
		g.log.warn(partPeer).Err(err).Msg("list of gateways not read")
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range records {
		if model, found := strings.CutPrefix(r.Key, announcementPrefix); found {
			g.recallAnnouncements(model, r)
			continue
		}
		if strings.HasPrefix(r.Key, verdictPrefix) {
			if g.recallVerdict(r) {
				go g.removeVerdict(r.Key)
			}
			continue
		}
		var vm vmRecord
		if err := json.Unmarshal(r.Value, &vm); err != nil {
			g.log.warn(partPeer).Str("key", r.Key).Err(err).Msg("registration is unreadable")
			continue
		}
		g.addRegistered(r.Key, vm)
	}
	g.digestSoon()
	return true
}

// seedPrefix marks the addresses of seeds, whose names are not known.
const seedPrefix = "seed "

// addRegistered remembers a VM by its record. The caller holds the lock.
func (g *Gateway) addRegistered(name string, vm vmRecord) {
	ip, err := netip.ParseAddr(vm.Address)
	if err != nil {
		g.log.warn(partPeer).Str("key", name).Err(err).Msg("registration is unreadable")
		return
	}
	g.addVM(name, knownVM{ip: ip, dataCentre: vm.DataCentre, linkMbps: vm.LinkMbps}, steady.Now())
}
