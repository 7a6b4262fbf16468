package front

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHalfClosedCallerGetsNoFalseSuccess guards against an empty 200 response to a
// request that the handler abandoned because its caller had closed its sending side.
func TestHalfClosedCallerGetsNoFalseSuccess(t *testing.T) {
	_, address := serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for range 40 {
		c := dial(t, address)
		c.send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, c.Conn.(*net.TCPConn).CloseWrite())
		response, err := io.ReadAll(c.reader)
		assert.NilError(t, err)
		assert.Equal(t, string(response), "")
	}
}
