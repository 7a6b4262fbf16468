package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactuspath/api/fault"
)

// trace keeps the end of what came on a connection, for the report of a failure.
type trace struct {
	source net.Conn
	// left: the caller hung up itself.
	left atomic.Bool
	mu   sync.Mutex
	tail []byte
}

// keptTail is how much of a connection is kept, in bytes: more than an answer.
const keptTail = 8 << 10

// Read reads from the connection.
func (t *trace) Read(p []byte) (int, error) {
	n, err := t.source.Read(p)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tail = append(t.tail, p[:n]...)
	t.tail = t.tail[max(0, len(t.tail)-keptTail):]
	return n, err
}

// shown is what was kept, with lines that come again and again counted.
func (t *trace) shown() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out strings.Builder
	for lines := strings.SplitAfter(string(t.tail), "\n"); len(lines) > 0; {
		n := 1
		for n < len(lines) && lines[n] == lines[0] {
			n++
		}
		out.WriteString(lines[0])
		if n > 1 {
			fmt.Fprintf(&out, "(%d times)\n", n)
		}
		lines = lines[n:]
	}
	return out.String()
}

func (u *uploader) accuse(up *upload, format string, args ...any) {
	u.fail("%s %s (%d bytes, chunked %v, expects %v, request %d on its connection from %v): "+format+"; what came last on it: %q",
		append(append([]any{up.id, up.mode, up.length, up.chunked, up.expects, u.used, u.conn.LocalAddr()}, args...), u.trace.shown())...)
}

