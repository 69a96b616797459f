package service

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/httpcall/cutserver"
)

// Guards against a service that stops in the middle of its answer, above all of its head, and whose call counts as done with
// an empty or short body.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"ok\":true}"
	client := httpcall.NewClient()
	defer client.Close()
	for _, idempotent := range []bool{false, true} {
		call := Request{AttemptID: "a", Method: fasthttp.MethodPost, URI: "/charge", Idempotent: idempotent}
		for n := range len(response) {
			t.Run(fmt.Sprint("idempotent ", idempotent, "/", n, " bytes"), func(t *testing.T) {
				got, err := New(client).Call(context.Background(), "s", cutserver.Start(t, response, 0, n), call)
				if err == nil {
					t.Errorf("status %d, body %q", got.Status, got.Body)
				}
			})
		}
		if got, err := New(client).Call(context.Background(), "s", cutserver.Start(t, response, 0, len(response)), call); err != nil || len(got.Body) != 11 {
			t.Errorf("whole answer: body %q, error %v", got.Body, err)
		}
	}
}

// Guards against a broken answer that counts as done, or that proves that the service did not run the call.
func TestBrokenAnswerIsNoSuccess(t *testing.T) {
	for name, response := range cutserver.BrokenResponses("words") {
		t.Run(name, func(t *testing.T) {
			client := httpcall.NewClient()
			defer client.Close()
			call := Request{AttemptID: "a", Method: fasthttp.MethodPost, URI: "/charge"}
			got, err := New(client).Call(context.Background(), "s", cutserver.Start(t, response, 100, 0), call)
			if failed := (*Error)(nil); !errors.As(err, &failed) || failed.Failure != FailureUnknown {
				t.Errorf("status %d, body %q, error %v", got.Status, got.Body, err)
			}
		})
	}
}
