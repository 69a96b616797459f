package workload

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxReportBytes is the approximate size of a report in a digest. Services and endpoints that do not fit follow in the
	// next reports.
	maxReportBytes = 400
	// maxServiceBytes is the part of it for services.
	maxServiceBytes = 260
	// bytesPerSum is the size of a sum, and serviceOverheadBytes and factorBytes that of the rest of an entry, without
	// names.
	bytesPerSum          = 4
	serviceOverheadBytes = 8
	factorBytes          = 22
	// latenessSums is the number of sums of lateness, which follow those of rates.
	latenessSums = 3
	// plainSumCount is the number of sums of rates that plain services have.
	plainSumCount = 2
	// factorSums is the number of sums of the factor of an endpoint.
	factorSums = 2
	// expireInterval is the time between two removals of outdated state.
	expireInterval = time.Second
	// maxReportedWeight bounds the weight that a report may claim, and maxServicesPerVM and maxFactorsPerVM the entries
	// that are kept of one VM.
	maxReportedWeight = 1e5
	maxServicesPerVM  = 64
	maxFactorsPerVM   = 512
)

// ServiceSums are a VM's decayed sums for a service and model, or service and route.
type ServiceSums struct {
	// Key names the service and what follows it.
	Key  string
	Sums []float32
}

// FactorSums are a VM's decayed sums for one start of an endpoint.
type FactorSums struct {
	Endpoint       string
	Born           int64
	LogSum, Weight float32
}

// Report is what a VM tells the others of its own observations.
type Report struct {
	Services []ServiceSums
	Factors  []FactorSums
}

// vmState is what was received from another VM.
type vmState struct {
	boot     uint64
	at       time.Time
	services map[serviceKey]bool
	factors  map[endpointKey]bool
}

// keySeparator separates the parts of a key in reports. Names do not contain it.
const keySeparator = "\x1f"

// String returns the key as reports name it.
func (k serviceKey) String() string {
	kind := "p"
	if k.onEngine {
		kind = "e"
	}
	return kind + k.service + keySeparator + k.detail
}

// ServiceOf returns the service that the key of a report names, or "" if it is malformed.
func ServiceOf(key string) string {
	k, ok := parseKey(key)
	if !ok {
		return ""
	}
	return k.service
}

// sumCount returns the number of sums of rates under the key.
func (k serviceKey) sumCount() int {
	if k.onEngine {
		return vectorLength
	}
	return plainSumCount
}

// parseKey returns the key that a report names.
func parseKey(text string) (serviceKey, bool) {
	service, detail, found := strings.Cut(text, keySeparator)
	if !found || len(service) < 2 || service[0] != 'e' && service[0] != 'p' {
		return serviceKey{}, false
	}
	return serviceKey{service: service[1:], detail: detail, onEngine: service[0] == 'e'}, true
}

// Report returns the sums of this VM's own observations for its next digest, and removes outdated state.
func (m *Model) Report(now time.Time) Report {
	if now.Sub(m.expiredAt) >= expireInterval {
		m.expiredAt = now
		m.expire(now)
	}
	return Report{Services: m.reportServices(now), Factors: m.reportFactors(now)}
}

// reportServices returns the sums of services, those with the most new observations first.
func (m *Model) reportServices(now time.Time) []ServiceSums {
	keys := slices.SortedFunc(maps.Keys(m.services), func(a, b serviceKey) int {
		return cmp.Or(cmp.Compare(m.services[b].rates.unreported, m.services[a].rates.unreported), cmp.Compare(a.String(), b.String()))
	})
	var out []ServiceSums
	size := 0
	for _, k := range keys {
		s := m.services[k]
		if s.rates.ownAt.IsZero() {
			continue
		}
		sums := s.ownSums(now)
		bytes := serviceOverheadBytes + len(k.String()) + bytesPerSum*len(sums)
		if size+bytes > maxServiceBytes && len(out) > 0 {
			// What waits comes first in a later report.
			s.rates.unreported++
			continue
		}
		size += bytes
		s.rates.unreported = 0
		out = append(out, ServiceSums{Key: k.String(), Sums: sums})
	}
	return out
}

// ownSums returns the sums of this VM as reports hold them.
func (s *serviceState) ownSums(now time.Time) []float32 {
	s.rates.advance(now)
	s.lateness.advance(now)
	count := s.rates.length
	out := make([]float32, 0, count+latenessSums)
	for _, x := range s.rates.own[:count] {
		out = append(out, float32(x))
	}
	for _, x := range s.lateness.own[:latenessSums] {
		out = append(out, float32(x))
	}
	return out
}

