package failure

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/pkg/config"
)

func switchVersion(version string) config.ReleaseNote {
	return config.ReleaseNote{ID: "switch-" + version, Changed: config.Items{
		Models: []config.Model{{Name: "small", Version: version, BlockBytes: blockSize, MinReady: 2}},
	}}
}

// A version switch must refuse nothing, never mix versions within one stream, and never go back to the older weights.
func TestVersionSwitchUnderLoad(t *testing.T) {
	d := start(t, shape{vms: 2, engines: 3})
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range 4 {
		load.Go(func() {
			prompt := fmt.Sprintf("switch %d", i)
			old, current := wholeText(prompt, "v1", 20), wholeText(prompt, "v2", 20)
			switched := false
			for {
				select {
				case <-stop:
					return
				default:
				}
				// One caller stays with one VM, since VMs switch at slightly different times.
				r := d.chat(d.VMs[i%2], keyLarge, prompt, 20)
				switch {
				case r.end == "done" && r.text == old && !switched:
				case r.end == "done" && r.text == current:
					switched = true
				default:
					t.Errorf("answer during the switch (switched before: %v): %v, text %q", switched, r, r.text)
					return
				}
			}
		})
	}
	d.publish(switchVersion("v2"))
	d.await("all engines hold the new version", func() bool {
		for _, e := range d.engines {
			if !holds(e, "v2") {
				return false
			}
		}
		return true
	})
	d.await("new requests get the new weights", func() bool {
		for _, v := range d.VMs {
			if d.chat(v, keyLarge, "new", 5).text != wholeText("new", "v2", 5) {
				return false
			}
		}
		return true
	})
	close(stop)
	load.Wait()
	for _, e := range d.engines {
		if n := e.Stats().StaleHits; n > 0 {
			t.Errorf("an engine used %d cached blocks of other weights", n)
		}
	}
}

func holds(e *engine.Engine, version string) bool {
	for _, v := range e.ExactState().Versions {
		if v.Version == version && v.State == "ready" {
			return true
		}
	}
	return false
}

// The issuer of orders dies during a switch; another VM must finish it.
func TestVersionSwitchSurvivesItsIssuer(t *testing.T) {
	d := start(t, shape{vms: 3, engines: 3})
	issuer := d.VMs[0]
	for _, v := range d.VMs {
		if strings.Contains(strings.Join(d.status(v).Slots, " "), "orders") {
			issuer = v
		}
	}
	d.publish(switchVersion("v2"))
	issuer.Kill()
	d.check(d.Restart(issuer))
	d.await("all engines hold the new version", func() bool {
		for _, e := range d.engines {
			if !holds(e, "v2") {
				return false
			}
		}
		return true
	})
}
