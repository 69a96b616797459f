package gateway

import (
	"testing"

	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// Guards against cached material that is shared between models, weight versions or with an isolated workspace.
func TestSaltSeparatesCachedMaterial(t *testing.T) {
	open, walled, other := &traffic.Workspace{Name: "a"}, &traffic.Workspace{Name: "b", Isolated: true}, &traffic.Workspace{Name: "c", Isolated: true}
	base := salts("m", isolationOf(open))
	if base(1) != salts("m", isolationOf(nil))(1) {
		t.Error("equal requests share nothing")
	}
	seen := map[string]string{}
	for name, salt := range map[string]string{
		"base": base(1), "version": base(2), "model": salts("n", "")(1), "isolated": salts("m", isolationOf(walled))(1),
		"isolated from the isolated": salts("m", isolationOf(other))(1), "names that run together": salts("m 1", "")(1),
	} {
		if before, known := seen[salt]; known {
			t.Errorf("%s shares with %s", name, before)
		}
		seen[salt] = name
	}
}
