package traffic

import (
	"fmt"
	"testing"
)

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

func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"none", 0}, {"b", 10}}}
	first := map[string]int{}
	for i := range 10_000 {
		order := r.Pick(fmt.Sprint("request-", i))
		if len(order) != 2 {
			t.Fatalf("order %v", order)
		}
		if again := r.Pick(fmt.Sprint("request-", i)); again[0] != order[0] {
			t.Fatal("two decisions on one request differ")
		}
		first[order[0]]++
	}
	if first["b"] < 800 || first["b"] > 1200 {
		t.Errorf("%v of 10,000 requests", first)
	}
	if got := (&Route{Targets: []Target{{"a", 0}}}).Pick("x"); got != nil {
		t.Errorf("a target without weight is picked: %v", got)
	}
}

func TestNoKeyNoWorkspace(t *testing.T) {
	c := (&Config{Workspaces: []Workspace{{Name: "w", Keys: []string{"k", ""}}}}).Build()
	if c.WorkspaceOf("") != nil || c.WorkspaceOf("x") != nil || c.WorkspaceOf("k") == nil {
		t.Error("keys are not told apart")
	}
}

func TestCacheStoreOfTheDataCentreComesFirst(t *testing.T) {
	near, far := &CacheStore{DataCentre: "x"}, &CacheStore{DataCentre: "y"}
	c := (&Config{Services: map[string]*Service{"a": {Name: "a", Store: far}, "b": {Name: "b", Store: near}, "c": {Name: "c"}}}).Build()
	if c.StoreNear("x") != near || c.StoreNear("y") != far || c.StoreNear("z") != far {
		t.Error("the wrong store")
	}
	if (&Config{}).Build().StoreNear("x") != nil {
		t.Error("a store out of nothing")
	}
}

func TestWhatMayRunTwice(t *testing.T) {
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
