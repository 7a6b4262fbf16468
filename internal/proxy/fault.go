package proxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"cactuspath/api/fault"
)

// Fault is the body of an answer that cactuspath makes itself.
type Fault struct {
	Fault   fault.Kind `json:"fault"`
	Message string     `json:"message"`
	// Reason is what the last endpoint asked said, if it said anything.
	Reason string `json:"reason,omitempty"`
	// Ran is "no" when the request surely did not run, otherwise "unknown".
	Ran          string `json:"ran"`
	Attempts     uint32 `json:"attempts"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// RetryAfterHeader gives Retry-After in milliseconds, since the standard field
// counts whole seconds.
const RetryAfterHeader = "Cactus-Retry-After-Ms"

var statusOf = map[fault.Kind]int{
	fault.NotRun:         http.StatusServiceUnavailable,
	fault.Overloaded:     http.StatusServiceUnavailable,
	fault.NoEndpoint:     http.StatusServiceUnavailable,
	fault.NotReady:       http.StatusServiceUnavailable,
	fault.OutcomeUnknown: http.StatusBadGateway,
	fault.NoSuchService:  http.StatusNotFound,
	fault.DeadlinePassed: http.StatusGatewayTimeout,
	fault.Malformed:      http.StatusBadRequest,
	fault.TooLarge:       http.StatusRequestEntityTooLarge,
}

func (h *Handler) fail(w http.ResponseWriter, f Fault, retryAfter time.Duration) {
	kind := f.Fault
	h.options.Counters.Faults.Add(string(kind), 1)
	f.Ran, f.RetryAfterMs = "no", retryAfter.Milliseconds()
	if kind.Ran() {
		f.Ran = "unknown"
	}
	body, err := json.Marshal(f)
	if err != nil {
		body = []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(fault.Header, string(kind))
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
		header.Set(RetryAfterHeader, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(statusOf[kind])
	_, _ = w.Write(append(body, '\n'))
}
