package gateway

import (
	"testing"

	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// Guards against cached material that is shared between models, weight versions or with an isolated workspace.
func TestSaltSeparatesCachedMaterial(t *testing.T) {
	open, isolated, otherIsolated := &traffic.Workspace{Name: "a"}, &traffic.Workspace{Name: "b", Isolated: true}, &traffic.Workspace{Name: "c", Isolated: true}
	base := cacheSalts("m", cacheIsolation(open))
	if base(1) != cacheSalts("m", cacheIsolation(nil))(1) {
		t.Error("equal requests have different salts")
	}
	seen := map[string]string{}
	for name, salt := range map[string]string{
		"base": base(1), "version": base(2), "model": cacheSalts("n", "")(1), "isolated": cacheSalts("m", cacheIsolation(isolated))(1),
		"isolated from the isolated": cacheSalts("m", cacheIsolation(otherIsolated))(1), "names that run together": cacheSalts("m 1", "")(1),
	} {
		if before, known := seen[salt]; known {
			t.Errorf("%s has the same salt as %s", name, before)
		}
		seen[salt] = name
	}
}
