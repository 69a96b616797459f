package config

import "slices"

// checkReferences checks that every item refers only to existing items and that routes and addresses are unique. It
// checks all items of a kind, because a withdrawal can break references of items that the note does not list. It
// skips kinds whose items and targets are unchanged from the previous state, which was checked.
func (e *evaluation) checkReferences(previous, s *State) {
	workspaces := s.workspaces != previous.workspaces
	models := s.models != previous.models
	if workspaces || s.keys != previous.keys {
		e.checkKeyReferences(s)
	}
	if workspaces || models || s.routes != previous.routes {
		e.checkRouteReferences(s)
	}
	if models || s.endpoints != previous.endpoints {
		e.checkEndpointReferences(s)
	}
}

func (e *evaluation) checkKeyReferences(s *State) {
	for digest, k := range s.keys.entries {
		e.checkTargetExists(Ref{KindKey, digest}, Ref{KindWorkspace, k.item.Workspace}, s.workspaces.has(k.item.Workspace))
	}
}

// checkTargetExists adds a violation to both items if the target of a reference does not exist.
func (e *evaluation) checkTargetExists(from, to Ref, exists bool) {
	if exists {
		return
	}
	e.addViolation(from, "refers to %s %s, which does not exist", to.Kind, quote(to.Name))
	e.addViolation(to, "is referred to by %s %s", from.Kind, quote(from.Name))
}

// checkRouteReferences checks the references of routes and that each prefix and each model name has one route.
func (e *evaluation) checkRouteReferences(s *State) {
	modelNames := map[string]string{}
	prefixes := map[string]string{}
	for _, name := range s.routes.names() {
		r := s.routes.entries[name].item
		ref := Ref{KindRoute, name}
		if r.Open {
			e.checkTargetExists(ref, Ref{KindWorkspace, r.Workspace}, s.workspaces.has(r.Workspace))
		}
		if r.Kind == RouteService {
			e.checkUnique(ref, "prefix", r.Prefix, prefixes)
			continue
		}
		e.checkUnique(ref, "model name", r.CallerModel(), modelNames)
		e.checkTargetExists(ref, Ref{KindModel, r.Model}, s.models.has(r.Model))
		e.checkAdapterReference(s, ref, r)
	}
}

// checkAdapterReference checks that the model of a route lists the adapter of the route.
func (e *evaluation) checkAdapterReference(s *State, ref Ref, r Route) {
	model, ok := s.models.lookup(r.Model)
	if !ok || r.Adapter == "" || slices.Contains(model.Adapters, r.Adapter) {
		return
	}
	e.addViolation(ref, "refers to adapter %s, which model %s does not list", quote(r.Adapter), quote(r.Model))
}

func (e *evaluation) checkEndpointReferences(s *State) {
	addresses := map[string]string{}
	for _, name := range s.endpoints.names() {
		endpoint := &s.endpoints.entries[name].item
		ref := Ref{KindEndpoint, name}
		e.checkUnique(ref, "address", endpoint.Address, addresses)
		for _, model := range endpoint.Models {
			e.checkTargetExists(ref, Ref{KindModel, model}, s.models.has(model))
		}
	}
}

// checkUnique adds a violation to both items if another item has the same value.
func (e *evaluation) checkUnique(ref Ref, field, value string, seen map[string]string) {
	if other, ok := seen[value]; ok {
		e.addViolation(ref, "has the same %s %s as %s %s", field, quote(value), ref.Kind, quote(other))
		e.addViolation(Ref{ref.Kind, other}, "has the same %s %s as %s %s", field, quote(value), ref.Kind, quote(ref.Name))
	}
	seen[value] = ref.Name
}
