package config

import (
	"fmt"
	"net/netip"
	"strings"
)

const (
	// maxNameBytes is the longest item name, as in a DNS label.
	maxNameBytes = 63
	// maxIDBytes is the longest id of a release note.
	maxIDBytes = 128
	// maxAuthorBytes bounds the free text of a note.
	maxAuthorBytes = 256
	// digestBytes is the length of a SHA-256 digest in hexadecimal.
	digestBytes = 64
	// maxLimitSlots bounds the records on the control stream; the target needs 16 slots a group.
	maxLimitSlots = 1024
)

// fault is one thing that is wrong with a field.
type fault struct {
	// field is the YAML and JSON name of the field, or empty for the item.
	field string
	// want tells what was expected.
	want string
}

// checker collects the faults of one item.
type checker struct {
	faults []fault
}

func (c *checker) expect(ok bool, field, want string, args ...any) {
	if ok {
		return
	}
	c.faults = append(c.faults, fault{field: field, want: fmt.Sprintf(want, args...)})
}

// name expects a name of 1 to 63 characters of [a-z0-9-].
func (c *checker) name(field, value string) {
	c.expect(validName(value), field, "1 to %d characters of [a-z0-9-], not %s", maxNameBytes, quote(value))
}

// atLeast expects a number of at least low.
func (c *checker) atLeast(field string, value, low int64) {
	c.expect(value >= low, field, "a number of at least %d, not %d", low, value)
}

// address expects IP:port.
func (c *checker) address(field, value string) {
	c.expect(validAddress(value), field, "IP:port, not %s", quote(value))
}

// quote returns a short ASCII form of text from a note.
func quote(text string) string {
	const longest = 80
	if len(text) > longest {
		return fmt.Sprintf("%+q...", text[:longest])
	}
	return fmt.Sprintf("%+q", text)
}

func validName(name string) bool {
	return consistsOf(name, maxNameBytes, "abcdefghijklmnopqrstuvwxyz0123456789-")
}

func validID(id string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	return consistsOf(id, maxIDBytes, letters+"0123456789-_.:")
}

func validVersion(version string) bool {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	return consistsOf(version, maxNameBytes, letters+"0123456789-_.")
}

func validDigest(digest string) bool {
	return len(digest) == digestBytes && consistsOf(digest, digestBytes, "0123456789abcdef")
}

func consistsOf(text string, longest int, allowed string) bool {
	if text == "" || len(text) > longest {
		return false
	}
	return strings.Trim(text, allowed) == "" && !strings.ContainsFunc(text, func(r rune) bool {
		return !strings.ContainsRune(allowed, r)
	})
}

func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && parsed.Addr().Zone() == ""
}

// validPrefix accepts /segment/segment without a slash at the end.
func validPrefix(prefix string) bool {
	const longest = 256
	if !strings.HasPrefix(prefix, "/") || len(prefix) > longest {
		return false
	}
	for segment := range strings.SplitSeq(prefix[1:], "/") {
		if !validVersion(segment) || segment == "." || segment == ".." {
			return false
		}
	}
	return !reservedPrefix(prefix)
}

// reservedPrefix tells whether the router itself serves the path.
func reservedPrefix(prefix string) bool {
	first, _, _ := strings.Cut(prefix[1:], "/")
	switch first {
	case "v1", "healthz", "readyz", "debug":
		return true
	}
	return false
}

func checkWorkspace(w *Workspace, c *checker) {
	c.name("name", w.Name)
	c.atLeast("tokens_per_second", w.TokensPerSecond, 1)
	c.atLeast("burst_tokens", w.BurstTokens, 1)
}

func checkKey(k *Key, c *checker) {
	c.expect(validDigest(k.Digest), "digest", "the SHA-256 of the key as %d characters of [0-9a-f]", digestBytes)
	c.name("workspace", k.Workspace)
}

func checkModel(m *Model, c *checker) {
	c.name("name", m.Name)
	c.expect(validVersion(m.Version), "version", "1 to %d characters of [A-Za-z0-9._-], not %s", maxNameBytes,
		quote(m.Version))
	c.nameList("adapters", m.Adapters)
	c.atLeast("block_bytes", int64(m.BlockBytes), 0)
	c.atLeast("min_ready", int64(m.MinReady), 0)
	c.atLeast("prefill_us_per_block", m.PrefillMicrosPerBlock, 0)
	c.atLeast("max_output_tokens", m.MaxOutputTokens, 0)
}

