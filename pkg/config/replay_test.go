package config

import "testing"

// Guards against a first deployment that accepts nothing.
func TestApplyAcceptsFirstNote(t *testing.T) {
	r := NewReplay()
	note := ReleaseNote{ID: "first", Base: -1, Added: Items{
		Workspaces: []Workspace{{Name: "shop", TokensPerSecond: 10, BurstTokens: 100}},
		Keys:       []Key{{Digest: testDigest, Workspace: "shop"}},
		Models:     []Model{{Name: "small", Version: "v1"}},
		Routes: []Route{{Name: "chat", Kind: RouteChat, Model: "small"},
			{Name: "book", Kind: RouteService, Prefix: "/services/book", Service: "bookings"}},
		Endpoints: []Endpoint{{Name: "e1", Kind: EndpointEngine, Address: "127.0.0.1:1", DataCentre: "a", Models: []string{"small"}}},
		Defaults:  &Defaults{LimitSlots: 4},
	}}
	v, err := r.Apply(0, NewNoteRecord(note))
	if err != nil || !v.Accepted {
		t.Fatalf("verdict %+v, error %v", v, err)
	}
	s := r.State()
	if w, ok := s.KeyWorkspace(testDigest); !ok || w.Name != "shop" {
		t.Errorf("workspace of key: %+v %v", w, ok)
	}
	if _, ok := s.ServiceRoute("/services/book/42"); !ok {
		t.Error("no service route")
	}
	if _, ok := s.ServiceRoute("/services/bookings"); ok {
		t.Error("a prefix matched a part of a segment")
	}
	other := NewReplay()
	if err := other.Restore(r.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if other.State().Digest() != s.Digest() {
		t.Error("digest differs after restore")
	}
}

const testDigest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
