package front

import (
	"io"
	"net/http"

	"cactuspath/api/fault"
	"cactuspath/internal/logs"
)

// refusedRetryAfter is when a caller should come back whose request was not run for lack of memory or
// places, in seconds.
const refusedRetryAfter = "1"

// refusal is the body of the response, in the form of all faults.
const refusal = `{"fault":"overloaded","message":"this node has no memory or no place left for the request, which was not run; come back after the time given, or ask another node","reason":"resources","ran":"no","attempts":0,"retryAfterMs":1000}` + "\n"

// logRefusal logs that a request was not run for lack of memory or places.
func (c *conn) logRefusal() {
	used, limit := c.server.resources.MemoryUsed()
	requests, maxRequests := c.server.resources.RequestsInProgress()
	logs.Decision(true, "Request refused: no memory or place left", "caller", c.raw.RemoteAddr().String(), "memory", used, "memoryLimit", limit, "requests", requests, "requestsLimit", maxRequests)
}

// writeRefusal responds to a request that was not run for lack of memory or places.
func writeRefusal(w http.ResponseWriter) {
	refuseHeader(w.Header())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, refusal)
}

func refuseHeader(h http.Header) {
	h.Set("Retry-After", refusedRetryAfter)
	h.Set(fault.Header, string(fault.Overloaded))
}
