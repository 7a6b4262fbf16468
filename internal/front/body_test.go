package front

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longPast makes a read that waits return at once.
var longPast = time.Unix(1, 0)

// longUpload is the head of a request whose caller waits to be asked for its body.
const longUpload = "POST /upload HTTP/1.1\r\nHost: a.example\r\nContent-Length: 200000\r\nExpect: 100-continue\r\n\r\n"

// A caller waits to be asked for its body. The answer comes first, in pieces, and
// only then does somebody read the body. The caller was asked in the middle of the
// answer, where it read the question as a broken piece of it.
func TestBodyIsNotAskedForInsideTheAnswer(t *testing.T) {
	part := strings.Repeat("a", 100<<10)
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, part)
		w.(http.Flusher).Flush()
		reading := make(chan struct{})
		go func() {
			defer close(reading)
			_, _ = io.Copy(io.Discard, r.Body)
		}()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).SetReadDeadline(longPast)
		<-reading
	})
	c := dial(t, address)
	c.send(t, longUpload)
	_, body := c.answer(t, http.MethodPost)
	assert.Assert(t, body == part+part)
	rest, err := io.ReadAll(c.reader)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
}
