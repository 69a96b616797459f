package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/httpcall/cutserver"
)

// Guards against an engine that stops in the middle of its answer, above all of its head, and whose stream counts as
// complete.
func TestCutStreamIsNotComplete(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" +
		"data: {\"token_index\":0,\"choices\":[]}\n\ndata: [DONE]\n\n"
	end := strings.Index(response, "[DONE]") + len("[DONE]\n")
	client := New(httpcall.NewClient())
	for n := range len(response) + 1 {
		t.Run(fmt.Sprint(n, " bytes"), func(t *testing.T) {
			stream, err := client.Chat(context.Background(), "e", cutserver.Start(t, response, 0, n), ChatRequest{AttemptID: "a", Version: "v"})
			if err != nil {
				if n >= end {
					t.Fatalf("the whole stream: %v", err)
				}
				return
			}
			defer stream.Close()
			for err == nil {
				_, err = stream.Next()
			}
			if complete := errors.Is(err, io.EOF) && !errors.As(err, new(*StreamError)); complete != (n >= end) {
				t.Errorf("complete %v after %d of %d bytes: %v", complete, n, end, err)
			}
		})
	}
}

// Guards against a broken answer of an engine that is taken for its stream, its state or the result of an order, or that proves
// that the engine refused.
func TestBrokenAnswersAreNoAnswers(t *testing.T) {
	for name, response := range cutserver.BrokenResponses(`{"incarnation":"i"}`) {
		t.Run(name, func(t *testing.T) {
			pool := httpcall.NewClient()
			defer pool.Close()
			client, address := New(pool), cutserver.Start(t, response, 100, 0)
			stream, err := client.Chat(context.Background(), "e", address, ChatRequest{AttemptID: "a", Version: "v"})
			if err == nil {
				defer stream.Close()
				_, err = stream.Next()
			}
			if failed := (*StreamError)(nil); !errors.As(err, &failed) || failed.Failure != FailureInterrupted {
				t.Errorf("stream: error %v", err)
			}
			if state, err := client.State(context.Background(), address); err == nil {
				t.Errorf("state %+v", state)
			}
			if err := client.Order(context.Background(), address, Order{}); err == nil || IsRejected(err) {
				t.Errorf("order: error %v", err)
			}
		})
	}
}
