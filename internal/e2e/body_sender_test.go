package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/hop"
)

// A node sends a long body from a separate goroutine, concurrently with reading the response. These
// tests cover what this goroutine does if the exchange ends first.

// uploadLength exceeds the 64 KiB up to which a node buffers bodies in memory.
const uploadLength = 200_000

// retryingEstate permits a retry of every upload, as every first attempt fails in these tests.
const retryingEstate = `{"institution": "trial", "terms": {"retryPercent": 100}, "services": {"pay": {
	"hosts": ["pay.example"], "slots": 20, "timeout": "20s", "idempotent": ["GET", "PUT"], "maxAttempts": 2}}}`

// singleProcessorEnv makes the goroutines of a node take turns: a new goroutine runs only when the
// goroutine that started it blocks.
var singleProcessorEnv = []string{"GOMAXPROCS=1"}

// uploadSite consists of a node for callers, and nodes with backend servers behind recording
// proxies.
type uploadSite struct {
	*cluster
	front   *nodeProcess
	proxies []*recordingProxy
	servers []*checkingServer
}

func newUploadSite(t *testing.T, env []string, gates int, mayForward func(*recordedConn, []byte) bool, serve func(*checkingServer, net.Conn, *http.Request) bool) *uploadSite {
	t.Helper()
	s := &uploadSite{cluster: newCluster(t, 1).start()}
	s.front = s.addNodeWith(nodeOptions{dataCenter: "dc-a", env: env})
	for range gates {
		proxy := newRecordingProxy(t, mayForward)
		n := s.addNodeWith(nodeOptions{dataCenter: "dc-a", interposePeer: proxy.interpose})
		server := startScriptedServer(t, serve)
		keepAnnounced(t, n, server.Addr().String())
		s.proxies, s.servers = append(s.proxies, proxy), append(s.servers, server)
	}
	s.submit(retryingEstate)
	// A node learns the endpoints of a service only after a request for the service.
	s.front.waitServing(t, "pay")
	s.front.waitEndpoints(t, gates)
	return s
}

// failures returns the failures recorded by the backend servers.
func (s *uploadSite) failures() string {
	var list []string
	for _, server := range s.servers {
		server.mu.Lock()
		list = append(list, server.failures...)
		server.mu.Unlock()
	}
	return strings.Join(list, "\n")
}

// requestHead returns the head of an upload request.
func requestHead(method, path string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: pay.example\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

func contentLength(n int) string { return "Content-Length: " + strconv.Itoa(n) }

const chunkedEncoding = "Transfer-Encoding: chunked"

// dial opens a caller connection that is closed at the end of the test.
func (n *nodeProcess) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return c
}

// firstAttempts records for each upload the connection between nodes that carried its first attempt,
// and how often a backend server has received it.
type firstAttempts struct {
	mu    sync.Mutex
	conns map[string]*recordedConn
	runs  map[string]int
}

func (f *firstAttempts) isFirstConn(c *recordedConn, path string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[path] == nil {
		f.conns[path] = c
	}
	return f.conns[path] == c
}

// isFirstRun counts a request received by a backend server and reports whether it is the first.
func (f *firstAttempts) isFirstRun(path string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[path]++
	return f.runs[path] == 1
}

