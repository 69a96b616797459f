package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/lab/engine"
)

// SendOptions configure load on running VMs.
type SendOptions struct {
	// Profile is the name of the profile.
	Profile string
	// Targets are the caller addresses of the VMs.
	Targets []string
	// Length is the time in which requests arrive.
	Length time.Duration
	Seed   uint64
	Out    io.Writer
}

// Send sends the arrivals of a profile and prints the metrics as JSON. Figures that need the engines' own counters
// (hit rate, recomputation) are 0.
func Send(ctx context.Context, opt SendOptions) error {
	p, err := profileByName(opt.Profile)
	if err != nil {
		return err
	}
	b := &balancer{}
	for _, addr := range opt.Targets {
		b.vms = append(b.vms, &deploy.VM{Name: addr, Caller: addr})
	}
	s := &viaRouter{client: newClient(), vms: b, keys: keysOf(p)}
	ctx, cancel := context.WithTimeout(ctx, opt.Length+drainTime)
	defer cancel()
	outcomes := Run(ctx, s, Arrivals(p, opt.Seed, opt.Length), nil)
	if _, err := fmt.Fprintln(opt.Out, describe(result{outcomes: outcomes})); err != nil {
		return err
	}
	encoder := json.NewEncoder(opt.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(Summarize(p, outcomes, engine.LedgerTotals{}))
}

func profileByName(name string) (Profile, error) {
	for _, p := range Profiles() {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("there is no profile %q", name)
}
