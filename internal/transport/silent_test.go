package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that wait for their full timeout on one pooled connection after the
// other: a call that gets no response, or only a part of one, leaves no idle connections, not
// even those to other servers, since they may be as silent.
func TestPassedDeadlineClosesIdleConnections(t *testing.T) {
	for _, test := range []struct {
		name  string
		begin bool
	}{{"no response", false}, {"part of a response", true}} {
		t.Run(test.name, func(t *testing.T) {
			var opened atomic.Int64
			healthy := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			healthy.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					opened.Add(1)
				}
			}
			healthy.Start()
			defer healthy.Close()
			silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if test.begin {
					w.Header().Set("Content-Length", "10")
					_, _ = w.Write([]byte("begin"))
					_ = http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
			}))
			defer silent.Close()
			client := (*Security)(nil).ControlClient(&Traffic{})
			call := func(url string, timeout time.Duration) error {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
				assert.NilError(t, err)
				resp, err := client.Do(req)
				if err != nil {
					return err
				}
				defer resp.Body.Close()
				_, err = resp.Body.Read(make([]byte, 10))
				for err == nil {
					_, err = resp.Body.Read(make([]byte, 10))
				}
				return err
			}
			_ = call(healthy.URL, time.Second)
			_ = call(healthy.URL, time.Second)
			assert.Equal(t, opened.Load(), int64(1), "the connection is reused")
			assert.ErrorIs(t, call(silent.URL, 100*time.Millisecond), context.DeadlineExceeded)
			_ = call(healthy.URL, time.Second)
			assert.Equal(t, opened.Load(), int64(2), "an idle connection was left")
		})
	}
}
