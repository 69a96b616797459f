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
	// maxAuthorBytes limits the author text of a release note.
	maxAuthorBytes = 256
	// digestBytes is the length of a SHA-256 digest in hexadecimal.
	digestBytes = 64
	// maxLimitSlots bounds the number of records on the control stream. The target deployment needs 16 slots per
	// group.
	maxLimitSlots = 1024
)

// fieldViolation is a field with an invalid value.
type fieldViolation struct {
	// field is the YAML and JSON name of the field, or empty for the item as a whole.
	field string
	// expected describes the valid values.
	expected string
}

// checker collects the violations of one item.
type checker struct {
	violations []fieldViolation
}

// expect adds a violation unless ok is true.
func (c *checker) expect(ok bool, field, want string, args ...any) {
	if ok {
		return
	}
	c.violations = append(c.violations, fieldViolation{field: field, expected: fmt.Sprintf(want, args...)})
}

// expectName expects 1 to 63 characters of [a-z0-9-].
func (c *checker) expectName(field, value string) {
	c.expect(validName(value), field, "1 to %d characters of [a-z0-9-], not %s", maxNameBytes, quote(value))
}

// expectAtLeast expects a number that is not below the minimum.
func (c *checker) expectAtLeast(field string, value, minimum int64) {
	c.expect(value >= minimum, field, "a number of at least %d, not %d", minimum, value)
}

// expectAddress expects IP:port.
func (c *checker) expectAddress(field, value string) {
	c.expect(validAddress(value), field, "IP:port, not %s", quote(value))
}

// quote returns text from a release note as a quoted ASCII string, cut to 80 bytes.
func quote(text string) string {
	const maxQuotedBytes = 80
	if len(text) > maxQuotedBytes {
		return fmt.Sprintf("%+q...", text[:maxQuotedBytes])
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

// consistsOf reports whether text has 1 to maxBytes bytes and only allowed characters.
func consistsOf(text string, maxBytes int, allowed string) bool {
	if text == "" || len(text) > maxBytes {
		return false
	}
	return strings.Trim(text, allowed) == "" && !strings.ContainsFunc(text, func(r rune) bool {
		return !strings.ContainsRune(allowed, r)
	})
}

// validAddress reports whether address is IP:port with a port other than 0 and without an IPv6 zone.
func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && parsed.Addr().Zone() == ""
}

// validPathPrefix reports whether prefix is a path such as /segment/segment, without a trailing slash, that the
// router does not serve itself.
func validPathPrefix(prefix string) bool {
	const maxPrefixBytes = 256
	if !strings.HasPrefix(prefix, "/") || len(prefix) > maxPrefixBytes {
		return false
	}
	for segment := range strings.SplitSeq(prefix[1:], "/") {
		if !validVersion(segment) || segment == "." || segment == ".." {
			return false
		}
	}
	return !isReservedPath(prefix)
}

// isReservedPath reports whether the router itself serves the path.
func isReservedPath(prefix string) bool {
	first, _, _ := strings.Cut(prefix[1:], "/")
	switch first {
	case "v1", "healthz", "readyz", "debug":
		return true
	}
	return false
}

func checkWorkspace(w *Workspace, c *checker) {
	c.expectName("name", w.Name)
	c.expectAtLeast("tokens_per_second", w.TokensPerSecond, 1)
	c.expectAtLeast("burst_tokens", w.BurstTokens, 1)
}

func checkKey(k *Key, c *checker) {
	c.expect(validDigest(k.Digest), "digest", "the SHA-256 of the key as %d characters of [0-9a-f]", digestBytes)
	c.expectName("workspace", k.Workspace)
}

func checkModel(m *Model, c *checker) {
	c.expectName("name", m.Name)
	c.expect(validVersion(m.Version), "version", "1 to %d characters of [A-Za-z0-9._-], not %s", maxNameBytes,
		quote(m.Version))
	c.expectDistinctNames("adapters", m.Adapters)
	c.expectAtLeast("block_bytes", int64(m.BlockBytes), 0)
	c.expectAtLeast("min_ready", int64(m.MinReady), 0)
	c.expectAtLeast("prefill_us_per_block", m.PrefillMicrosPerBlock, 0)
	c.expectAtLeast("max_output_tokens", m.MaxOutputTokens, 0)
}

// expectDistinctNames expects valid names without duplicates.
func (c *checker) expectDistinctNames(field string, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		c.expectName(field, name)
		c.expect(!seen[name], field, "each name once, not %s twice", quote(name))
		seen[name] = true
	}
}

