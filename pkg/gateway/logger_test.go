package gateway

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks until it is released, like standard output whose reader has stopped reading.
type blockedWriter struct {
	release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that wait for the reader of the log.
func TestLogNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	logger := newLimitedLogger("vm", 1, "info", w)
	for i := range 2 * lineQueueLength {
		logger.mu.Lock()
		clear(logger.written)
		logger.mu.Unlock()
		logger.info(partRequest).Int("i", i).Msg("line")
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

// Guards against an unlimited number of log lines under load, and against lines that are skipped without a report.
func TestLoggerLimitsLines(t *testing.T) {
	out := &safeBuffer{}
	logger := newLimitedLogger("vm", 1, "info", out)
	const seconds = 3
	for range seconds {
		for range 5 * maxLinesPerSecond {
			logger.info(partRequest).Msg("line")
		}
		// The next line belongs to a later second.
		logger.mu.Lock()
		logger.second--
		logger.mu.Unlock()
	}
	logger.info(partProcess).Msg("other part")
	if err := logger.close(); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	// The clock may pass a second on its own within each round.
	if n := strings.Count(text, `"message":"line"`); n < seconds*maxLinesPerSecond || n > 2*seconds*maxLinesPerSecond {
		t.Errorf("%d lines written", n)
	}
	if !strings.Contains(text, `"message":"lines left out"`) || !strings.Contains(text, "other part") {
		t.Error("lines were skipped without a report, or another part was limited too")
	}
}

// Guards against a reload of the settings that leaves the log level unchanged.
func TestSetLevelChangesLogLevel(t *testing.T) {
	logger := newLimitedLogger("vm", 1, "error", &safeBuffer{})
	if logger.info(partProcess) != nil {
		t.Error("an info line at level error")
	}
	logger.setLevel("info")
	if logger.info(partProcess) == nil {
		t.Error("no info line after the level was lowered")
	}
}
