package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
)

// Guards against a process that reads what another one sends without end into memory, until the call
// times out or the process is killed.
func TestMessageWithoutEndIsNotRead(t *testing.T) {
	const maxMemory = 4 * maxMessageBytes
	for _, test := range []struct {
		name string
		send func(http.ResponseWriter) error
	}{
		{"head", func(w http.ResponseWriter) error {
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return err
			}
			defer c.Close()
			_, err = c.Write([]byte("HTTP/1.1 200 OK\r\nA: "))
			for part := make([]byte, 64<<10); err == nil; {
				_, err = c.Write(part)
			}
			return nil
		}},
		{"body", func(w http.ResponseWriter) (err error) {
			w.Header().Set("Content-Type", "application/proto")
			for part := make([]byte, 64<<10); err == nil; {
				_, err = w.Write(part)
			}
			return nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { assert.Check(t, test.send(w)) }))
			defer s.Close()
			client := apiv1connect.NewControlServiceClient((*Security)(nil).ControlClient(&Traffic{}), s.URL, ReadLimit())
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := client.Watch(ctx, connect.NewRequest(&apiv1.WatchRequest{}))
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil && ctx.Err() == nil, "%v", err)
			assert.Assert(t, after.Sys-before.Sys < maxMemory, "the process has %d more bytes", after.Sys-before.Sys)
		})
	}
}
