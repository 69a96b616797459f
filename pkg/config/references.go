package config

import "slices"

// references checks that every item refers only to items that exist, and that routes and addresses are unique. It
// looks at all items of a kind, because a withdrawal can break references of items that the note does not list,
// but passes over kinds whose items and targets are those of the previous state, which was checked.
func (e *evaluation) references(previous, s *State) {
	workspaces := s.workspaces != previous.workspaces
	models := s.models != previous.models
	if workspaces || s.keys != previous.keys {
		e.keyReferences(s)
	}
	if workspaces || models || s.routes != previous.routes {
		e.routeReferences(s)
	}
	if models || s.endpoints != previous.endpoints {
		e.endpointReferences(s)
	}
}

func (e *evaluation) keyReferences(s *State) {
	for digest, k := range s.keys.entries {
		e.refers(Ref{KindKey, digest}, Ref{KindWorkspace, k.item.Workspace}, s.workspaces.has(k.item.Workspace))
	}
}

// refers adds a fault on both ends of a reference to an item that does not exist.
func (e *evaluation) refers(from, to Ref, exists bool) {
	if exists {
		return
	}
	e.fault(from, "refers to %s %s, which does not exist", to.Kind, quote(to.Name))
	e.fault(to, "is referred to by %s %s", from.Kind, quote(from.Name))
}

func (e *evaluation) routeReferences(s *State) {
	chat := map[string]string{}
	prefixes := map[string]string{}
	for _, name := range s.routes.names() {
		r := s.routes.entries[name].item
		ref := Ref{KindRoute, name}
		if r.Open {
			e.refers(ref, Ref{KindWorkspace, r.Workspace}, s.workspaces.has(r.Workspace))
		}
		if r.Kind == RouteService {
			e.unique(ref, "prefix", r.Prefix, prefixes)
			continue
		}
		e.unique(ref, "model name", r.CallerModel(), chat)
		e.refers(ref, Ref{KindModel, r.Model}, s.models.has(r.Model))
		e.adapterReference(s, ref, r)
	}
}

// adapterReference checks that the model of a route may be used with the adapter of the route.
func (e *evaluation) adapterReference(s *State, ref Ref, r Route) {
	model, ok := s.models.lookup(r.Model)
	if !ok || r.Adapter == "" || slices.Contains(model.Adapters, r.Adapter) {
		return
	}
	e.fault(ref, "refers to adapter %s, which model %s does not list", quote(r.Adapter), quote(r.Model))
}

func (e *evaluation) endpointReferences(s *State) {
	addresses := map[string]string{}
	for _, name := range s.endpoints.names() {
		endpoint := &s.endpoints.entries[name].item
		ref := Ref{KindEndpoint, name}
		e.unique(ref, "address", endpoint.Address, addresses)
		for _, model := range endpoint.Models {
			e.refers(ref, Ref{KindModel, model}, s.models.has(model))
		}
	}
}

// unique adds a fault where another item has the same value.
func (e *evaluation) unique(ref Ref, field, value string, seen map[string]string) {
	if other, ok := seen[value]; ok {
		e.fault(ref, "has the same %s %s as %s %s", field, quote(value), ref.Kind, quote(other))
		e.fault(Ref{ref.Kind, other}, "has the same %s %s as %s %s", field, quote(value), ref.Kind, quote(ref.Name))
	}
	seen[value] = ref.Name
}
