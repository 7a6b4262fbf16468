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
	// status replaces the kind's usual one, if it is not 0.
	status int
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
	fault.DeadlinePassed: http.StatusServiceUnavailable,
	fault.Quarantined:    http.StatusServiceUnavailable,
	fault.Malformed:      http.StatusBadRequest,
	fault.TooLarge:       http.StatusRequestEntityTooLarge,
}

// retryAfter renders the standard field. Where the dialect takes fractions of a
// second the caller is not kept away longer than there is reason to.
func (h *Handler) retryAfter(d time.Duration) string {
	if h.options.Dialect.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func (h *Handler) fail(w http.ResponseWriter, r *http.Request, f Fault, retryAfter time.Duration) {
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
	if field := h.options.Dialect.RequestID; field != "" {
		header.Set(field, r.Header.Get(field))
	}
	if retryAfter > 0 {
		header.Set("Retry-After", h.retryAfter(retryAfter))
		header.Set(RetryAfterHeader, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	}
	if f.status == 0 {
		f.status = statusOf[kind]
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(append(body, '\n'))
}
