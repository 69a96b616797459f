package gateway

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"

	"github.com/phuslu/log"

	"github.com/corneldeal/corneldeal/pkg/steady"
)

// Parts are the prefixes of log lines.
const (
	partProcess  = "process"
	partConfig   = "config"
	partEndpoint = "endpoint"
	partPeer     = "peer"
	partRequest  = "request"
	partOrder    = "order"
	partStore    = "store"
	partCache    = "cache"
	partCrash    = "crash"
	partLog      = "log"
)

const (
	// linesPerSecond bounds the log lines of one part. What is left out is counted.
	linesPerSecond = 200
	// lineQueue bounds the lines that wait for a slow reader of standard output.
	lineQueue = 4096
)

// standardOutput is where logs go.
var standardOutput io.Writer = os.Stdout

// budgetLogger writes structured lines within a budget per part, and never blocks on the reader.
type budgetLogger struct {
	logger *log.Logger

	mu      sync.Mutex
	second  int64
	written map[string]int
	left    map[string]int
}

func newBudgetLogger(vm string, boot uint64, level string, out io.Writer) *budgetLogger {
	writer := &log.AsyncWriter{ChannelSize: lineQueue, DiscardOnFull: true, Writer: &log.IOWriter{Writer: out}}
	return &budgetLogger{
		logger: &log.Logger{
			Level:      log.ParseLevel(level),
			TimeFormat: "2006-01-02T15:04:05.000Z07:00",
			Context:    log.NewContext(nil).Str("vm", vm).Str("boot", fmt.Sprintf("%x", boot)).Value(),
			Writer:     writer,
		},
		written: map[string]int{},
		left:    map[string]int{},
	}
}

// line starts a line of a part. It is nil, which is safe to use, where the budget is spent.
func (l *budgetLogger) line(part string) *log.Entry {
	if !l.allowed(part) {
		return nil
	}
	return l.logger.Info().Str("part", part)
}

// warn starts a line on something that an operator should know.
func (l *budgetLogger) warn(part string) *log.Entry {
	if !l.allowed(part) {
		return nil
	}
	return l.logger.Warn().Str("part", part)
}

func (l *budgetLogger) allowed(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	second := steady.Now().Unix()
	if second != l.second {
		l.second = second
		l.report()
		clear(l.written)
	}
	if l.written[part] >= linesPerSecond {
		l.left[part]++
		return false
	}
	l.written[part]++
	return true
}

// report tells how many lines the budget left out in the second before.
func (l *budgetLogger) report() {
	for _, part := range slices.Sorted(maps.Keys(l.left)) {
		l.logger.Warn().Str("part", partLog).Str("of", part).Int("count", l.left[part]).Msg("lines left out")
	}
	clear(l.left)
}

func (l *budgetLogger) close() error {
	if closer, ok := l.logger.Writer.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}

// setLevel changes the level while the process runs.
func (l *budgetLogger) setLevel(level string) {
	l.logger.SetLevel(log.ParseLevel(level))
}