// Guards against bodies with missing bytes in a second attempt. The first server resets its
// connection, and the caller's node then reads two messages of the gate's node at once: 100 Continue,
// which requests the body, and the response that the attempt was lost. With one processor the
// goroutine that sends the body for the first attempt starts only when the second attempt is already
// in progress. Any bytes that it then reads from the caller's body would be missing at the second
// server.
func TestSecondAttemptSendsTheWholeBody(t *testing.T) {
	const uploads = 20
	first := &firstAttempts{conns: map[string]*recordedConn{}, runs: map[string]int{}}
	continued := &events{}
	mayForward := func(c *recordedConn, waiting []byte) bool {
		path := c.lastPath(http.MethodPut)
		if path == "" || !first.isFirstConn(c, path) {
			return true
		}
		if isContinue(waiting) {
			continued.fire(path)
		}
		return hasHeadAfterContinue(waiting)
	}
	serve := func(s *checkingServer, c net.Conn, req *http.Request) bool {
		if first.isFirstRun(req.URL.Path) {
			<-continued.channel(req.URL.Path)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		id, _ := strconv.Atoi(strings.TrimPrefix(req.URL.Path, "/upload/"))
		if !s.checkBody(req.Body, id, uploadLength) {
			return false
		}
		_, err := io.WriteString(c, shortResponse)
		return err == nil
	}
	s := newUploadSite(t, singleProcessorEnv, 2, mayForward, serve)
	answered := 0
	for id := 1; id <= uploads; id++ {
		if uploadWithoutContinue(t, s.front, id, id%2 == 0) == http.StatusOK {
			answered++
		}
	}
	assert.Equal(t, s.failures(), "")
	complete := s.servers[0].completeBodies.Load() + s.servers[1].completeBodies.Load()
	t.Logf("%d of %d uploads complete", complete, uploads)
	assert.Equal(t, int(complete), answered)
	assert.Assert(t, complete >= uploads/2, "only %d of %d uploads complete after a second attempt", complete, uploads)
}

// uploadWithoutContinue sends the body without waiting for 100 Continue. It returns the status of
// the response, or 0 if there is none.
func uploadWithoutContinue(t *testing.T, n *nodeProcess, id int, chunked bool) int {
	t.Helper()
	c := n.dial(t)
	defer c.Close()
	framing := contentLength(uploadLength)
	if chunked {
		framing = chunkedEncoding
	}
	_, _ = io.WriteString(c, requestHead(http.MethodPut, "/upload/"+strconv.Itoa(id), framing))
	sendAll(c, &patternReader{id: id, length: uploadLength}, chunked)
	resp, _, err := readFinalResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// pieceBytes is the size of the pieces in which a caller sends a body.
const pieceBytes = 10_000

func sendAll(w io.Writer, body io.Reader, chunked bool) {
	for {
		b := make([]byte, pieceBytes)
		n, err := io.ReadFull(body, b)
		if n > 0 && chunked {
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", n, b[:n])
		} else if n > 0 {
			_, _ = w.Write(b[:n])
		}
		if err != nil {
			break
		}
	}
	if chunked {
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}

// pipelinedSite is a site where a caller's POST is pipelined after a GET whose response is held
// back by the test. The backend server responds to the POST before it has received the body.
type pipelinedSite struct {
	*uploadSite
	continued, released, responded *events
}

func newPipelinedSite(t *testing.T, response func(id int) []byte) *pipelinedSite {
	t.Helper()
	p := &pipelinedSite{continued: &events{}, released: &events{}, responded: &events{}}
	mayForward := func(c *recordedConn, waiting []byte) bool {
		if isContinue(waiting) {
			p.continued.fire(c.lastPath(http.MethodPost))
		}
		return true
	}
	serve := func(s *checkingServer, c net.Conn, req *http.Request) bool {
		kind, name, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
		if kind == "held" {
			<-p.released.channel(name)
			_, err := io.WriteString(c, shortResponse)
			return err == nil
		}
		// Respond once the gate has requested the body: the caller's node then has to send 100
		// Continue to the caller.
		<-p.continued.channel(req.URL.Path)
		id, _ := strconv.Atoi(name)
		_, _ = c.Write(response(id))
		p.responded.fire(name)
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	p.uploadSite = newUploadSite(t, nil, 1, mayForward, serve)
	return p
}

// sendRequests sends the GET and the POST on a new connection and returns it when the server has
// responded to the POST.
func (p *pipelinedSite) sendRequests(t *testing.T, id int) net.Conn {
	t.Helper()
	c := p.front.dial(t)
	name := strconv.Itoa(id)
	_, err := io.WriteString(c, requestHead(http.MethodGet, "/held/"+name)+requestHead(http.MethodPost, "/early/"+name, contentLength(uploadLength), "Expect: 100-continue"))
	assert.NilError(t, err)
	select {
	case <-p.responded.channel(name):
	case <-time.After(waitTimeout):
		t.Fatalf("request %d: no response from the server", id)
	}
	return c
}

// quietPeriod is how long a caller checks that no bytes follow the last response. A faulty node
// sends such bytes together with the response, so a short period is sufficient.
const quietPeriod = 100 * time.Millisecond

// readResponses reads the response to the GET and then the response to the POST, which must equal
// the one sent by the server. It returns a description of the failure, or "", and the number of 100
// Continue responses at the permitted place, before the response to the POST.
func (p *pipelinedSite) readResponses(c net.Conn, want []byte) (fault string, continues int) {
	defer c.Close()
	r := bufio.NewReader(c)
	held, continues, err := readFinalResponse(r, nil)
	if err != nil {
		return "response to the GET: " + err.Error(), 0
	}
	if continues > 0 {
		return "100 Continue before the response to the GET", 0
	}
	if text, err := io.ReadAll(held.Body); err != nil || string(text) != "ok" {
		return fmt.Sprintf("response to the GET is %.40q: %v", text, err), 0
	}
	resp, continues, err := readFinalResponse(r, nil)
	if err != nil {
		return "head of the response: " + err.Error(), continues
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(text, want) {
		return fmt.Sprintf("response: status %d, %d bytes of %d, %v", resp.StatusCode, len(text), len(want), err), continues
	}
	_ = c.SetReadDeadline(time.Now().Add(quietPeriod))
	if rest, _ := io.ReadAll(r); len(rest) > 0 {
		return fmt.Sprintf("bytes after the response: %.80q", rest), continues
	}
	return "", continues
}

// Guards against a 100 Continue that is written inside or after a response and corrupts what the
// caller reads. A caller pipelines a POST with Expect: 100-continue after a GET. The server
// responds to the POST early while the response to the GET is held back, so that two goroutines
// wait to write to the caller's connection: the one with the response to the POST, and the sender
// of its body, which writes 100 Continue. It must be written before the head of the response or not
// at all.
func TestAnswerHoldsNoQuestionForTheBody(t *testing.T) {
	const (
		rounds = 30
		// concurrentCallers is the number of callers whose responses are released at once: on a
		// busy node the response and 100 Continue are written in either order.
		concurrentCallers = 8
		// settle lets the responses reach the point where they wait to be written. It makes the
		// failure more likely; the result must be correct without it.
		settle = 30 * time.Millisecond
	)
	p := newPipelinedSite(t, longResponse)
	faults := make([]string, rounds*concurrentCallers)
	for round := range rounds {
		var conns []net.Conn
		for i := range concurrentCallers {
			conns = append(conns, p.sendRequests(t, round*concurrentCallers+i))
		}
		time.Sleep(settle)
		var callers sync.WaitGroup
		for i, c := range conns {
			id := round*concurrentCallers + i
			p.released.fire(strconv.Itoa(id))
			callers.Go(func() { faults[id] = p.checkLongResponse(c, id) })
		}
		callers.Wait()
	}
	faults = slices.DeleteFunc(faults, func(s string) bool { return s == "" })
	assert.Equal(t, len(faults), 0, "%d of %d connections:\n%s", len(faults), rounds*concurrentCallers, strings.Join(faults, "\n"))
}

// longResponse returns a response that is too long for the buffers of the callers' node.
func longResponse(id int) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	sendAll(&b, &patternReader{id: id, length: uploadLength}, true)
	return b.Bytes()
}

// checkLongResponse reads a long response and returns a description of the failure, or "".
func (p *pipelinedSite) checkLongResponse(c net.Conn, id int) string {
	want, _ := io.ReadAll(&patternReader{id: id, length: uploadLength})
	fault, continues := p.readResponses(c, want)
	if fault == "" && continues <= 1 {
		return ""
	}
	return fmt.Sprintf("connection %d, 100 Continue received %d times before the response: %s", id, continues, fault)
}

// Guards against a 100 Continue for an exchange that has ended. The POST is pipelined after a GET
// whose response is held back. The response to the POST is short, so that its exchange has ended, as
// the log of the caller's node shows, before the response may be written to the caller. The body is
// not needed any more. A caller that receives 100 Continue would send the body, or read the interim
// response as part of another response.
func TestNoContinueAfterTheExchangeEnded(t *testing.T) {
	const connections = 20
	p := newPipelinedSite(t, func(int) []byte { return []byte(shortResponse) })
	loggedResponses := func() int { return strings.Count(p.front.log.String(), `"Answered"`) }
	var faults []string
	for id := 1; id <= connections; id++ {
		// The node buffers its log. Without this wait, a delayed line of an earlier request could
		// be mistaken for that of this POST.
		eventually(t, "all earlier responses are logged", func() bool {
			return float64(loggedResponses()) == metric(p.front.metrics(t), "calls_answered")
		})
		before := loggedResponses()
		c := p.sendRequests(t, id)
		eventually(t, "the caller's node has the response to the POST", func() bool { return loggedResponses() > before })
		p.released.fire(strconv.Itoa(id))
		if fault, continues := p.readResponses(c, []byte("ok")); fault != "" || continues > 0 {
			faults = append(faults, fmt.Sprintf("connection %d, 100 Continue received %d times before the response: %s", id, continues, fault))
		}
	}
	assert.Equal(t, len(faults), 0, "%d of %d connections:\n%s", len(faults), connections, strings.Join(faults, "\n"))
}

// longUploadLength exceeds the number of bytes that net/http reads and discards if a handler has not
// read the whole body.
const longUploadLength = 300_000

// Guards against reuse of a connection between nodes while a body on it is still being read. A
// caller uploads slowly and the backend server responds before the end of the body. The response of
// the gate's node must announce the end of the connection, and the caller's node must not send
// another request on it. Otherwise the rest of the body could be read as a request, or a request as
// part of the body.
func TestConnectionBetweenNodesEndsWithAnUnreadBody(t *testing.T) {
	const uploads = 8
	s := newUploadSite(t, nil, 1, nil, respondEarly)
	for id := 1; id <= uploads; id++ {
		uploadSlowly(t, s.front, id, id%2 == 0)
		s.front.waitServing(t, "pay")
	}
	early := 0
	for _, c := range s.proxies[0].connsContaining("PUT /early/") {
		early += checkConnection(t, c)
	}
	assert.Equal(t, s.failures(), "")
	assert.Assert(t, early >= uploads/2, "only %d of %d uploads had a response before the gate's node had the body", early, uploads)
}

// respondEarly reads part of the body, responds and reads the rest.
func respondEarly(s *checkingServer, c net.Conn, req *http.Request) bool {
	id, _ := strconv.Atoi(strings.TrimPrefix(req.URL.Path, "/early/"))
	start := make([]byte, pieceBytes)
	if _, err := io.ReadFull(req.Body, start); err != nil {
		return false
	}
	if _, err := io.WriteString(c, shortResponse); err != nil {
		return false
	}
	return s.checkBody(io.MultiReader(bytes.NewReader(start), req.Body), id, longUploadLength)
}

// uploadSlowly sends half of a body, and the rest after the response.
func uploadSlowly(t *testing.T, n *nodeProcess, id int, chunked bool) {
	t.Helper()
	c := n.dial(t)
	defer c.Close()
	framing := contentLength(longUploadLength)
	if chunked {
		framing = chunkedEncoding
	}
	_, _ = io.WriteString(c, requestHead(http.MethodPut, "/early/"+strconv.Itoa(id), framing))
	body := &patternReader{id: id, length: longUploadLength}
	half, _ := io.ReadAll(io.LimitReader(body, longUploadLength/2))
	if chunked {
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(half), half)
	} else {
		_, _ = c.Write(half)
	}
	resp, _, err := readFinalResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	sendAll(c, body, chunked)
}

// checkConnection checks the recorded traffic of a connection between two nodes. It returns the
// number of uploads with a response before the gate's node had the complete body. This is 0 or 1,
// as the first one must end the connection.
func checkConnection(t *testing.T, c *recordedConn) int {
	t.Helper()
	requests, responses := newOffsetReader(c.requests), newOffsetReader(c.responses)
	for {
		req, err := http.ReadRequest(requests.Reader)
		if err != nil {
			return 0
		}
		body, bodyErr := io.ReadAll(req.Body)
		resp, _, err := readFinalResponse(responses.Reader, req)
		if err != nil {
			return 0
		}
		name, upload := strings.CutPrefix(req.URL.Path, "/early/")
		if upload {
			id, _ := strconv.Atoi(name)
			want, _ := io.ReadAll(&patternReader{id: id, length: len(body)})
			assert.Assert(t, bytes.Equal(body, want), "upload %d: wrong body between the nodes", id)
		}
		if upload && (bodyErr != nil || c.requestBytesBefore(responses.offset()-1) < requests.offset()) {
			assert.Assert(t, resp.Close, "%s: response before the end of the body without Connection: close: %v", req.URL.Path, resp.Header)
			rest, _ := io.ReadAll(requests)
			assert.Equal(t, len(rest), 0, "bytes after %s on the same connection: %.200q", req.URL.Path, rest)
			return 1
		}
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
	}
}

// Guards against reuse of a connection between nodes with an unread body, as the previous test does,
// but with a caller's node that sends the body without waiting for 100 Continue, as nodes of other
// versions may. The net/http server of the gate's node closes the connection by itself only if the
// request has Expect: 100-continue. The test acts as the caller's node.
func TestConnectionEndsWithAnUnreadBodyThatNobodyAskedFor(t *testing.T) {
	s := newUploadSite(t, nil, 1, nil, respondEarly)
	uploadSlowly(t, s.front, 1, false)
	conns := s.proxies[0].connsContaining("PUT /early/1 ")
	assert.Equal(t, len(conns), 1)
	at := bytes.Index(conns[0].requests, []byte("PUT /early/1 "))
	template, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(conns[0].requests[at:])))
	assert.NilError(t, err)
	for attempt := range uint32(8) {
		actAsNode(t, s.proxies[0].target, template.Header, attempt)
	}
	assert.Equal(t, s.failures(), "")
}

// actAsNode sends half of a body, reads the response, and then sends the rest followed by another
// request, which must not be handled.
func actAsNode(t *testing.T, gate string, template http.Header, attempt uint32) {
	t.Helper()
	request, err := hop.ParseRequest(template.Get(hop.Header))
	assert.NilError(t, err)
	headerFields := func() []string {
		request.ID.Attempt++
		return []string{hop.Header + ": " + request.Encode(), hop.ServiceHeader + ": " + template.Get(hop.ServiceHeader)}
	}
	request.ID.Attempt += 100 * (attempt + 1)
	c, err := net.Dial("tcp", gate)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(c, requestHead(http.MethodPut, "/early/1", append(headerFields(), contentLength(longUploadLength))...))
	assert.NilError(t, err)
	body := &patternReader{id: 1, length: longUploadLength}
	sendAll(c, io.LimitReader(body, longUploadLength/2), false)
	r := bufio.NewReader(c)
	resp, _, err := readFinalResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close, "response without Connection: close: %v", resp.Header)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	sendAll(c, body, false)
	_, _ = io.WriteString(c, requestHead(http.MethodGet, "/", headerFields()...))
	another, _, err := readFinalResponse(r, nil)
	assert.Assert(t, err != nil, "response to another request on the connection: %v", another)
}
