package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"
)

// registerInterval is the interval between two attempts to register this VM.
const registerInterval = time.Second

// vmRecord is the registration of a gateway in the store.
type vmRecord struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	LinkMbps   float64 `json:"link_mbps"`
}

// registerVM registers this VM and reads the registrations of the others. VMs that register later are discovered by
// their digests.
func (g *Gateway) registerVM() {
	g.addSeeds()
	done := g.tryRegister()
	close(g.registrationTried)
	if !g.repeatUntil(done, g.tryRegister) {
		return
	}
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.rewriteRequests:
		}
		if !g.sleep(g.randomUpTo(g.rewriteSpread())) || !g.repeatUntil(false, g.rewriteRecords) {
			return
		}
	}
}

// repeatUntil calls try until it succeeds, unless done is set already. It reports false if the process is ending.
func (g *Gateway) repeatUntil(done bool, try func() bool) bool {
	for ; !done; done = try() {
		if !g.sleep(g.jitter(registerInterval)) {
			return false
		}
	}
	return true
}

// addSeeds adds the seed addresses of the settings to the known VMs.
func (g *Gateway) addSeeds() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, seed := range g.settings.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil || addr.Addr().String() == g.settings.Address {
			continue
		}
		g.addVM(seedPrefix+addr.Addr().String(), knownVM{ip: addr.Addr()}, g.now())
	}
	g.requestDigest()
}

// writeRegistration writes this VM's registration. It reports whether that succeeded.
func (g *Gateway) writeRegistration() bool {
	value, err := json.Marshal(vmRecord{
		Address: g.settings.Address, DataCentre: g.settings.DataCentre, LinkMbps: g.settings.LinkMbps,
	})
	if err != nil {
		// The type has no field that JSON cannot encode.
		panic(err)
	}
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	if _, err := g.platform.Store.Append(ctx, VMStream, g.settings.VM, value); err != nil {
		g.log.warn(partPeer).Err(err).Msg("registration failed")
		return false
	}
	return true
}

// tryRegister writes this VM's registration and, unless that was done, applies all records of VMStream. It reports whether both
// succeeded. What the store holds of crashes and refused requests is needed although the store loses the answers of writes.
func (g *Gateway) tryRegister() bool {
	registered := g.writeRegistration()
	return g.readVMRecords() && registered
}

// readVMRecords applies all records of VMStream, unless that was done. It reports whether they are applied.
func (g *Gateway) readVMRecords() bool {
	g.mu.Lock()
	read := g.registrationsRead
	g.mu.Unlock()
	if read {
		return true
	}
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	listing, err := g.platform.Store.Newest(ctx, VMStream)
	if err != nil {
		g.log.warn(partPeer).Err(err).Msg("gateway registrations not read")
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range listing.Records {
		if model, found := strings.CutPrefix(r.Key, announcementPrefix); found {
			g.restoreAnnouncements(model, r)
			continue
		}
		if strings.HasPrefix(r.Key, crashRefusalPrefix) {
			if g.restoreCrashRefusal(r) {
				go g.removeCrashRefusal(r.Key)
			}
			continue
		}
		if strings.HasPrefix(r.Key, crashEvidencePrefix) {
			g.restoreEvidence(r)
			continue
		}
		var vm vmRecord
		if err := json.Unmarshal(r.Value, &vm); err != nil {
			g.log.warn(partPeer).Str("key", r.Key).Err(err).Msg("registration is unreadable")
			continue
		}
		g.addRegisteredVM(r.Key, vm)
	}
	g.registrationsRead = true
	g.evidence.Loaded()
	g.requestDigest()
	return true
}

// seedPrefix precedes the address in the names of seeds, whose VM names are not known.
const seedPrefix = "seed "

// addRegisteredVM adds a VM from its registration. The caller holds the lock.
func (g *Gateway) addRegisteredVM(name string, vm vmRecord) {
	ip, err := netip.ParseAddr(vm.Address)
	if err != nil {
		g.log.warn(partPeer).Str("key", name).Err(err).Msg("registration is unreadable")
		return
	}
	g.addVM(name, knownVM{ip: ip, dataCentre: vm.DataCentre, linkMbps: vm.LinkMbps}, g.now())
}
