package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowReader returns a part every interval until there are none left.
type slowReader struct {
	parts    int
	interval time.Duration
}

// Read returns one part.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.parts == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.interval)
	r.parts--
	return copy(p, "part"), nil
}

// Guards against messages that never arrive on a slow link because each try is cut off after the
// same time, and against calls that wait for a peer that fell silent in the middle of a response.
func TestStallLimitEndsCallsWithoutProgressOnly(t *testing.T) {
	const (
		first, stall = 300 * time.Millisecond, 300 * time.Millisecond
		// interval is the time between two parts; parts of them take longer than either limit.
		interval, parts = 60 * time.Millisecond, 10
	)
	for _, test := range []struct {
		name                    string
		requestParts, respParts int
		hang, fails             bool
	}{
		{"the response takes long", 0, parts, false, false},
		{"the request takes long", parts, 1, false, false},
		{"no response", 0, 0, true, true},
		{"the response stops", 0, 2, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				for range test.respParts {
					time.Sleep(interval)
					_, _ = io.WriteString(w, strings.Repeat("x", progressBytes))
					_ = http.NewResponseController(w).Flush()
				}
				if test.hang {
					<-r.Context().Done()
				}
			}))
			defer s.Close()
			received := 0
			ctx, cancel := WithStallLimit(context.Background(), first, stall, func() { received++ })
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL, &slowReader{test.requestParts, interval})
			assert.NilError(t, err)
			begin := time.Now()
			resp, err := (*Security)(nil).ControlClient(&Traffic{}).Do(req)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if !test.fails {
				assert.NilError(t, err)
				assert.Assert(t, received >= test.respParts)
				return
			}
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			assert.Assert(t, time.Since(begin) < 5*time.Second, "the call ended after %v", time.Since(begin))
		})
	}
}
