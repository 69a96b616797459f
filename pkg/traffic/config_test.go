package traffic

import (
	"fmt"
	"testing"
)

// Guards against choosing a route of another host or with a shorter prefix.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := (&Config{Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "H", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/"},
	}}).Build()
	for _, q := range []struct{ host, path, want string }{
		{"h", "/a/x", "short"}, {"H:80", "/a/b/x", "long"}, {"h", "/a/b", "short"}, {"g", "/a/b/", "other"},
		{"h", "/a", ""}, {"h", "/ab/", ""}, {"none", "/a/", ""},
	} {
		got := ""
		if r := c.Match(q.host, q.path); r != nil {
			got = r.Name
		}
		if got != q.want {
			t.Errorf("%s%s goes to %q, want %q", q.host, q.path, got, q.want)
		}
	}
}

// Guards against a split of requests that departs from the weights or differs between calls for the same request.
func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"none", 0}, {"b", 10}}}
	first := map[string]int{}
	for i := range 10_000 {
		order := r.TargetOrder(fmt.Sprint("request-", i))
		if len(order) != 2 {
			t.Fatalf("order %v", order)
		}
		if again := r.TargetOrder(fmt.Sprint("request-", i)); again[0] != order[0] {
			t.Fatal("two decisions on one request differ")
		}
		first[order[0]]++
	}
	if first["b"] < 800 || first["b"] > 1200 {
		t.Errorf("%v of 10,000 requests", first)
	}
	if got := (&Route{Targets: []Target{{"a", 0}}}).TargetOrder("x"); got != nil {
		t.Errorf("a target without weight is picked: %v", got)
	}
}

// Guards against an empty or unknown key matching a workspace.
func TestUnknownKeyMatchesNoWorkspace(t *testing.T) {
	c := (&Config{Workspaces: []Workspace{{Name: "w", Keys: []string{"k", ""}}}}).Build()
	if c.WorkspaceByKey("") != nil || c.WorkspaceByKey("x") != nil || c.WorkspaceByKey("k") == nil {
		t.Error("an empty or unknown key matches a workspace, or a valid key matches none")
	}
}

// Guards against cache stores that all hold the same subjects, and against VMs that choose different stores for one
// subject.
func TestSubjectsSpreadOverCacheStores(t *testing.T) {
	services := map[string]*Service{"plain": {Name: "plain"}}
	for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"} {
		services[address] = &Service{Name: address, Store: &CacheStore{Address: address}}
	}
	one, other := (&Config{Services: services}).Build(), (&Config{Services: services}).Build()
	const subjects = 3000
	held := map[string]int{}
	for subject := range uint64(subjects) {
		store := one.StoreFor(subject)
		if other.StoreFor(subject).Address != store.Address {
			t.Fatalf("two VMs choose different stores for subject %d", subject)
		}
		held[store.Address]++
	}
	for address, n := range held {
		if n < subjects/4 || n > subjects/2 {
			t.Errorf("%s holds %d of %d subjects", address, n, subjects)
		}
	}
	if (&Config{}).Build().StoreFor(1) != nil {
		t.Error("a configuration without stores returned a store")
	}
}

// Guards against repeating requests that may run only once.
func TestIdempotentRoutes(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{}, false}, {Route{Kind: Safe}, true}, {Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true}, {Route{Kind: Unsafe, Resumable: true}, false},
	} {
		if got := c.route.Idempotent(); got != c.want {
			t.Errorf("%+v: %v", c.route, got)
		}
	}
}
