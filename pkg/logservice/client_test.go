package logservice

import (
	"context"
	"testing"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/httpcall/cutserver"
)

// Guards against a broken answer of the log that is taken for a page of records, or for the acknowledgement of an append.
func TestBrokenAnswersAreNoAnswers(t *testing.T) {
	for name, response := range cutserver.BrokenResponses(`{"first":7,"next":7}`) {
		t.Run(name, func(t *testing.T) {
			pool := httpcall.NewClient()
			defer pool.Close()
			client := New(cutserver.Start(t, response, 100, 0), pool)
			if page, err := client.Read(context.Background(), "notes", 0, 10, 0); err == nil {
				t.Errorf("page %+v", page)
			}
			if first, err := client.Append(context.Background(), "notes", nil); err == nil {
				t.Errorf("appended at %d", first)
			}
		})
	}
}
