package standin

import (
	"sync"

	"github.com/valyala/fasthttp"
)

// Host is what the stand-ins embed: listener, life cycle and fault switches.
type Host[F any] struct {
	// Switches are the fault switches.
	Switches Faults[F]
	// Stopped is made by Listen and closed by Close.
	Stopped chan struct{}

	server *Server
	once   sync.Once
}

// Listen listens on the address and serves in the background. An empty address means AnyLoopback.
func (h *Host[F]) Listen(listen string, handler fasthttp.RequestHandler) error {
	h.Stopped = make(chan struct{})
	server, err := Start(listen, handler)
	if err != nil {
		return err
	}
	h.server = server
	return nil
}

// Addr returns the bound IP:port.
func (h *Host[F]) Addr() string { return h.server.Addr() }

// Close stops the stand-in and closes every connection. Further calls do nothing.
func (h *Host[F]) Close() {
	h.once.Do(func() {
		close(h.Stopped)
		h.server.Close()
	})
}

// SetFaults replaces the switches.
func (h *Host[F]) SetFaults(f F) { h.Switches.Set(f) }
