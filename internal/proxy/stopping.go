package proxy

import (
	"net/http"
	"time"

	"cactuspath/api/fault"
	"cactuspath/core/shutdown"
	"cactuspath/internal/logs"
)

// BeginStop tells the handler that this process stops, and by when its requests must have ended.
func (h *Handler) BeginStop(schedule *shutdown.Schedule) { h.stop.Store(schedule) }

// refuseStopping refuses a request that this process, which is being stopped, might not finish in
// time, and reports whether it did. Its connection would be closed while the request runs, and the
// caller could not know whether to send it again.
func (h *Handler) refuseStopping(w http.ResponseWriter, r *http.Request, deadline time.Time) bool {
	now, stop := time.Now(), h.stop.Load()
	if stop.Accepts(now, deadline) {
		return false
	}
	// Another process can take the place of this one once it has ended.
	retryAfter := max(stop.End().Sub(now), defaultRetryAfter)
	logs.Decision(true, "Request refused: node stopping", "request", r.Header.Get(h.options.Dialect.RequestID), "left", deadline.Sub(now), "untilLastResponse", stop.LastResponse().Sub(now), "retryAfter", retryAfter)
	h.writeFault(w, r, Fault{Fault: fault.Stopping, Message: "this node is being stopped and the request could outlast it, so it was not run; ask another node or come back after the time given"}, retryAfter)
	return true
}

// attemptDeadline returns the deadline of the request's attempts. While this process stops, it is
// earlier than that of the request if no later response could be returned.
func (c *call) attemptDeadline() time.Time { return c.h.stop.Load().Limit(c.deadline) }