// silent checks that nothing came since the last answer: whatever did belongs to no
// request. False means that the connection is over, which a node may end while
// nothing is under way on it.
func (u *uploader) silent() bool {
	_ = u.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	b, err := u.reader.Peek(1)
	_ = u.conn.SetReadDeadline(time.Time{})
	if len(b) > 0 {
		u.fail("%s: %q came on a connection from %v on which every request had its answer", u.nodes[u.node].name, u.trace.shown(), u.conn.LocalAddr())
		return false
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// readAnswers reads one final answer for each request; false means that the
// connection is over.
func (u *uploader) readAnswers(batch []*upload) bool {
	for i, up := range batch {
		u.used++
		resp, err := u.head(up)
		if err != nil {
			u.ended(up, batch[i:], err)
			return false
		}
		body, err := io.ReadAll(resp.Body)
		up.want()
		if err != nil {
			u.ended(up, batch[i:], err)
			return false
		}
		u.judge(up, resp, string(body))
		if i == len(batch)-1 && !resp.Close {
			u.staysOpen(up)
		}
		if resp.Close {
			u.stopped.Store(true)
			for _, behind := range batch[i+1:] {
				u.seen.saidNotRun(behind.id, "sent behind an answer with Connection: close")
			}
			u.atEnd(up)
			return false
		}
	}
	return true
}

// head reads up to the head of the final answer. An interim one may come only before
// it, once, and only to a caller that waits to be asked.
func (u *uploader) head(up *upload) (*http.Response, error) {
	for asked := false; ; asked = true {
		if err := u.await(up); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(u.reader, &http.Request{Method: up.method()})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
		if resp.StatusCode != http.StatusContinue || !up.expects || asked {
			u.accuse(up, "an interim answer %d that it cannot have", resp.StatusCode)
		}
		up.want()
	}
}

var errNoAnswer = errors.New("no answer")

// await waits for an answer's first byte, for as long as the body is on its way and
// hangTime more; a node that reads no body is waited for twice as long in all.
func (u *uploader) await(up *upload) error {
	defer func() { _ = u.conn.SetReadDeadline(time.Now().Add(hangTime)) }()
	for {
		_ = u.conn.SetReadDeadline(time.Now().Add(time.Second))
		_, err := u.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		at := up.sentAt.Load()
		if at != 0 && time.Since(time.Unix(0, at)) > hangTime || time.Since(up.began) > 2*hangTime {
			return errNoAnswer
		}
	}
}

// judge checks a final answer.
func (u *uploader) judge(up *upload, resp *http.Response, body string) {
	kind := fault.Kind(resp.Header.Get(fault.Header))
	if id := resp.Header.Get(dialect.RequestID); id != up.id {
		u.accuse(up, "the answer %d %s is that of %q", resp.StatusCode, kind, id)
	}
	switch {
	case resp.StatusCode == http.StatusOK && kind == "":
		if body != up.answer() {
			u.accuse(up, "another answer, or half of one: %d bytes, %.60q", len(body), body)
		}
		if ran, _ := u.seen.ranAt(up.id); len(ran) == 0 {
			u.accuse(up, "it was answered and no server ran it")
		}
		u.uploaded.Add(1)
	case strange(resp, []byte(body)):
		u.accuse(up, "an answer that it cannot have: %d %s %.200q", resp.StatusCode, kind, body)
	case saysNotRun(resp):
		u.seen.saidNotRun(up.id, "told "+string(kind))
		u.refused.Add(1)
	}
}

// stopHeard is how long a process may take to hear of its planned stop.
const stopHeard = time.Second

// staysOpen checks that an answer which leaves the connection open comes from a node
// that is not stopped as planned: such a one has its answers close their connections,
// so that callers go elsewhere before it is gone.
func (u *uploader) staysOpen(up *upload) {
	node := u.nodes[u.node]
	since := node.stoppingSince()
	if !since.IsZero() && up.began.Sub(since) > stopHeard && node.onlyStopped(since.Add(-nearFault)) {
		u.accuse(up, "its answer leaves the connection open, %v after the node's planned stop began", time.Since(since))
	}
}

// atEnd checks that a connection whose end was announced ends, with nothing behind.
func (u *uploader) atEnd(up *upload) {
	_ = u.conn.SetReadDeadline(time.Now().Add(farewell))
	switch n, err := io.Copy(io.Discard, u.reader); {
	case n > 0:
		u.accuse(up, "%d bytes behind an answer that announced the end of the connection", n)
	case errors.Is(err, os.ErrDeadlineExceeded) && u.nodes[u.node].calm(farewell+calmAfter):
		u.accuse(up, "the connection stays open %v behind an answer that announced its end", farewell)
	}
}

// nearFault is how long before a request a fault must have ended that does not count
// as near. An answer under way is cut by what happens while it is; what an earlier
// fault left, such as broken connections between nodes, shows when a request is sent.
const nearFault = time.Second

// ended judges a connection that ended before a request had its whole answer. While
// processes are killed, paused or cut off this may be; it may not where none is.
func (u *uploader) ended(up *upload, batch []*upload, err error) {
	if u.trace.left.Load() {
		return
	}
	ran, attempts := u.seen.ranAt(up.id)
	// An answer that breaks off takes the connection with it, and the answers before.
	var nodes []int
	for _, other := range batch {
		at, _ := u.seen.ranAt(other.id)
		nodes = append(nodes, at...)
	}
	node, since := u.nodes[u.node], up.began.Add(-nearFault)
	switch {
	case errors.Is(err, errNoAnswer), errors.Is(err, os.ErrDeadlineExceeded):
		if node.calm(time.Since(up.began) + calmAfter) {
			u.accuse(up, "no whole answer within %v of its last byte, after %d attempts, run at %v", hangTime, attempts, ran)
		}
	case !endOfConnection(err):
		u.accuse(up, "what came is not HTTP: %v", err)
	case attempts == 0 && node.calm(time.Since(up.began)+calmAfter) && node.stoppingSince().IsZero():
		// One in a planned stop is not left alone, however long ago it was told to: what
		// crosses its last close was passed on to nobody. Seen in three traces, 4.2 to 4.5 s
		// into a stop on a busy machine.
		u.accuse(up, "a node that was left alone ended the connection without an answer: %v", err)
	case len(ran) > 0 && node.onlyStopped(since) && u.onlyStoppedAt(nodes, since):
		u.accuse(up, "ran at nodes %v, which were stopped as planned at most, as was the caller's, and its answer was cut: %v", ran, err)
	}
}

func (u *uploader) onlyStoppedAt(numbers []int, since time.Time) bool {
	for _, n := range numbers {
		if !u.nodes[n].onlyStopped(since) {
			return false
		}
	}
	return true
}
