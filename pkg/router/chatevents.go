package router

import (
	"encoding/json"
	"time"

	"github.com/corneldeal/corneldeal/pkg/caller"
)

// closeBegun closes begun unless it is closed.
func (c *chatRun) closeBegun() {
	select {
	case <-c.begun:
	default:
		close(c.begun)
	}
}

// emit sends an event to the caller. It returns false if the request was cancelled.
func (c *chatRun) emit(event caller.Event) bool {
	if !c.hasBegun {
		c.hasBegun = true
		c.created = time.Now()
		c.closeBegun()
	}
	select {
	case c.events <- event:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// fields returns the caller's fields with those that the route sets.
func (c *chatRun) fields() map[string]json.RawMessage {
	fields := make(map[string]json.RawMessage, len(c.req.Fields)+2)
	for name, value := range c.req.Fields {
		fields[name] = value
	}
	fields["model"] = mustMarshal(c.model.Name)
	fields["max_tokens"] = mustMarshal(c.outputTokens())
	delete(fields, "max_completion_tokens")
	delete(fields, "adapter")
	if c.route.Adapter != "" {
		fields["adapter"] = mustMarshal(c.route.Adapter)
	}
	return fields
}

// mustMarshal encodes a string or an integer as JSON.
func mustMarshal(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		// Strings and integers cannot fail to encode.
		panic(err)
	}
	return data
}
