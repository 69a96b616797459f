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

// The parts of the program, as the field "part" of log lines names them.
const (
	partProcess  = "process"
	partConfig   = "config"
	partEndpoint = "endpoint"
	partPeer     = "peer"
	partRequest  = "request"
	partOrder    = "order"
	partStore    = "store"
	partCache    = "cache"
	partPath     = "path"
	partCrash    = "crash"
	partLog      = "log"
)

const (
	// maxLinesPerSecond limits the log lines of one part. Further lines are only counted.
	maxLinesPerSecond = 200
	// lineQueueLength limits the lines that wait for a slow reader of standard output.
	lineQueueLength = 4096
)

// standardOutput receives the log.
var standardOutput io.Writer = os.Stdout

// limitedLogger writes structured log lines, at most maxLinesPerSecond for each part, and never blocks on the reader.
type limitedLogger struct {
	logger *log.Logger

	mu      sync.Mutex
	second  int64
	written map[string]int
	skipped map[string]int
}

// newLimitedLogger returns a logger whose lines contain the VM's name and boot number.
func newLimitedLogger(vm string, boot uint64, level string, out io.Writer) *limitedLogger {
	writer := &log.AsyncWriter{ChannelSize: lineQueueLength, DiscardOnFull: true, Writer: &log.IOWriter{Writer: out}}
	return &limitedLogger{
		logger: &log.Logger{
			Level:      log.ParseLevel(level),
			TimeFormat: "2006-01-02T15:04:05.000Z07:00",
			Context:    log.NewContext(nil).Str("vm", vm).Str("boot", fmt.Sprintf("%x", boot)).Value(),
			Writer:     writer,
		},
		written: map[string]int{},
		skipped: map[string]int{},
	}
}

// info starts an informational line of a part. It returns nil, on which all methods are safe, once the part's limit is
// reached.
func (l *limitedLogger) info(part string) *log.Entry {
	if !l.allowed(part) {
		return nil
	}
	return l.logger.Info().Str("part", part)
}

// warn starts a line about a condition that needs an operator's attention. It returns nil as info does.
func (l *limitedLogger) warn(part string) *log.Entry {
	if !l.allowed(part) {
		return nil
	}
	return l.logger.Warn().Str("part", part)
}

// allowed reports whether a part may write another line in this second, and counts the line.
func (l *limitedLogger) allowed(part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	second := steady.Now().Unix()
	if second != l.second {
		l.second = second
		l.reportSkipped()
		clear(l.written)
	}
	if l.written[part] >= maxLinesPerSecond {
		l.skipped[part]++
		return false
	}
	l.written[part]++
	return true
}

// reportSkipped logs how many lines of each part were skipped in the last second. The caller holds mu.
func (l *limitedLogger) reportSkipped() {
	for _, part := range slices.Sorted(maps.Keys(l.skipped)) {
		l.logger.Warn().Str("part", partLog).Str("of", part).Int("count", l.skipped[part]).Msg("lines left out")
	}
	clear(l.skipped)
}

// close flushes the queued lines.
func (l *limitedLogger) close() error {
	if closer, ok := l.logger.Writer.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}

// setLevel changes the log level while the process runs.
func (l *limitedLogger) setLevel(level string) {
	l.logger.SetLevel(log.ParseLevel(level))
}
