package config

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Guards against reporting only some problems of a file, so that operators find them one run at a time, and against
// wrong line numbers.
func TestParseNoteReportsEverything(t *testing.T) {
	file := `id: 12
base:
authr: me
added:
  workspaces:
    - name: Shop
      tokens_per_second: fast
      burst_tokens: 1
    - name: mill
  keys: none
  endpoints:
    - {name: e1, kind: engin, address: here, data_centre: a}
changed:
  workspaces:
    - {name: mill, tokens_per_second: 1, burst_tokens: 99999999999999999999}
  defaults:
withdrawn:
  - {kind: workspace, name: mill}
  - {kind: shop, name: a}
id: again
`
	want := []string{
		`note.yaml:1: id: expected text; put numbers, dates and true or false in quotes`,
		`note.yaml:2: base: expected a whole number of at most 63 bits`,
		`note.yaml:3: authr: expected one of the keys id, base, author, added, changed, withdrawn`,
		`note.yaml:6: added.workspaces[0].name: expected 1 to 63 characters of [a-z0-9-], not "Shop"`,
		`note.yaml:7: added.workspaces[0].tokens_per_second: expected a whole number of at most 63 bits`,
		`note.yaml:9: added.workspaces[1].tokens_per_second: expected a number of at least 1, not 0`,
		`note.yaml:9: added.workspaces[1].burst_tokens: expected a number of at least 1, not 0`,
		`note.yaml:10: added.keys: expected a list`,
		`note.yaml:12: added.endpoints[0].address: expected IP:port, not "here"`,
		`note.yaml:12: added.endpoints[0].kind: expected engine or service, not "engin"`,
		`note.yaml:15: changed.workspaces[0].burst_tokens: expected a whole number of at most 63 bits`,
		`note.yaml:15: changed.workspaces[0]: expected each item once; workspace "mill" is also listed at added.workspaces[1]`,
		`note.yaml:18: withdrawn[0]: expected each item once; workspace "mill" is also listed at added.workspaces[1]`,
		`note.yaml:19: withdrawn[1].kind: expected workspace, key, model, route, endpoint or defaults, not "shop"`,
		`note.yaml:20: id: expected each key once`,
	}
	_, problems := ParseNote("note.yaml", []byte(file))
	var got []string
	for _, p := range problems {
		got = append(got, p.String())
	}
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			t.Errorf("missing: %s", want[i])
		case i >= len(want):
			t.Errorf("not expected: %s", got[i])
		case got[i] != want[i]:
			t.Errorf("got  %s\nwant %s", got[i], want[i])
		}
	}
}

// Guards against text that is not a release note but is parsed as an empty one.
func TestParseNoteRefusesOtherText(t *testing.T) {
	for _, text := range []string{"", "a: [", "- 1", "{", "---\nid: a\nbase: 0\n---\nid: b\nbase: 0\n", "<<: {id: a}", "id: *a"} {
		if _, problems := ParseNote("file", []byte(text)); len(problems) == 0 {
			t.Errorf("%q is accepted", text)
		}
	}
}

// Guards against a note that changes when it is encoded and parsed.
func TestParseNoteReadsBackJSON(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newReplaySimulation()
		want := f.drawNote(rt)
		got, _ := ParseNote("note.json", mustJSON(want))
		if !reflect.DeepEqual(got, want) {
			rt.Fatalf("got  %+v\nwant %+v", got, want)
		}
	})
}
