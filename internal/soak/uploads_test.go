package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "shop.example"
	// mostBehind is how many requests a caller sends at once on one connection.
	mostBehind = 3
	// wantTime is how long a caller waits to be asked for its body before it sends it
	// all the same, as callers may.
	wantTime = 300 * time.Millisecond
	// hangTime is how long after its last byte an upload may go without an answer on
	// a node that was left alone. Uploads have no time limit of their own, and the
	// longest fault of another process lasts some 3 s.
	hangTime = 10 * time.Second
	// farewell is how long the connection may stay open behind an answer that
	// announced its end.
	farewell = 3 * time.Second
	// seldom is one in how many uploads is left in the middle.
	seldom = 12
	// uploaderNumbers is how many requests a caller can number.
	uploaderNumbers = 1_000_000
)

// lengths of bodies: none, some below and above the sizes at which nodes hold a body
// in memory (64 KiB) and ask before they send it (16 KiB).
var lengths = []int{0, 1, 3, 900, 17 << 10, 20 << 10, 64 << 10, 64<<10 + 1, 70 << 10, 300 << 10}

// upload is a request with a body and the way in which its caller sends it.
type upload struct {
	*request
	chunked, expects, slow bool
	// leavesAt is after how many bytes the caller hangs up; negative for never.
	leavesAt int
	// pieces seeds the sizes of the pieces.
	pieces uint64

	began time.Time
	// wanted is closed when the caller was asked for the body, or has its answer.
	wanted  chan struct{}
	wanting sync.Once
	// sentAt is when the last byte was out, in nanoseconds; 0 before.
	sentAt atomic.Int64
}

func (u *upload) want() { u.wanting.Do(func() { close(u.wanted) }) }

// uploader is a caller that keeps one raw connection and uses it until the node
// closes it, announced or not, or is gone.
type uploader struct {
	*soak
	node   int
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	trace  *trace
	// used counts the requests on the connection, next numbers those of this caller.
	used int
	next uint64
	// stopped: an answer announced the connection's end, or it has ended.
	stopped atomic.Bool
}

// upload sends bodies through one node until the soak ends.
func (s *soak) upload(node, number int) {
	u := &uploader{soak: s, node: node, next: uint64(1+number) * uploaderNumbers}
	u.random = rand.New(rand.NewPCG(s.seed, uint64(1+node*uploadersPerNode+number)))
	for s.rest() {
		if u.conn == nil && !u.dial() {
			continue
		}
		if !u.exchange(u.draw()) {
			_ = u.conn.Close()
			u.conn = nil
		}
	}
	if u.conn != nil {
		_ = u.conn.Close()
	}
}

func (u *uploader) dial() bool {
	conn, err := net.DialTimeout("tcp", u.callers[u.node], time.Second)
	if err != nil {
		return false
	}
	u.conn, u.used = conn, 0
	u.trace = &trace{source: conn}
	u.reader = bufio.NewReader(u.trace)
	u.stopped.Store(false)
	return true
}

// draw makes up the requests that are sent next, one behind the other.
func (u *uploader) draw() []*upload {
	n := 1
	if u.random.IntN(4) == 0 {
		n += u.random.IntN(mostBehind)
	}
	batch := make([]*upload, n)
	for i := range batch {
		u.next++
		kind := []string{kindPut, kindPost}[u.random.IntN(2)]
		length := lengths[u.random.IntN(len(lengths))]
		m := modes[u.random.IntN(len(modes))]
		up := &upload{request: newRequest(kind, u.node, u.next, m, length), leavesAt: -1, wanted: make(chan struct{})}
		up.chunked, up.expects, up.slow = u.random.IntN(2) == 0, u.random.IntN(4) == 0, u.random.IntN(4) == 0
		up.pieces = u.random.Uint64()
		if u.random.IntN(seldom) == 0 && length > 0 {
			up.leavesAt = u.random.IntN(length)
		}
		batch[i] = up
	}
	return batch
}

// exchange sends requests and reads their answers; false means that the connection
// is over.
func (u *uploader) exchange(batch []*upload) bool {
	if !u.silent() {
		return false
	}
	for _, up := range batch {
		u.seen.send(up.request)
		up.began = time.Now()
	}
	u.uploading[u.node].Add(1)
	defer u.uploading[u.node].Add(-1)
	var sending sync.WaitGroup
	sending.Go(func() { u.send(batch) })
	open := u.readAnswers(batch)
	if !open {
		// The sender, which may wait to write, is not waited for.
		u.stopped.Store(true)
		_ = u.conn.Close()
		for _, up := range batch {
			up.want()
		}
	}
	sending.Wait()
	return open
}

// send writes the requests one behind the other.
func (u *uploader) send(batch []*upload) {
	for _, up := range batch {
		if u.stopped.Load() || !u.sendOne(up) {
			return
		}
		up.sentAt.Store(time.Now().UnixNano())
	}
}

func (u *uploader) sendOne(up *upload) bool {
	framing := fmt.Sprint("Content-Length: ", up.length)
	if up.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	if up.expects {
		framing += "\r\nExpect: 100-continue"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s\r\n\r\n", up.method(), up.path(), host, dialect.RequestID, up.id, framing)
	if !u.write(head) {
		return false
	}
	if up.expects {
		select {
		case <-up.wanted:
		case <-time.After(wantTime):
		}
	}
	return u.sendBody(up)
}

// sendBody writes the body in pieces of all sizes.
func (u *uploader) sendBody(up *upload) bool {
	random := rand.New(rand.NewPCG(up.pieces, 0))
	for at := 0; at < up.length; {
		end := min(up.length, at+1+random.IntN(24<<10))
		if up.leavesAt >= 0 {
			end = min(end, max(at, up.leavesAt))
		}
		piece := string(up.bytes(at, end))
		if up.chunked && len(piece) > 0 {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if u.stopped.Load() || !u.write(piece) {
			return false
		}
		if end == up.leavesAt {
			u.leave()
			return false
		}
		at = end
		if up.slow {
			time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
		}
	}
	return !up.chunked || u.write("0\r\n\r\n")
}

func (u *uploader) write(text string) bool {
	_, err := strings.NewReader(text).WriteTo(u.conn)
	return err == nil
}

// leave hangs up in the middle of a body.
func (u *uploader) leave() {
	u.left.Add(1)
	u.trace.left.Store(true)
	_ = u.conn.Close()
}
