package config

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

func readReleaseNotesPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/release-notes.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// codeBlocks returns the text of the code blocks whose info string matches.
func codeBlocks(page, info string) []string {
	var texts []string
	for _, match := range regexp.MustCompile("(?s)```"+info+"\n(.*?)```").FindAllStringSubmatch(page, -1) {
		texts = append(texts, match[1])
	}
	return texts
}

// Guards against documented examples that the router refuses.
func TestDocumentedNotesAreAccepted(t *testing.T) {
	r := NewReplay()
	examples := codeBlocks(readReleaseNotesPage(t), "(?:yaml|json)")
	if len(examples) != 3 {
		t.Fatalf("%d examples, want 3", len(examples))
	}
	for i, text := range examples {
		note, problems := ParseNote(fmt.Sprintf("example-%d", i+1), []byte(text))
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		if v := mustApply(t, r, note); !v.Accepted {
			t.Errorf("example %d: %+v", i+1, v)
		}
	}
}

// Guards against documented problems that differ from the output of check.
func TestDocumentedProblems(t *testing.T) {
	page := readReleaseNotesPage(t)
	_, problems := ParseNote("note.yaml", []byte(codeBlocks(page, "yaml invalid")[0]))
	var got strings.Builder
	for _, p := range problems {
		fmt.Fprintln(&got, p)
	}
	if want := codeBlocks(page, "text")[0]; got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}

// Guards against fields and defaults that are missing from the page or differ from it.
func TestDocumentedFields(t *testing.T) {
	page := readReleaseNotesPage(t)
	for heading, item := range map[string]any{
		"## The note": ReleaseNote{}, "### `workspaces`": Workspace{}, "### `keys`": Key{},
		"### `models`":    modelWithDefaults(Model{}),
		"### `routes`":    routeWithDefaults(Route{}),
		"### `endpoints`": endpointWithDefaults(Endpoint{}), "### `defaults`": completeDefaults(Defaults{}),
	} {
		_, section, _ := strings.Cut(page, heading+"\n")
		section, _, _ = strings.Cut(section, "\n#")
		value := reflect.ValueOf(item)
		for i := range value.NumField() {
			key := fieldKey(value.Type().Field(i))
			_, row, found := strings.Cut(section, "\n| `"+key+"` | ")
			if !found {
				t.Errorf("%s: no row for %s", heading, key)
				continue
			}
			if field := value.Field(i); field.CanInt() && !field.IsZero() {
				row, _, _ = strings.Cut(row, "\n")
				if got := strings.TrimSpace(strings.Split(row, "|")[1]); got != fmt.Sprint(field) {
					t.Errorf("%s: default of %s is %s, the page has %q", heading, key, fmt.Sprint(field), got)
				}
			}
		}
		if rows := strings.Count(section, "\n| `"); rows != value.NumField() {
			t.Errorf("%s: %d rows for %d fields", heading, rows, value.NumField())
		}
	}
}
