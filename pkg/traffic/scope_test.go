package traffic

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against cached material that a request uses although another workspace made it and one of the two is isolated: over
// any series of configurations in which workspaces become isolated and shared again, are removed and created again, with
// VMs that start in between and so know only the configuration in force. What a workspace cached counts as isolated from its
// isolation on, and also if it was removed while isolated.
func TestIsolatedWorkspacesShareNothing(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		makers := map[string]map[string]bool{}
		isolated := map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "versions") {
			c := &Config{}
			for _, name := range names {
				if rapid.IntRange(0, 4).Draw(t, "present") == 0 {
					continue
				}
				w := Workspace{Name: name, Isolated: rapid.Bool().Draw(t, "isolated")}
				isolated[name] = w.Isolated
				c.Workspaces = append(c.Workspaces, w)
			}
			c.Build()
			for _, w := range c.Workspaces {
				scope := c.CacheScope(w.Name)
				for maker := range makers[scope] {
					if maker != w.Name && (w.Isolated || isolated[maker]) {
						t.Fatalf("%s uses what %s made, in scope %s", w.Name, maker, scope)
					}
				}
				if makers[scope] == nil {
					makers[scope] = map[string]bool{}
				}
				makers[scope][w.Name] = true
			}
		}
	})
}

// Guards against prompt parts that are read again after changes that do not concern who shares them.
func TestScopeStaysTheSameForTheSameWorkspaces(t *testing.T) {
	config := func(version int64, names ...string) *Config {
		c := &Config{Version: version, Routes: []Route{{Name: fmt.Sprint(version)}}}
		for _, name := range names {
			c.Workspaces = append(c.Workspaces, Workspace{Name: name, Keys: []string{fmt.Sprint(name, version)}})
		}
		return c.Build()
	}
	if a, b := config(1, "a", "b").CacheScope("a"), config(2, "b", "a").CacheScope("b"); a != b {
		t.Errorf("scopes %q and %q of the same workspaces differ", a, b)
	}
}
