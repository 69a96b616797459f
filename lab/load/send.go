package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/pkg/route"
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

// Send sends the arrivals of a profile and prints the metrics as JSON. The hit rate comes from the usage that callers
// get; the recomputation needs the engines' own counters and is 0.
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
	if _, err := fmt.Fprintln(opt.Out, describe(outcomes)); err != nil {
		return err
	}
	encoder := json.NewEncoder(opt.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(Summarize(p, outcomes, seenByCallers(outcomes), opt.Length))
}

// seenByCallers returns the blocks found and computed according to the usage of complete answers.
func seenByCallers(outcomes []Outcome) engine.LedgerTotals {
	var out engine.LedgerTotals
	for i := range outcomes {
		o := &outcomes[i]
		if !o.Arrival.chat() || o.End != Complete {
			continue
		}
		blocks := int64(len(route.EncodePrompt(o.Arrival.Messages)) / BlockBytes)
		hit := int64(o.Cached * bytesPerToken / BlockBytes)
		out.Hit += hit
		out.Computed += blocks - hit
	}
	return out
}

// PrintNote prints the release note that the VMs must hold before load of the profile is sent.
func PrintNote(out io.Writer, profile string, to Addresses) error {
	p, err := profileByName(profile)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(Note(p, to))
}

func profileByName(name string) (Profile, error) {
	for _, p := range Profiles() {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("there is no profile %q", name)
}
