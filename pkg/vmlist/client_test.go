package vmlist

import (
	"context"
	"testing"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/httpcall/cutserver"
)

// Guards against a broken answer that is taken for the list of VMs, so that VMs count as gone.
func TestBrokenAnswersAreNoLists(t *testing.T) {
	for name, response := range cutserver.BrokenResponses(`{"vms":[]}`) {
		t.Run(name, func(t *testing.T) {
			pool := httpcall.NewClient()
			defer pool.Close()
			if list, err := New(cutserver.Start(t, response, 100, 0), pool).Read(context.Background()); err == nil {
				t.Errorf("list %+v", list)
			}
		})
	}
}
