package router

import (
	"os"

	"github.com/phuslu/log"
)

// Prefixes of the parts in logs and in the timeline.
const (
	partProcess = "process"
	partConfig  = "config"
	partMember  = "member"
	partLease   = "lease"
	partLimit   = "limit"
	partOnce    = "once"
	partChat    = "chat"
	partService = "service"
	partEngine  = "engine"
	partOrder   = "order"
)

func newLogger(vm, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("vm", vm).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

// info starts a log line of a part. Messages are short sentences after the part's prefix.
func (r *Router) info(part string) *log.Entry {
	return r.logger.Info().Str("part", part)
}

func (r *Router) warn(part string) *log.Entry {
	return r.logger.Warn().Str("part", part)
}

func (r *Router) debug(part string) *log.Entry {
	return r.logger.Debug().Str("part", part)
}
