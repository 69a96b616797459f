package config

import (
	"strings"
	"testing"
)

// baseNote returns the complete configuration that each case of TestRefusals changes.
func baseNote() ReleaseNote {
	return ReleaseNote{ID: "base", Base: -1, Added: Items{
		Workspaces: []Workspace{{Name: "shop", TokensPerSecond: 10, BurstTokens: 100}},
		Keys:       []Key{{Digest: testDigest, Workspace: "shop"}},
		Models:     []Model{{Name: "small", Version: "v1", Adapters: []string{"tailor"}}},
		Routes: []Route{
			{Name: "chat", Kind: RouteChat, Model: "small", Adapter: "tailor"},
			{Name: "book", Kind: RouteService, Prefix: "/services/book", Service: "bookings"},
			{Name: "faq", Kind: RouteService, Prefix: "/services/book/faq", Service: "faq", Open: true, Workspace: "shop"},
		},
		Endpoints: []Endpoint{
			{Name: "e1", Kind: EndpointEngine, Address: "127.0.0.1:1", DataCentre: "a", Models: []string{"small"}},
			{Name: "s1", Kind: EndpointService, Address: "127.0.0.1:2", DataCentre: "a", Service: "bookings"},
		},
		Defaults: &Defaults{LimitSlots: 4},
	}}
}

