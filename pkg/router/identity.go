package router

import (
	"context"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/auth"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// identity is the key of a request and the workspace that the request runs for.
type identity struct {
	workspace config.Workspace
	// digest is the digest of the key, or empty on a route open to all.
	digest string
}

// servingState returns the configuration in force, or a refusal if this VM accepts no requests.
func (r *Router) servingState() (*config.State, *refusal.Error) {
	state := r.state.Load()
	if state.NextOffset() == 0 {
		ref := refusal.New(statusUnavailable, refusal.CodeNoConfig, "this VM has no configuration yet")
		return nil, ref.WithRetryAfter(2 * time.Second)
	}
	if r.isolated() {
		return nil, errIsolated()
	}
	return state, nil
}

func errIsolated() *refusal.Error {
	ref := refusal.New(statusUnavailable, refusal.CodeIsolated, "this VM has lost contact with the log and with other VMs")
	return ref.WithRetryAfter(2 * time.Second)
}

// identify returns the identity of a request. The key alone determines the workspace, or the route if it is open to
// all.
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

// keyIdentity returns the identity of a key, or a refusal if the key is missing or unknown.
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

// credential returns the string under which a running request is registered. It contains the workspace, so that
// assigning the key to another workspace cancels the requests of the first.
func (i identity) credential() string {
	return i.digest + "/" + i.workspace.Name
}

// credentialValid reports whether a credential still gives access to its workspace.
func credentialValid(state *config.State, credential string) bool {
	digest, name, _ := strings.Cut(credential, "/")
	if digest == "" {
		_, ok := state.Workspace(name)
		return ok
	}
	workspace, ok := state.KeyWorkspace(digest)
	return ok && workspace.Name == name
}

// registerRequest registers a request under its credential. It checks the credential again afterwards, because the key
// may have been withdrawn between the lookup and the registration.
func (r *Router) registerRequest(i identity, cancel context.CancelCauseFunc) (remove func(), ref *refusal.Error) {
	remove = r.requests.Add(i.credential(), func() { cancel(r.cancelReason(i)) })
	if !credentialValid(r.state.Load(), i.credential()) {
		remove()
		return nil, r.cancelReason(i)
	}
	return remove, nil
}

// cancelReason returns the refusal of a registered request that is cancelled: either its key no longer gives access to
// its workspace, or this VM is isolated and may have missed a withdrawal.
func (r *Router) cancelReason(i identity) *refusal.Error {
	if credentialValid(r.state.Load(), i.credential()) {
		return errIsolated()
	}
	return refusal.New(statusUnauthorized, refusal.CodeKeyWithdrawn, "the key was withdrawn")
}

// recordRefusal counts, logs and records a refusal.
func (r *Router) recordRefusal(part, request string, ref *refusal.Error) {
	count(metricRefusals, 1)
	metrics.Add("refusals_"+string(ref.Code), 1)
	r.debug(part).Str("request", request).Str("code", string(ref.Code)).Str("run_state", string(ref.RunState)).Msg(part + ": request refused")
	r.record(part, "refused", request, string(ref.Code)+" "+string(ref.RunState))
}
