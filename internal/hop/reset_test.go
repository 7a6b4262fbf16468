package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a part of a response that looks complete: a backend server responds without a length
// to an upload and resets the connection while the body is sent. A socket reports its error once, so
// that the sender of the body may get it, and the reader of the response a plain end.
func TestResponseThatIsResetDuringUploadIsNotComplete(t *testing.T) {
	const attempts = 400
	for _, c := range []struct {
		desc  string
		end   func(*net.TCPConn)
		whole int
	}{
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, 0},
		{"closed", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, c, 4<<20)
		}, attempts},
	} {
		t.Run(c.desc, func(t *testing.T) {
			pool := startServer(t, func(conn net.Conn) {
				readRequestHead(conn)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
				c.end(conn.(*net.TCPConn))
			})
			assert.Equal(t, completeUploads(pool, attempts), c.whole)
		})
	}
}

// completeUploads returns how many uploads of a number of attempts get a response that looks complete.
func completeUploads(pool *Pool, attempts int) (complete int) {
	for range attempts {
		out := &Outgoing{Method: http.MethodPost, URI: "/", Host: "a", Stream: NewBody(endlessReader{}, nil), Length: 1 << 40, SkipContinue: true, Deadline: farDeadline()}
		resp, err := pool.Do(context.Background(), out)
		if err != nil {
			continue
		}
		if _, err = io.ReadAll(resp.Body); err == nil {
			complete++
		}
		_ = resp.Body.Close()
	}
	return complete
}
