package router

import (
	"context"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/auth"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// identity is the workspace that a request runs for.
type identity struct {
	workspace config.Workspace
	// digest is the digest of the key, or empty on a route open to all.
	digest string
}

// gate returns the configuration in force, or why this VM accepts no requests.
func (r *Router) gate() (*config.State, *refusal.Error) {
	state := r.state.Load()
	if state.NextOffset() == 0 {
		ref := refusal.New(statusUnavailable, refusal.CodeNoConfig, "this VM has no configuration yet")
		return nil, ref.After(2 * time.Second)
	}
	if r.isolated() {
		return nil, errIsolated()
	}
	return state, nil
}

func errIsolated() *refusal.Error {
	ref := refusal.New(statusUnavailable, refusal.CodeCutOff, "this VM has lost contact with the log and with other VMs")
	return ref.After(2 * time.Second)
}

// identify returns the workspace of a request. It comes from the key alone, or from the route where that is open
// to all.
func (r *Router) identify(state *config.State, route config.Route, key string) (identity, *refusal.Error) {
	if route.Open {
		workspace, ok := state.Workspace(route.Workspace)
		if !ok {
			return identity{}, refusal.New(statusNotFound, refusal.CodeNoRoute, "the route has no workspace")
		}
		return identity{workspace: workspace}, nil
	}
	return keyIdentity(state, key)
}

func keyIdentity(state *config.State, key string) (identity, *refusal.Error) {
	if key == "" {
		return identity{}, refusal.New(statusUnauthorized, refusal.CodeUnauthorized, "the Authorization header holds no key")
	}
	digest := auth.Digest(key)
	workspace, ok := state.KeyWorkspace(digest)
	if !ok {
		return identity{}, refusal.New(statusUnauthorized, refusal.CodeUnauthorized, "the key is not known")
	}
	return identity{workspace: workspace, digest: digest}, nil
}

// entry names a running request of a key in the registry. The workspace is part of it, so that a key which is
// given to another workspace ends the requests of the first.
func (i identity) entry() string {
	return i.digest + "/" + i.workspace.Name
}

// entryValid tells whether the key of a registry entry still admits to its workspace.
func entryValid(state *config.State, entry string) bool {
	digest, name, _ := strings.Cut(entry, "/")
	if digest == "" {
		_, ok := state.Workspace(name)
		return ok
	}
	workspace, ok := state.KeyWorkspace(digest)
	return ok && workspace.Name == name
}

// register lists a request under its key. The key is checked again afterwards, since it may have been withdrawn
// between the look-up and the registration.
func (r *Router) register(i identity, cancel context.CancelCauseFunc) (remove func(), ref *refusal.Error) {
	remove = r.keys.Add(i.entry(), func() { cancel(r.endReason(i)) })
	if !entryValid(r.state.Load(), i.entry()) {
		remove()
		return nil, r.endReason(i)
	}
	return remove, nil
}

// endReason tells why a registered request is ended: its key no longer admits to its workspace, or the VM is isolated
// and may have missed that.
func (r *Router) endReason(i identity) *refusal.Error {
	if entryValid(r.state.Load(), i.entry()) {
		return errIsolated()
	}
	return refusal.New(statusUnauthorized, refusal.CodeKeyWithdrawn, "the key was withdrawn")
}

// refused keeps account of a refusal.
func (r *Router) refused(part, request string, ref *refusal.Error) {
	count(metricRefusals, 1)
	metrics.Add("refusals_"+string(ref.Code), 1)
	r.debug(part).Str("request", request).Str("code", string(ref.Code)).Str("run_state", string(ref.RunState)).Msg(part + ": request refused")
	r.record(part, "refused", request, string(ref.Code)+" "+string(ref.RunState))
}