// reportFactors returns the sums of the endpoints with the most new observations.
func (m *Model) reportFactors(now time.Time) []FactorSums {
	var keys []endpointKey
	for k, f := range m.factors {
		if f.unreported > 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b endpointKey) int {
		return cmp.Or(cmp.Compare(m.factors[b].unreported, m.factors[a].unreported), cmp.Compare(a.id, b.id), cmp.Compare(a.born, b.born))
	})
	var out []FactorSums
	size := 0
	for _, k := range keys {
		f := m.factors[k]
		size += factorBytes + len(k.id)
		if size > maxReportBytes-maxServiceBytes {
			// What waits comes first in a later report.
			f.unreported++
			continue
		}
		f.advance(now)
		f.unreported = 0
		out = append(out, FactorSums{Endpoint: k.id, Born: k.born, LogSum: float32(f.own[sumLog]), Weight: float32(f.own[sumWeight])})
	}
	return out
}

// expire removes outdated state.
func (m *Model) expire(now time.Time) {
	for _, s := range m.services {
		s.rates.expire(now)
		s.lateness.expire(now)
	}
	for k, f := range m.factors {
		f.expire(now)
		if f.outdated(now) {
			delete(m.factors, k)
		}
	}
	for k, s := range m.services {
		if s.rates.outdated(now) && s.lateness.outdated(now) {
			delete(m.services, k)
		}
	}
	for vm, s := range m.vms {
		if now.Sub(s.at) > MaxAge {
			m.Forget(vm)
			continue
		}
		m.dropExpired(vm, s)
	}
}

// dropExpired removes the names of services and endpoints of which a VM's sums have expired.
func (m *Model) dropExpired(vm string, s *vmState) {
	for k := range s.services {
		if state := m.services[k]; state == nil || !state.rates.holds(vm) {
			delete(s.services, k)
		}
	}
	for k := range s.factors {
		if f := m.factors[k]; f == nil || !f.holds(vm) {
			delete(s.factors, k)
		}
	}
}

// ApplyReport replaces the sums of another VM by those of its newest report. Endpoints that the report does not name keep
// theirs, which decay. It returns the number of entries that were ignored because they are malformed.
func (m *Model) ApplyReport(vm string, boot uint64, r Report, now time.Time) int {
	s := m.vms[vm]
	if s != nil && s.boot != boot {
		m.Forget(vm)
		s = nil
	}
	if s == nil {
		s = &vmState{boot: boot, services: map[serviceKey]bool{}, factors: map[endpointKey]bool{}}
		m.vms[vm] = s
	}
	s.at = now
	ignored := 0
	for _, x := range r.Services {
		if !m.applyService(vm, s, x, now) {
			ignored++
		}
	}
	for _, x := range r.Factors {
		if !m.applyFactor(vm, s, x, now) {
			ignored++
		}
	}
	return ignored
}

// applyService replaces a VM's sums of a service. It reports whether they are well formed.
func (m *Model) applyService(vm string, s *vmState, x ServiceSums, now time.Time) bool {
	k, ok := parseKey(x.Key)
	count := k.sumCount()
	if !ok || len(x.Sums) != count+latenessSums {
		return false
	}
	var rates, lateness vector
	for i := range count {
		rates[i] = float64(x.Sums[i])
	}
	for i := range latenessSums {
		lateness[i] = float64(x.Sums[count+i])
	}
	if !rates.valid() || !lateness.boundedLogs() {
		return false
	}
	if !s.services[k] && len(s.services) >= maxServicesPerVM {
		return false
	}
	s.services[k] = true
	state := m.stateOf(k)
	state.rates.set(vm, rates, len(m.vms)+1, now)
	state.lateness.set(vm, lateness, len(m.vms)+1, now)
	return true
}

// applyFactor replaces a VM's sums of an endpoint. It reports whether they are well formed.
func (m *Model) applyFactor(vm string, s *vmState, x FactorSums, now time.Time) bool {
	v := vector{sumWeight: float64(x.Weight), sumLog: float64(x.LogSum)}
	if x.Endpoint == "" || !v.boundedLogs() {
		return false
	}
	k := endpointKey{x.Endpoint, x.Born}
	if !s.factors[k] && len(s.factors) >= maxFactorsPerVM {
		return false
	}
	s.factors[k] = true
	m.factorOf(k).set(vm, v, len(m.vms)+1, now)
	return true
}

// Forget removes what another VM reported.
func (m *Model) Forget(vm string) {
	s := m.vms[vm]
	if s == nil {
		return
	}
	delete(m.vms, vm)
	for k := range s.services {
		if state := m.services[k]; state != nil {
			state.rates.remove(vm, state.rates.at)
			state.lateness.remove(vm, state.lateness.at)
		}
	}
	for k := range s.factors {
		if f := m.factors[k]; f != nil {
			f.remove(vm, f.at)
		}
	}
}
