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
	// maxPipelined is the maximum number of requests that a caller sends at once on a connection.
	maxPipelined = 3
	// continueTimeout is how long a caller waits for 100 Continue before it sends the body anyway,
	// as HTTP permits.
	continueTimeout = 300 * time.Millisecond
	// responseTimeout is the maximum time between the last byte of an upload and its response at an
	// undisturbed node. Uploads have no timeout of their own, and the longest fault of another
	// process lasts about 3 s.
	responseTimeout = 10 * time.Second
	// closeTimeout is how long a connection may stay open after a response that announced its end.
	closeTimeout = 3 * time.Second
	// abortOneIn is the inverse of the probability that a caller aborts an upload.
	abortOneIn = 12
	// numbersPerUploader is the size of the range of request numbers reserved for each uploader.
	numbersPerUploader = 1_000_000
)

// bodyLengths contains zero and sizes below and above the limits up to which nodes buffer a body in
// memory (64 KiB) and send it without waiting for 100 Continue (16 KiB).
var bodyLengths = []int{0, 1, 3, 900, 17 << 10, 20 << 10, 64 << 10, 64<<10 + 1, 70 << 10, 300 << 10}

// upload is a request with a body, with the way in which its caller sends the body and the progress
// of sending it.
type upload struct {
	*request
	chunked, expectContinue, slow bool
	// abortAt is the number of body bytes after which the caller closes the connection, or negative
	// for never.
	abortAt int
	// pieceSeed is the seed of the sizes in which the body is written.
	pieceSeed uint64

	// startedAt is when the request is sent, which may be in the future.
	startedAt time.Time
	// bodyReleased is closed when the caller has received 100 Continue or the response, after
	// which it does not wait any longer before it sends the body.
	bodyReleased chan struct{}
	releaseOnce  sync.Once
	// sentAt is the time at which the last byte was sent, in Unix nanoseconds, or 0.
	sentAt atomic.Int64
}

func (u *upload) releaseBody() { u.releaseOnce.Do(func() { close(u.bodyReleased) }) }

// uploader is a caller that sends uploads on a persistent connection, without an HTTP client. It
// opens a new connection when the node has closed the previous one or has failed.
type uploader struct {
	*soak
	node   int
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	trace  *connTrace
	// requestsOnConn is the number of requests on the connection. lastNumber is the last request
	// number used by this caller.
	requestsOnConn int
	lastNumber     uint64
	// sendInterval is the time between the requests of a batch.
	sendInterval time.Duration
	// connEnded is set when a response has announced the end of the connection, or the connection
	// has ended.
	connEnded atomic.Bool
}

// runUploader sends uploads to a node until the test ends.
func (s *soak) runUploader(node, number int) {
	u := &uploader{soak: s, node: node, lastNumber: uint64(1+number) * numbersPerUploader}
	u.random = rand.New(rand.NewPCG(s.seed, uint64(1+node*uploadersPerNode+number)))
	for s.sleepBetweenRequests() {
		if u.conn == nil && !u.dial() {
			continue
		}
		if !u.exchange(u.nextBatch()) {
			_ = u.conn.Close()
			u.conn = nil
		}
	}
	if u.conn != nil {
		_ = u.conn.Close()
	}
}

func (u *uploader) dial() bool {
	conn, err := net.DialTimeout("tcp", u.callerAddresses[u.node], time.Second)
	if err != nil {
		return false
	}
	u.conn, u.requestsOnConn = conn, 0
	u.trace = &connTrace{source: conn}
	u.reader = bufio.NewReader(u.trace)
	u.connEnded.Store(false)
	return true
}

// nextBatch generates the requests that are pipelined next, that is, sent on the connection without
// waiting for the responses to earlier ones.
func (u *uploader) nextBatch() []*upload {
	n := 1
	if u.random.IntN(4) == 0 {
		n += u.random.IntN(maxPipelined)
	}
	batch := make([]*upload, n)
	for i := range batch {
		u.lastNumber++
		kind := []string{kindPut, kindPost}[u.random.IntN(2)]
		length := bodyLengths[u.random.IntN(len(bodyLengths))]
		m := modes[u.random.IntN(len(modes))]
		up := &upload{request: newRequest(kind, u.node, u.lastNumber, m, length), abortAt: -1, bodyReleased: make(chan struct{})}
		up.chunked, up.expectContinue, up.slow = u.random.IntN(2) == 0, u.random.IntN(4) == 0, u.random.IntN(4) == 0
		up.pieceSeed = u.random.Uint64()
		if u.random.IntN(abortOneIn) == 0 && length > 0 {
			up.abortAt = u.random.IntN(length)
		}
		batch[i] = up
	}
	return batch
}

// exchange sends requests and reads their responses. It returns false if the connection has ended.
func (u *uploader) exchange(batch []*upload) bool {
	if !u.checkIdle() {
		return false
	}
	began := time.Now()
	for i, up := range batch {
		u.requests.recordSent(up.request)
		up.startedAt = began.Add(time.Duration(i) * u.sendInterval)
	}
	u.uploadsInFlight[u.node].Add(1)
	defer u.uploadsInFlight[u.node].Add(-1)
	var sending sync.WaitGroup
	sending.Go(func() { u.send(batch) })
	open := u.readResponses(batch)
	if !open {
		// Unblock the sender, which may be blocked in a write.
		u.connEnded.Store(true)
		_ = u.conn.Close()
		for _, up := range batch {
			up.releaseBody()
		}
	}
	sending.Wait()
	return open
}

// send writes the requests one after the other.
func (u *uploader) send(batch []*upload) {
	for _, up := range batch {
		time.Sleep(time.Until(up.startedAt))
		if u.connEnded.Load() || !u.sendOne(up) {
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
	if up.expectContinue {
		framing += "\r\nExpect: 100-continue"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s\r\n\r\n", up.method(), up.path(), host, dialect.RequestID, up.id, framing)
	if !u.write(head) {
		return false
	}
	if up.expectContinue {
		select {
		case <-up.bodyReleased:
		case <-time.After(continueTimeout):
		}
	}
	return u.sendBody(up)
}

// sendBody writes the body in pieces of random sizes.
func (u *uploader) sendBody(up *upload) bool {
	random := rand.New(rand.NewPCG(up.pieceSeed, 0))
	for at := 0; at < up.length; {
		end := min(up.length, at+1+random.IntN(24<<10))
		if up.abortAt >= 0 {
			end = min(end, max(at, up.abortAt))
		}
		piece := string(up.body(at, end))
		if up.chunked && len(piece) > 0 {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if u.connEnded.Load() || !u.write(piece) {
			return false
		}
		if end == up.abortAt {
			u.abort()
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

// abort closes the connection in the middle of a body.
func (u *uploader) abort() {
	u.aborted.Add(1)
	u.trace.closedByCaller.Store(true)
	_ = u.conn.Close()
}
