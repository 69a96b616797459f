package router

import (
	"os"

	"github.com/phuslu/log"
)

// Parts of the router. They prefix log messages and appear in timeline events.
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

// newLogger returns a logger that writes to standard error and adds the VM to every line.
func newLogger(vm, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("vm", vm).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

// info starts a log line of a part. A message is a short sentence after the name of the part.
func (r *Router) info(part string) *log.Entry {
	return r.logger.Info().Str("part", part)
}

func (r *Router) warn(part string) *log.Entry {
	return r.logger.Warn().Str("part", part)
}

func (r *Router) debug(part string) *log.Entry {
	return r.logger.Debug().Str("part", part)
}