// nameList expects distinct names.
func (c *checker) nameList(field string, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		c.name(field, name)
		c.expect(!seen[name], field, "each name once, not %s twice", quote(name))
		seen[name] = true
	}
}

func checkRoute(r *Route, c *checker) {
	c.name("name", r.Name)
	switch r.Kind {
	case RouteChat:
		checkChatRoute(r, c)
	case RouteService:
		checkServiceRoute(r, c)
	default:
		c.expect(false, "kind", "chat or service, not %s", quote(string(r.Kind)))
	}
	c.atLeast("tokens_per_call", r.TokensPerCall, 0)
	c.atLeast("deadline_ms", r.DeadlineMs, 0)
	if r.Open {
		c.name("workspace", r.Workspace)
		return
	}
	c.expect(r.Workspace == "", "workspace", "no workspace unless the route is open")
}

func checkChatRoute(r *Route, c *checker) {
	c.name("model", r.Model)
	if r.Adapter != "" {
		c.name("adapter", r.Adapter)
	}
	c.expect(r.Prefix == "", "prefix", "no prefix on a chat route")
	c.expect(r.Service == "", "service", "no service on a chat route")
	c.expect(len(r.IdempotentMethods) == 0, "idempotent_methods", "no methods on a chat route")
	c.expect(r.TokensPerCall == 0, "tokens_per_call", "no charge per call on a chat route")
}

func checkServiceRoute(r *Route, c *checker) {
	c.expect(validPrefix(r.Prefix), "prefix",
		"a path such as /services/bookings, outside /v1, /healthz, /readyz and /debug, not %s", quote(r.Prefix))
	c.name("service", r.Service)
	c.expect(r.Model == "", "model", "no model on a service route")
	c.expect(r.Adapter == "", "adapter", "no adapter on a service route")
	for _, method := range r.IdempotentMethods {
		ok := consistsOf(method, maxNameBytes, "ABCDEFGHIJKLMNOPQRSTUVWXYZ")
		c.expect(ok, "idempotent_methods", "methods in upper case, not %s", quote(method))
	}
}

func checkEndpoint(e *Endpoint, c *checker) {
	c.name("name", e.Name)
	c.address("address", e.Address)
	c.name("data_centre", e.DataCentre)
	c.atLeast("max_running", int64(e.MaxRunning), 0)
	switch e.Kind {
	case EndpointEngine:
		c.expect(len(e.Models) > 0, "models", "at least one model")
		c.expect(e.Service == "", "service", "no service on an engine")
		c.nameList("models", e.Models)
	case EndpointService:
		c.name("service", e.Service)
		c.expect(len(e.Models) == 0, "models", "no models on a plain service")
		c.expect(!e.ChecksFencing, "checks_fencing", "false on a plain service, which gets no orders")
	default:
		c.expect(false, "kind", "engine or service, not %s", quote(string(e.Kind)))
	}
}

func checkDefaults(d *Defaults, c *checker) {
	c.expect(d.LimitSlots >= 0 && d.LimitSlots <= maxLimitSlots, "limit_slots", "0 to %d, not %d", maxLimitSlots,
		d.LimitSlots)
	if d.CacheStore != "" {
		c.address("cache_store", d.CacheStore)
	}
	c.atLeast("retention_seconds", d.RetentionSeconds, 0)
}

// checkHeader checks the fields of the note itself. The base is checked against the log on replay.
func checkHeader(n *ReleaseNote, c *checker) {
	c.expect(validID(n.ID), "id", "1 to %d characters of [A-Za-z0-9._:-], not %s", maxIDBytes, quote(n.ID))
	c.atLeast("base", n.Base, -1)
	c.expect(len(n.Author) <= maxAuthorBytes, "author", "at most %d bytes", maxAuthorBytes)
}

// checkRef checks an entry of the list of withdrawn items.
func checkRef(r *Ref, c *checker) {
	c.expect(knownKind(r.Kind), "kind", "workspace, key, model, route, endpoint or defaults, not %s",
		quote(string(r.Kind)))
	c.expect(validName(r.Name) || validDigest(r.Name), "name", "the name of the item, or the digest of a key, not %s",
		quote(r.Name))
}

// validRef tells whether an item can have that kind and name.
func validRef(r Ref) bool {
	return knownKind(r.Kind) && (validName(r.Name) || validDigest(r.Name))
}

func knownKind(kind Kind) bool {
	switch kind {
	case KindWorkspace, KindKey, KindModel, KindRoute, KindEndpoint, KindDefaults:
		return true
	}
	return false
}