// Guards against lookups that miss items of an accepted note, in the replay that applied it and in one restored from
// its snapshot.
func TestLookups(t *testing.T) {
	r := NewReplay()
	if v := mustApply(t, r, baseNote()); !v.Accepted {
		t.Fatalf("verdict %+v", v)
	}
	restored := NewReplay()
	if err := restored.Restore(r.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, s := range []*State{r.State(), restored.State()} {
		if w, ok := s.KeyWorkspace(testDigest); !ok || w.Name != "shop" {
			t.Errorf("workspace of key: %+v %v", w, ok)
		}
		if m, _ := s.Model("small"); m.BlockBytes != DefaultBlockBytes {
			t.Errorf("model without defaults: %+v", m)
		}
		// Callers send the adapter's name, so that a model can be served with and without it.
		if route, _ := s.ChatRoute("tailor"); route.Name != "chat" || route.DeadlineMs != DefaultDeadlineMs {
			t.Errorf("chat route %+v", route)
		}
		if route, ok := s.ChatRoute("small"); ok {
			t.Errorf("the route with an adapter answers to the model's name: %+v", route)
		}
		if len(s.ModelEndpoints("small")) != 1 || len(s.ServiceEndpoints("bookings")) != 1 {
			t.Error("endpoints are not found by what they serve")
		}
		if d := s.Defaults(); d.LimitSlots != 4 || d.RetentionSeconds != DefaultRetentionSeconds {
			t.Errorf("defaults %+v", d)
		}
		for path, want := range map[string]string{
			"/services/book": "book", "/services/book/42": "book", "/services/book/faq/1": "faq",
			"/services/bookings": "", "/services": "", "": "",
		} {
			if route, _ := s.ServiceRoute(path); route.Name != want {
				t.Errorf("route of %q is %q, want %q", path, route.Name, want)
			}
		}
	}
}

// Guards against notes that would make the configuration inconsistent, and against verdicts that do not list the
// item. Each case applies a second note to the configuration of baseNote, which is at offset 0.
func TestRefusals(t *testing.T) {
	shop := Workspace{Name: "shop", TokensPerSecond: 10, BurstTokens: 100}
	engine := Endpoint{Name: "e2", Kind: EndpointEngine, Address: "127.0.0.1:3", DataCentre: "a", Models: []string{"small"}}
	cases := []struct {
		name     string
		change   func(*ReleaseNote)
		reason   string
		conflict Ref
	}{
		{"bad id", func(n *ReleaseNote) { n.ID = "a b" }, "id: expected", Ref{}},
		{"base at own offset", func(n *ReleaseNote) { n.Base = 1 }, "base: expected an offset before", Ref{}},
		{"base below -1", func(n *ReleaseNote) { n.Base = -2 }, "base: expected", Ref{}},
		{"added twice", func(n *ReleaseNote) { n.Added.Workspaces = []Workspace{shop} }, "exists since offset 0",
			Ref{KindWorkspace, "shop"}},
		{"changed after base", func(n *ReleaseNote) {
			n.Base = -1
			n.Changed.Workspaces = []Workspace{shop}
		}, "changed at offset 0, after base -1", Ref{KindWorkspace, "shop"}},
		{"changed but unknown", func(n *ReleaseNote) { n.Changed.Endpoints = []Endpoint{engine} }, "does not exist",
			Ref{KindEndpoint, "e2"}},
		{"withdrawn but unknown", func(n *ReleaseNote) { n.Withdrawn = []Ref{{KindModel, "large"}} }, "does not exist",
			Ref{KindModel, "large"}},
		{"listed twice", func(n *ReleaseNote) {
			n.Changed.Workspaces = []Workspace{shop}
			n.Withdrawn = []Ref{{KindWorkspace, "shop"}}
		}, "listed twice", Ref{KindWorkspace, "shop"}},
		{"workspace in use", func(n *ReleaseNote) { n.Withdrawn = []Ref{{KindWorkspace, "shop"}} }, "is referred to by key",
			Ref{KindWorkspace, "shop"}},
		{"model in use", func(n *ReleaseNote) { n.Withdrawn = []Ref{{KindModel, "small"}} }, "is referred to by endpoint",
			Ref{KindModel, "small"}},
		{"adapter in use", func(n *ReleaseNote) { n.Changed.Models = []Model{{Name: "small", Version: "v2"}} },
			"refers to adapter", Ref{KindRoute, "chat"}},
		{"key without workspace", func(n *ReleaseNote) {
			n.Changed.Keys = []Key{{Digest: testDigest, Workspace: "gone"}}
		}, "refers to workspace", Ref{KindKey, testDigest}},
		{"open route without workspace", func(n *ReleaseNote) {
			n.Changed.Routes = []Route{{Name: "book", Kind: RouteService, Prefix: "/b", Service: "b", Open: true, Workspace: "x"}}
		}, "refers to workspace", Ref{KindRoute, "book"}},
		{"engine without model", func(n *ReleaseNote) {
			engine := engine
			engine.Models = []string{"large"}
			n.Added.Endpoints = []Endpoint{engine}
		}, "refers to model", Ref{KindEndpoint, "e2"}},
		{"two chat routes", func(n *ReleaseNote) {
			n.Added.Routes = []Route{{Name: "other", Kind: RouteChat, Model: "small", Adapter: "tailor"}}
		}, "has the same model name", Ref{KindRoute, "chat"}},
		{"two prefixes", func(n *ReleaseNote) {
			n.Added.Routes = []Route{{Name: "other", Kind: RouteService, Prefix: "/services/book", Service: "x"}}
		}, "has the same prefix", Ref{KindRoute, "book"}},
		{"two addresses", func(n *ReleaseNote) {
			engine := engine
			engine.Address = "127.0.0.1:1"
			n.Added.Endpoints = []Endpoint{engine}
		}, "has the same address", Ref{KindEndpoint, "e1"}},
		{"no rate", func(n *ReleaseNote) { n.Changed.Workspaces = []Workspace{{Name: "shop", BurstTokens: 1}} },
			"tokens_per_second: expected a number of at least 1", Ref{KindWorkspace, "shop"}},
		{"long name", func(n *ReleaseNote) {
			n.Added.Workspaces = []Workspace{{Name: strings.Repeat("a", 64), TokensPerSecond: 1, BurstTokens: 1}}
		}, "name: expected 1 to 63", Ref{}},
	}
	for _, c := range cases {
		r := NewReplay()
		mustApply(t, r, baseNote())
		note := ReleaseNote{ID: "second", Base: 0}
		c.change(&note)
		before := mustJSON(versionedItems(r.State().workspaces))
		v := mustApply(t, r, note)
		if v.Accepted || !strings.Contains(v.Reason, c.reason) {
			t.Errorf("%s: verdict %+v, want reason %q", c.name, v, c.reason)
		}
		if c.conflict.Kind != "" && !containsRef(v.Conflicts, c.conflict) {
			t.Errorf("%s: conflicts %v, want %v", c.name, v.Conflicts, c.conflict)
		}
		if string(before) != string(mustJSON(versionedItems(r.State().workspaces))) || len(r.State().Endpoints()) != 2 {
			t.Errorf("%s: a refused note changed the state", c.name)
		}
	}
}

func containsRef(refs []Ref, ref Ref) bool {
	for _, r := range refs {
		if r == ref {
			return true
		}
	}
	return false
}

// Guards against values that the router cannot use: an invalid address, prefix or kind, or a field that the kind does
// not have.
func TestItemChecks(t *testing.T) {
	countViolations := func(check func(*checker)) int {
		c := &checker{}
		check(c)
		return len(c.violations)
	}
	for _, address := range []string{"localhost:1", "127.0.0.1", "127.0.0.1:0", "[fe80::1%eth0]:1", "127.0.0.1:99999"} {
		if validAddress(address) {
			t.Errorf("address %s is accepted", address)
		}
	}
	for _, prefix := range []string{"", "/", "a", "/a/", "//a", "/a/../b", "/v1/x", "/healthz", "/debug/vars", "/a?b"} {
		if validPathPrefix(prefix) {
			t.Errorf("prefix %s is accepted", prefix)
		}
	}
	chat := Route{Name: "r", Kind: RouteChat, Model: "m", Prefix: "/p", Service: "s", TokensPerCall: 1,
		IdempotentMethods: []string{"GET"}, Workspace: "w", DeadlineMs: -1}
	if n := countViolations(func(c *checker) { checkRoute(&chat, c) }); n != 6 {
		t.Errorf("%d violations of a chat route, want 6", n)
	}
	service := Endpoint{Name: "e", Kind: EndpointService, Address: "127.0.0.1:1", DataCentre: "a", Models: []string{"m"},
		ChecksFencing: true}
	if n := countViolations(func(c *checker) { checkEndpoint(&service, c) }); n != 3 {
		t.Errorf("%d violations of a service, want 3", n)
	}
	defaults := Defaults{LimitSlots: -1, CacheStore: "x", RetentionSeconds: -1}
	if n := countViolations(func(c *checker) { checkDefaults(&defaults, c) }); n != 3 {
		t.Errorf("%d violations of defaults, want 3", n)
	}
}

// Guards against verdicts of unbounded size and against verdicts that depend on map order.
func TestVerdictIsBoundedAndStable(t *testing.T) {
	note := ReleaseNote{ID: "many", Base: -1}
	for i := range 200 {
		name := "w-" + strings.Repeat("x", i%60)
		digest := strings.Repeat(string("0123456789abcdef"[i%16]), digestBytes)
		note.Added.Keys = append(note.Added.Keys, Key{Digest: digest, Workspace: name})
	}
	note.Added.Keys = note.Added.Keys[:16]
	var first string
	for range 20 {
		v := mustApply(t, NewReplay(), note)
		if len(v.Reason) > maxReasonBytes || len(v.Conflicts) != maxConflicts {
			t.Fatalf("%d bytes of reason, %d conflicts", len(v.Reason), len(v.Conflicts))
		}
		if text := string(mustJSON(v)); first == "" {
			first = text
		} else if text != first {
			t.Fatalf("verdicts differ:\n%s\n%s", first, text)
		}
	}
}
