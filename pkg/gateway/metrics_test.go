package gateway

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against metrics that the operators' page does not explain.
func TestEveryMetricIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	name := regexp.MustCompile(`(?:count|Add|observe)\("([a-z_]+)"`)
	found := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range name.FindAllStringSubmatch(string(text), -1) {
			metric := "corneldeal_" + match[1]
			// Names that end in _ are completed by a code or an outcome.
			if strings.HasSuffix(metric, "_") {
				continue
			}
			found++
			if !strings.Contains(string(page), metric) {
				t.Errorf("%s: metric %s is not documented", file, metric)
			}
		}
	}
	if found < 10 {
		t.Fatalf("only %d metrics found", found)
	}
}
