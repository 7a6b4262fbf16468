package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// serverResponse is the status of a backend server's response and the delay before it.
type serverResponse struct {
	status int
	delay  time.Duration
}

// newStuckNode starts a node that sends a hint naming another host and then the first
// response to a request's first attempt, and the second response to its second attempt.
func newStuckNode(t *testing.T, other string, first, second serverResponse) *fakeNode {
	return newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		answer := second
		if req.ID.Attempt == 1 {
			answer = first
			w.Header().Set(hop.HintHeader, other)
			w.WriteHeader(http.StatusProcessing)
			w.Header().Del(hop.HintHeader)
		}
		select {
		case <-time.After(answer.delay):
		case <-r.Context().Done():
			return
		}
		writeReply(w, req, hop.Reply{})
		w.WriteHeader(answer.status)
		_, _ = io.WriteString(w, http.StatusText(answer.status))
	})
}

// Guards against returning a server error while a hedged attempt is about to succeed: the
// first attempt of a read is stuck, because its backend server waits for a stuck call of its
// own, and ends with 500 while the second attempt runs. The 500 is returned only if the
// second attempt gets no better response.
func TestServerErrorDoesNotWinWhileTheOtherAttemptRuns(t *testing.T) {
	const soon, later = 60 * time.Millisecond, 250 * time.Millisecond
	for _, c := range []struct {
		desc          string
		first, second serverResponse
		want          int
		earliest      time.Duration
	}{
		{"first fails, second succeeds", serverResponse{500, soon}, serverResponse{200, later}, 200, later},
		{"second fails, first succeeds", serverResponse{200, later}, serverResponse{504, soon}, 200, later},
		{"both fail", serverResponse{500, soon}, serverResponse{504, later}, 504, later},
		{"first succeeds", serverResponse{200, soon}, serverResponse{500, later}, 200, soon},
	} {
		t.Run(c.desc, func(t *testing.T) {
			a, b := newStuckNode(t, "b", c.first, c.second), newStuckNode(t, "a", c.first, c.second)
			s := startProxy(t, gate.RevokeUnknown, a, b)
			began := time.Now()
			resp, text := send(t, s, http.MethodGet, "/", "")
			assert.Equal(t, resp.StatusCode, c.want)
			assert.Equal(t, text, http.StatusText(c.want))
			assert.Assert(t, time.Since(began) >= c.earliest)
			assert.Equal(t, a.hits.Load()+b.hits.Load(), int64(2))
		})
	}
}

// Guards against losing a held server error: if the second attempt never ends, the first
// attempt's error is returned at the deadline.
func TestServerErrorIsReturnedWithoutOtherResponse(t *testing.T) {
	first, second := serverResponse{500, 20 * time.Millisecond}, serverResponse{200, time.Minute}
	a, b := newStuckNode(t, "b", first, second), newStuckNode(t, "a", first, second)
	s := startProxy(t, gate.RevokeUnknown, a, b)
	req, err := http.NewRequest(http.MethodGet, s.URL, nil)
	assert.NilError(t, err)
	req.Host = "pay.example"
	req.Header.Set((&hop.Dialect{}).TimeoutField(), "400")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, string(text), http.StatusText(500))
}
