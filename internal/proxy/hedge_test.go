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

// serverAnswer is what a backend server says, and after how long.
type serverAnswer struct {
	status int
	after  time.Duration
}

// stuckNode answers a request's first attempt with one answer, after a hint at another
// host, and its second attempt with another answer.
func stuckNode(t *testing.T, other string, first, second serverAnswer) *fakeNode {
	return newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		answer := second
		if req.ID.Attempt == 1 {
			answer = first
			w.Header().Set(hop.HintHeader, other)
			w.WriteHeader(http.StatusProcessing)
			w.Header().Del(hop.HintHeader)
		}
		select {
		case <-time.After(answer.after):
		case <-r.Context().Done():
			return
		}
		reply(w, req, hop.Reply{})
		w.WriteHeader(answer.status)
		_, _ = io.WriteString(w, http.StatusText(answer.status))
	})
}

// A read is stuck, since a call that its server makes is. A second attempt runs beside
// it when the first one ends with the server's 500. The second one is about to succeed:
// its answer is the caller's, and the 500 only if the second attempt has none better.
func TestServerErrorDoesNotWinWhileTheOtherAttemptRuns(t *testing.T) {
	const soon, later = 60 * time.Millisecond, 250 * time.Millisecond
	for _, c := range []struct {
		desc          string
		first, second serverAnswer
		want          int
		earliest      time.Duration
	}{
		{"first fails, second succeeds", serverAnswer{500, soon}, serverAnswer{200, later}, 200, later},
		{"second fails, first succeeds", serverAnswer{200, later}, serverAnswer{504, soon}, 200, later},
		{"both fail", serverAnswer{500, soon}, serverAnswer{504, later}, 504, later},
		{"first succeeds", serverAnswer{200, soon}, serverAnswer{500, later}, 200, soon},
	} {
		t.Run(c.desc, func(t *testing.T) {
			a, b := stuckNode(t, "b", c.first, c.second), stuckNode(t, "a", c.first, c.second)
			s := front(t, gate.RevokeUnknown, a, b)
			began := time.Now()
			resp, text := send(t, s, http.MethodGet, "/", "")
			assert.Equal(t, resp.StatusCode, c.want)
			assert.Equal(t, text, http.StatusText(c.want))
			assert.Assert(t, time.Since(began) >= c.earliest)
			assert.Equal(t, a.hits.Load()+b.hits.Load(), int64(2))
		})
	}
}

// The second attempt never ends. The server error that came first is the caller's
// answer when the time is up.
func TestServerErrorIsTheAnswerWhenTheOtherAttemptHasNone(t *testing.T) {
	first, second := serverAnswer{500, 20 * time.Millisecond}, serverAnswer{200, time.Minute}
	a, b := stuckNode(t, "b", first, second), stuckNode(t, "a", first, second)
	s := front(t, gate.RevokeUnknown, a, b)
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