func checkRoute(r *Route, c *checker) {
	c.expectName("name", r.Name)
	switch r.Kind {
	case RouteChat:
		checkChatRoute(r, c)
	case RouteService:
		checkServiceRoute(r, c)
	default:
		c.expect(false, "kind", "chat or service, not %s", quote(string(r.Kind)))
	}
	c.expectAtLeast("tokens_per_call", r.TokensPerCall, 0)
	c.expectAtLeast("deadline_ms", r.DeadlineMs, 0)
	if r.Open {
		c.expectName("workspace", r.Workspace)
		return
	}
	c.expect(r.Workspace == "", "workspace", "no workspace unless the route is open")
}

func checkChatRoute(r *Route, c *checker) {
	c.expectName("model", r.Model)
	if r.Adapter != "" {
		c.expectName("adapter", r.Adapter)
	}
	c.expect(r.Prefix == "", "prefix", "no prefix on a chat route")
	c.expect(r.Service == "", "service", "no service on a chat route")
	c.expect(len(r.IdempotentMethods) == 0, "idempotent_methods", "no methods on a chat route")
	c.expect(r.TokensPerCall == 0, "tokens_per_call", "no charge per call on a chat route")
}

func checkServiceRoute(r *Route, c *checker) {
	c.expect(validPathPrefix(r.Prefix), "prefix",
		"a path such as /services/bookings, outside /v1, /healthz, /readyz and /debug, not %s", quote(r.Prefix))
	c.expectName("service", r.Service)
	c.expect(r.Model == "", "model", "no model on a service route")
	c.expect(r.Adapter == "", "adapter", "no adapter on a service route")
	for _, method := range r.IdempotentMethods {
		ok := consistsOf(method, maxNameBytes, "ABCDEFGHIJKLMNOPQRSTUVWXYZ")
		c.expect(ok, "idempotent_methods", "methods in upper case, not %s", quote(method))
	}
}

func checkEndpoint(e *Endpoint, c *checker) {
	c.expectName("name", e.Name)
	c.expectAddress("address", e.Address)
	c.expectName("data_centre", e.DataCentre)
	c.expectAtLeast("max_running", int64(e.MaxRunning), 0)
	switch e.Kind {
	case EndpointEngine:
		c.expect(len(e.Models) > 0, "models", "at least one model")
		c.expect(e.Service == "", "service", "no service on an engine")
		c.expectDistinctNames("models", e.Models)
	case EndpointService:
		c.expectName("service", e.Service)
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
		c.expectAddress("cache_store", d.CacheStore)
	}
	c.expectAtLeast("retention_seconds", d.RetentionSeconds, 0)
}

// checkNoteFields checks the note's own fields. The base is compared with the log on replay.
func checkNoteFields(n *ReleaseNote, c *checker) {
	c.expect(validID(n.ID), "id", "1 to %d characters of [A-Za-z0-9._:-], not %s", maxIDBytes, quote(n.ID))
	c.expectAtLeast("base", n.Base, -1)
	c.expect(len(n.Author) <= maxAuthorBytes, "author", "at most %d bytes", maxAuthorBytes)
}

// checkWithdrawnRef checks an entry of the list of withdrawn items.
func checkWithdrawnRef(r *Ref, c *checker) {
	c.expect(knownKind(r.Kind), "kind", "workspace, key, model, route, endpoint or defaults, not %s",
		quote(string(r.Kind)))
	c.expect(validName(r.Name) || validDigest(r.Name), "name", "the name of the item, or the digest of a key, not %s",
		quote(r.Name))
}

// validRef reports whether an item can have that kind and name.
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
