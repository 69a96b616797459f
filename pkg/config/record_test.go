package config

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against malformed records that JSON libraries decode differently or that stop a VM.
func TestMalformedRecords(t *testing.T) {
	good := string(NewNoteRecord(workspaceNote("n-1", -1, "a")))
	cases := []struct{ name, data, reason string }{
		{"empty", ``, "not JSON"},
		{"cut", good[:len(good)-2], "not JSON"},
		{"two values", good + good, "text after"},
		{"no kind", `{}`, "needs kind"},
		{"kind without content", `{"kind":"note"}`, "needs kind"},
		{"unknown kind", strings.Replace(good, `"note"`, `"notes"`, 1), "needs kind"},
		{"unknown field", strings.Replace(good, `"base"`, `"extra":1,"base"`, 1), "note.extra: expected a known key"},
		{"other case", strings.Replace(good, `"name"`, `"Name"`, 1), "note.added.workspaces[0].Name: expected a known key"},
		{"repeated key", strings.Replace(good, `"base"`, `"base":3,"base"`, 1), "note.base: expected each key once"},
		{"no base", strings.Replace(good, `"base":-1,`, ``, 1), "note.base: expected a value"},
		{"null base", strings.Replace(good, `"base":-1`, `"base":null`, 1), "note.base: expected a whole number"},
		{"fraction", strings.Replace(good, `"base":-1`, `"base":-1.5`, 1), "note.base: expected a whole number"},
		{"huge number", strings.Replace(good, `"base":-1`, `"base":9223372036854775808`, 1), "note.base: expected a whole"},
		{"wrong type", strings.Replace(good, `[{`, `{"a":{`, 1), "note.added.workspaces: expected a list"},
		{"array", `[]`, "the record: expected keys"},
		{"deep", strings.Repeat(`[`, 1<<20), "the record: expected keys"},
		{"deep value", `{"kind":` + strings.Repeat(`[`, 1<<20), "kind: expected text"},
	}
	for _, c := range cases {
		r := NewReplay()
		v, err := r.Apply(0, []byte(c.data))
		if err != nil || v.Accepted || !strings.Contains(v.Reason, c.reason) {
			t.Errorf("%s: %+v, %v, want reason %q", c.name, v, err, c.reason)
		}
		if r.NextOffset() != 1 || len(r.State().Workspaces()) != 0 {
			t.Errorf("%s: next offset %d", c.name, r.NextOffset())
		}
	}
}

// Guards against a missing verdict on a note with an unknown field, for which its author would wait for ever.
func TestMalformedNoteHasVerdict(t *testing.T) {
	r := NewReplay()
	note := string(NewNoteRecord(workspaceNote("n-1", -1, "a")))
	if _, err := r.Apply(0, []byte(strings.Replace(note, `"base"`, `"extra":1,"base"`, 1))); err != nil {
		t.Fatal(err)
	}
	if v, ok := r.Verdict("n-1"); !ok || v.Accepted {
		t.Errorf("verdict %+v %v", v, ok)
	}
}

// Guards against panics and against text that passes the strict check but cannot be decoded.
func TestArbitraryTextIsRefusedOrDecoded(t *testing.T) {
	parts := []string{`{`, `}`, `[`, `]`, `:`, `,`, `"kind"`, `"note"`, `"id"`, `"base"`, `"added"`, `"keys"`, `null`, `1`, `"x"`,
		`{"kind":"note","note":`, `"\ud800"`, ` `}
	rapid.Check(t, func(rt *rapid.T) {
		data := strings.Join(rapid.SliceOfN(rapid.SampledFrom(parts), 0, 12).Draw(rt, "parts"), "")
		rec, reason := decodeRecord([]byte(data))
		if reason == "" && rec.Note == nil && rec.Snapshot == nil {
			rt.Fatalf("%q was decoded to nothing", data)
		}
		ParseNote("file", []byte(data))
	})
}
