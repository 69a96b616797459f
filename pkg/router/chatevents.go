package router

import (
	"encoding/json"
	"time"

	"github.com/corneldeal/corneldeal/pkg/caller"
)

// begin marks the first event.
func (c *chatRun) begin() {
	select {
	case <-c.begun:
	default:
		close(c.begun)
	}
}

// emit passes an event to the caller. It returns false when the request was cancelled.
func (c *chatRun) emit(event caller.Event) bool {
	if !c.hasBegun {
		c.hasBegun = true
		c.created = time.Now()
		c.begin()
	}
	select {
	case c.events <- event:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// fields returns the caller's fields with the ones that the route sets.
func (c *chatRun) fields() map[string]json.RawMessage {
	fields := make(map[string]json.RawMessage, len(c.req.Fields)+2)
	for name, value := range c.req.Fields {
		fields[name] = value
	}
	fields["model"] = mustRaw(c.model.Name)
	fields["max_tokens"] = mustRaw(c.outputTokens())
	delete(fields, "max_completion_tokens")
	delete(fields, "adapter")
	if c.route.Adapter != "" {
		fields["adapter"] = mustRaw(c.route.Adapter)
	}
	return fields
}

func mustRaw(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		// Only strings and integers are passed.
		panic(err)
	}
	return data
}
