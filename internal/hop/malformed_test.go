package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against responses of a failing backend server that are passed on although their heads are not
// valid: receivers read such fields and statuses in different ways, and what is a length to one ends
// the body of another.
func TestMalformedResponsesAreNotPassedOn(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct{ desc, response string }{
		{"blank in a name", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Y: z\r\n\r\nok"},
		{"blank behind a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more"},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX\x01Y: z\r\n\r\nok"},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: a\x01b\r\n\r\nok"},
		{"no name", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n: z\r\n\r\nok"},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"status 000 ahead", "HTTP/1.1 000 OK\r\n\r\n" + good},
		{"status 099 ahead", "HTTP/1.1 099 OK\r\n\r\n" + good},
		{"status 600", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"status 999", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + good},
		{"version 9.9", "HTTP/9.9 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"version 2.0", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + good},
		{"blank in the name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: z\r\n\r\n"},
		{"blank in an announced trailer", "HTTP/1.1 200 OK\r\nTrailer: X Y\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"control byte in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: a\x01b\r\n\r\n"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			body, err := respond(t, c.response)
			assert.Assert(t, err != nil, "passed on as %q", body)
		})
	}
	body, err := respond(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+good)
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

// respond returns what the sender of a request gets if its peer sends the given bytes and closes the
// connection.
func respond(t *testing.T, response string) (body string, err error) {
	t.Helper()
	pool := startServer(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, response)
	})
	resp, err := pool.Do(context.Background(), &Outgoing{Method: http.MethodGet, URI: "/", Host: "a", Deadline: farDeadline()})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
