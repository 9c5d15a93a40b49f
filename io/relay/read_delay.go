package relay

import (
	"net/http"
	"time"

	"cicadabeam/io/tcp"
)

// readDelay returns how long a request whose head has just been read may have waited in
// the kernel: the time since its connection last received data or, if longer, the stall
// that the process has just gone through. The former says little about a request whose
// body is still arriving, the latter nothing about one that is read late for another reason.
func (h *Handler) readDelay(r *http.Request) time.Duration {
	stall := h.StallDetector.RecentStall(h.Uptime())
	waited, known := tcp.SinceLastReceived(tcp.CallerConnOf(r).Net)
	if !known {
		return stall
	}
	return max(waited, stall)
}

// connectionState returns the state of the caller's connection for the log.
func (x *exchange) connectionState() string { return tcp.State(tcp.CallerConnOf(x.r).Net) }
