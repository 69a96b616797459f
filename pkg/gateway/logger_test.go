package gateway

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// stuckWriter blocks until it is released, as a reader of standard output that has stopped reading.
type stuckWriter struct {
	release chan struct{}
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that wait for the reader of the log.
func TestLogNeverBlocks(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	logger := newBudgetLogger("vm", 1, "info", w)
	for i := range 2 * lineQueue {
		logger.mu.Lock()
		clear(logger.written)
		logger.mu.Unlock()
		logger.line(partRequest).Int("i", i).Msg("line")
	}
	close(w.release)
	if err := logger.close(); err != nil {
		t.Fatal(err)
	}
}

// safeBuffer is a buffer for one writer and one reader.
type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against an unbounded log under load, and against lines that are left out without a word.
func TestLogKeepsItsBudget(t *testing.T) {
	out := &safeBuffer{}
	logger := newBudgetLogger("vm", 1, "info", out)
	const seconds = 3
	for range seconds {
		for range 5 * linesPerSecond {
			logger.line(partRequest).Msg("line")
		}
		// The next line belongs to a later second.
		logger.mu.Lock()
		logger.second--
		logger.mu.Unlock()
	}
	logger.line(partProcess).Msg("other part")
	if err := logger.close(); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	// The clock may pass a second on its own within each round.
	if n := strings.Count(text, `"message":"line"`); n < seconds*linesPerSecond || n > 2*seconds*linesPerSecond {
		t.Errorf("%d lines written", n)
	}
	if !strings.Contains(text, `"message":"lines left out"`) || !strings.Contains(text, "other part") {
		t.Error("lines were left out without a word, or another part was held up")
	}
}

// Guards against a reload of the settings that changes nothing.
func TestLevelFollowsReload(t *testing.T) {
	logger := newBudgetLogger("vm", 1, "error", &safeBuffer{})
	if logger.line(partProcess) != nil {
		t.Error("an info line at level error")
	}
	logger.setLevel("info")
	if logger.line(partProcess) == nil {
		t.Error("no info line after the level was lowered")
	}
}
