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

// A node sends a long body beside the reading of the answer, by a goroutine of its
// own. These tests are about what that goroutine does when the exchange ends first.

// uploadLength is more than the 64 KiB up to which a node holds bodies in memory.
const uploadLength = 200_000

// uploadsEstate lets uploads be tried again, each time: every first attempt fails here.
const uploadsEstate = `{"institution": "trial", "terms": {"retryPercent": 100}, "services": {"pay": {
	"hosts": ["pay.example"], "slots": 20, "timeout": "20s", "idempotent": ["GET", "PUT"], "maxAttempts": 2}}}`

// oneProcessor has a node's goroutines take turns: one that is started runs only when
// the one that started it waits.
var oneProcessor = []string{"GOMAXPROCS=1"}

// uploadSite is a node for callers, and nodes with backend servers behind taps.
type uploadSite struct {
	*cluster
	front   *nodeProc
	taps    []*tap
	servers []*checkingServer
}

func newUploadSite(t *testing.T, env []string, gates int, passes func(*tapped, []byte) bool, serve func(*checkingServer, net.Conn, *http.Request) bool) *uploadSite {
	t.Helper()
	s := &uploadSite{cluster: newCluster(t, 1).start()}
	s.front = s.addNodeWith(nodeSetup{dataCenter: "dc-a", env: env})
	for range gates {
		k := newTap(t, passes)
		n := s.addNodeWith(nodeSetup{dataCenter: "dc-a", before: k.before})
		server := scripted(t, serve)
		announce(t, n, server.Addr().String())
		s.taps, s.servers = append(s.taps, k), append(s.servers, server)
	}
	s.submit(uploadsEstate)
	// A node learns of a service's endpoints once it is asked for the service.
	s.front.serves(t, "pay")
	s.front.knows(t, gates)
	return s
}

// wrong is what the backend servers complain of.
func (s *uploadSite) wrong() string {
	var list []string
	for _, server := range s.servers {
		server.mu.Lock()
		list = append(list, server.wrong...)
		server.mu.Unlock()
	}
	return strings.Join(list, "\n")
}

// head is a request's head for an upload.
func head(method, path string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: pay.example\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

func withLength(n int) string { return "Content-Length: " + strconv.Itoa(n) }

const withoutLength = "Transfer-Encoding: chunked"

// dial opens a caller's connection that ends with the test.
func (n *nodeProc) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	return c
}

// firstAttempts knows which connection between nodes carried an upload first.
type firstAttempts struct {
	mu   sync.Mutex
	conn map[string]*tapped
	runs map[string]int
}

func (f *firstAttempts) carries(c *tapped, path string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn[path] == nil {
		f.conn[path] = c
	}
	return f.conn[path] == c
}

// run counts a request that came to a backend server, and tells whether it is the first.
func (f *firstAttempts) run(path string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[path]++
	return f.runs[path] == 1
}

// A caller uploads a body, and the first server resets the connection under it. The
// caller's node reads two things at once: that the gate wants the body, and that the
// attempt was lost. On one processor the goroutine that sends the body for the first
// attempt starts only when the second attempt is under way. Whatever it then took out
// of the caller's body would be missing in what the second server gets.
func TestSecondAttemptSendsTheWholeBody(t *testing.T) {
	const uploads = 20
	first := &firstAttempts{conn: map[string]*tapped{}, runs: map[string]int{}}
	asked := &signals{}
	passes := func(c *tapped, waiting []byte) bool {
		path := c.lastPath(http.MethodPut)
		if path == "" || !first.carries(c, path) {
			return true
		}
		if asks(waiting) {
			asked.give(path)
		}
		return endsHead(waiting)
	}
	serve := func(s *checkingServer, c net.Conn, req *http.Request) bool {
		if first.run(req.URL.Path) {
			<-asked.of(req.URL.Path)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		id, _ := strconv.Atoi(strings.TrimPrefix(req.URL.Path, "/upload/"))
		if !s.check(req.Body, id, uploadLength) {
			return false
		}
		_, err := io.WriteString(c, shortAnswer)
		return err == nil
	}
	s := newUploadSite(t, oneProcessor, 2, passes, serve)
	answered := 0
	for id := 1; id <= uploads; id++ {
		if uploadAtOnce(t, s.front, id, id%2 == 0) == http.StatusOK {
			answered++
		}
	}
	assert.Equal(t, s.wrong(), "")
	whole := s.servers[0].bodies.Load() + s.servers[1].bodies.Load()
	t.Logf("%d of %d uploads came whole", whole, uploads)
	assert.Equal(t, int(whole), answered)
	assert.Assert(t, whole >= uploads/2, "only %d of %d uploads came whole with the second attempt", whole, uploads)
}

// uploadAtOnce sends the body without being asked, and returns the answer's status or
// 0 if none came.
func uploadAtOnce(t *testing.T, n *nodeProc, id int, chunked bool) int {
	t.Helper()
	c := n.dial(t)
	defer c.Close()
	framing := withLength(uploadLength)
	if chunked {
		framing = withoutLength
	}
	_, _ = io.WriteString(c, head(http.MethodPut, "/upload/"+strconv.Itoa(id), framing))
	sendAll(c, &patterned{id: id, length: uploadLength}, chunked)
	resp, _, err := finalAnswer(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// piece is how much of a body a caller sends at once.
const piece = 10_000

func sendAll(w io.Writer, body io.Reader, chunked bool) {
	for {
		b := make([]byte, piece)
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

// pipelined is a site where a caller's POST waits behind its own GET, whose answer the
// test holds; the POST's backend server answers before it has the body.
type pipelined struct {
	*uploadSite
	asked, released, answered *signals
}

func newPipelined(t *testing.T, answer func(id int) []byte) *pipelined {
	t.Helper()
	p := &pipelined{asked: &signals{}, released: &signals{}, answered: &signals{}}
	passes := func(c *tapped, waiting []byte) bool {
		if asks(waiting) {
			p.asked.give(c.lastPath(http.MethodPost))
		}
		return true
	}
	serve := func(s *checkingServer, c net.Conn, req *http.Request) bool {
		kind, name, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
		if kind == "held" {
			<-p.released.of(name)
			_, err := io.WriteString(c, shortAnswer)
			return err == nil
		}
		// Answered once the gate wants the body: by then the caller's node is to ask for it.
		<-p.asked.of(req.URL.Path)
		id, _ := strconv.Atoi(name)
		_, _ = c.Write(answer(id))
		p.answered.give(name)
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	p.uploadSite = newUploadSite(t, nil, 1, passes, serve)
	return p
}

// begin sends both requests and returns when the POST's server has answered.
func (p *pipelined) begin(t *testing.T, id int) net.Conn {
	t.Helper()
	c := p.front.dial(t)
	name := strconv.Itoa(id)
	_, err := io.WriteString(c, head(http.MethodGet, "/held/"+name)+head(http.MethodPost, "/early/"+name, withLength(uploadLength), "Expect: 100-continue"))
	assert.NilError(t, err)
	select {
	case <-p.answered.of(name):
	case <-time.After(patience):
		t.Fatalf("request %d: its server never answered", id)
	}
	return c
}

// quiet is how long a caller listens for words behind the last answer. A node that
// says something there says it together with the answer.
const quiet = 100 * time.Millisecond

// read reads what the caller gets: the answer to the GET, then the one to the POST,
// which must be as its server gave it. It returns the fault, or "", and how often the
// caller was asked for the body where that is allowed, before the answer.
func (p *pipelined) read(c net.Conn, want []byte) (fault string, asked int) {
	defer c.Close()
	r := bufio.NewReader(c)
	held, asked, err := finalAnswer(r, nil)
	if err != nil {
		return "the earlier answer: " + err.Error(), 0
	}
	if asked > 0 {
		return "asked for the body before the earlier answer", 0
	}
	if text, err := io.ReadAll(held.Body); err != nil || string(text) != "ok" {
		return fmt.Sprintf("the earlier answer is %.40q: %v", text, err), 0
	}
	resp, asked, err := finalAnswer(r, nil)
	if err != nil {
		return "the answer's head: " + err.Error(), asked
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(text, want) {
		return fmt.Sprintf("the answer: status %d, %d bytes of %d, %v", resp.StatusCode, len(text), len(want), err), asked
	}
	_ = c.SetReadDeadline(time.Now().Add(quiet))
	if rest, _ := io.ReadAll(r); len(rest) > 0 {
		return fmt.Sprintf("behind the answer: %.80q", rest), asked
	}
	return "", asked
}

// A caller sends a GET and behind it a POST that waits to be asked for its body. The
// POST's server answers early while the GET's answer is held, so that two wait for the
// same turn on the caller's connection: the POST's answer, and the sender of its body,
// which asks the caller for it. The caller must be asked before the answer's head or
// not at all: inside the answer or behind it the words spoil what the caller reads.
func TestAnswerHoldsNoQuestionForTheBody(t *testing.T) {
	const (
		rounds = 30
		// together is how many callers' turns come at once: on a busy node the answer
		// and the question come out in either order.
		together = 8
		// settle lets the answers come as far as their turns. It makes the fault
		// likelier; what the callers read must be right without it.
		settle = 30 * time.Millisecond
	)
	p := newPipelined(t, longAnswer)
	faults := make([]string, rounds*together)
	for round := range rounds {
		var conns []net.Conn
		for i := range together {
			conns = append(conns, p.begin(t, round*together+i))
		}
		time.Sleep(settle)
		var callers sync.WaitGroup
		for i, c := range conns {
			id := round*together + i
			p.released.give(strconv.Itoa(id))
			callers.Go(func() { faults[id] = p.question(c, id) })
		}
		callers.Wait()
	}
	faults = slices.DeleteFunc(faults, func(s string) bool { return s == "" })
	assert.Equal(t, len(faults), 0, "%d of %d connections:\n%s", len(faults), rounds*together, strings.Join(faults, "\n"))
}

// longAnswer is longer than what the callers' node holds of an answer.
func longAnswer(id int) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	sendAll(&b, &patterned{id: id, length: uploadLength}, true)
	return b.Bytes()
}

// question reads what a caller gets with a long answer, and returns the fault or "".
func (p *pipelined) question(c net.Conn, id int) string {
	want, _ := io.ReadAll(&patterned{id: id, length: uploadLength})
	fault, asked := p.read(c, want)
	if fault == "" && asked <= 1 {
		return ""
	}
	return fmt.Sprintf("connection %d, asked %d times before the answer: %s", id, asked, fault)
}

// The same with a short answer: the exchange that the body belongs to has ended, and
// the caller's node has logged its end, before the caller's turn comes. Nobody wants
// the body any more. A caller that is asked for it all the same would send it, or take
// the words for a part of what it reads.
func TestCallerIsNotAskedOnceTheAttemptEnded(t *testing.T) {
	const connections = 20
	p := newPipelined(t, func(int) []byte { return []byte(shortAnswer) })
	answered := func() int { return strings.Count(p.front.log.String(), `"Answered"`) }
	var faults []string
	for id := 1; id <= connections; id++ {
		// The node buffers its log: without this wait, a delayed line of an earlier
		// request could be taken for this POST's.
		eventually(t, "all earlier answers are logged", func() bool {
			return float64(answered()) == number(p.front.vars(t), "calls_answered")
		})
		before := answered()
		c := p.begin(t, id)
		eventually(t, "the caller's node has the POST's answer", func() bool { return answered() > before })
		p.released.give(strconv.Itoa(id))
		if fault, asked := p.read(c, []byte("ok")); fault != "" || asked > 0 {
			faults = append(faults, fmt.Sprintf("connection %d, asked %d times before the answer: %s", id, asked, fault))
		}
	}
	assert.Equal(t, len(faults), 0, "%d of %d connections:\n%s", len(faults), connections, strings.Join(faults, "\n"))
}

// longUpload is more than net/http reads over when a handler leaves a body unread.
const longUpload = 300_000

// A caller uploads slowly, and the backend server answers in the middle. The gate's
// node still reads the body from the connection to the caller's node: its answer must
// say that the connection ends, and the caller's node must send no other request on it.
// Otherwise the rest of a body could pass for a request, or a request for a body.
func TestConnectionBetweenNodesEndsWithAnUnreadBody(t *testing.T) {
	const uploads = 8
	s := newUploadSite(t, nil, 1, nil, answersEarly)
	for id := 1; id <= uploads; id++ {
		uploadSlowly(t, s.front, id, id%2 == 0)
		s.front.serves(t, "pay")
	}
	early := 0
	for _, c := range s.taps[0].seen("PUT /early/") {
		early += checkConnection(t, c)
	}
	assert.Equal(t, s.wrong(), "")
	assert.Assert(t, early >= uploads/2, "only %d of %d uploads were answered before the gate's node had the body", early, uploads)
}

// answersEarly reads a part of the body, answers and reads on.
func answersEarly(s *checkingServer, c net.Conn, req *http.Request) bool {
	id, _ := strconv.Atoi(strings.TrimPrefix(req.URL.Path, "/early/"))
	start := make([]byte, piece)
	if _, err := io.ReadFull(req.Body, start); err != nil {
		return false
	}
	if _, err := io.WriteString(c, shortAnswer); err != nil {
		return false
	}
	return s.check(io.MultiReader(bytes.NewReader(start), req.Body), id, longUpload)
}

// uploadSlowly sends half of a body, and the rest once the answer is there.
func uploadSlowly(t *testing.T, n *nodeProc, id int, chunked bool) {
	t.Helper()
	c := n.dial(t)
	defer c.Close()
	framing := withLength(longUpload)
	if chunked {
		framing = withoutLength
	}
	_, _ = io.WriteString(c, head(http.MethodPut, "/early/"+strconv.Itoa(id), framing))
	body := &patterned{id: id, length: longUpload}
	half, _ := io.ReadAll(io.LimitReader(body, longUpload/2))
	if chunked {
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(half), half)
	} else {
		_, _ = c.Write(half)
	}
	resp, _, err := finalAnswer(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	sendAll(c, body, chunked)
}

// checkConnection reads what passed on a connection between two nodes. It returns how
// many uploads on it were answered before the gate's node had the body: 0 or 1, since
// the connection ends with the first.
func checkConnection(t *testing.T, c *tapped) int {
	t.Helper()
	requests, answers := newPlace(c.sent), newPlace(c.answered)
	for {
		req, err := http.ReadRequest(requests.Reader)
		if err != nil {
			return 0
		}
		body, bodyErr := io.ReadAll(req.Body)
		resp, _, err := finalAnswer(answers.Reader, req)
		if err != nil {
			return 0
		}
		name, upload := strings.CutPrefix(req.URL.Path, "/early/")
		if upload {
			id, _ := strconv.Atoi(name)
			want, _ := io.ReadAll(&patterned{id: id, length: len(body)})
			assert.Assert(t, bytes.Equal(body, want), "upload %d: the body between the nodes is not its own", id)
		}
		if upload && (bodyErr != nil || c.sentBefore(answers.at()-1) < requests.at()) {
			assert.Assert(t, resp.Close, "%s was answered before its body was there, and the answer does not end the connection: %v", req.URL.Path, resp.Header)
			rest, _ := io.ReadAll(requests)
			assert.Equal(t, len(rest), 0, "behind %s on the same connection: %.200q", req.URL.Path, rest)
			return 1
		}
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
	}
}

// The same for a node that sends a body without waiting to be asked, as nodes of other
// versions may: net/http, which the gate's node listens by, ends the connection of its
// own accord only where the body was to be asked for. The test speaks as such a node.
func TestConnectionEndsWithAnUnreadBodyThatNobodyAskedFor(t *testing.T) {
	s := newUploadSite(t, nil, 1, nil, answersEarly)
	uploadSlowly(t, s.front, 1, false)
	conns := s.taps[0].seen("PUT /early/1 ")
	assert.Equal(t, len(conns), 1)
	at := bytes.Index(conns[0].sent, []byte("PUT /early/1 "))
	model, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(conns[0].sent[at:])))
	assert.NilError(t, err)
	for attempt := range uint32(8) {
		speakAsNode(t, s.taps[0].to, model.Header, attempt)
	}
	assert.Equal(t, s.wrong(), "")
}

// speakAsNode sends half of a body, reads the answer, and sends the rest with another
// request behind it, which must not be answered.
func speakAsNode(t *testing.T, gate string, model http.Header, attempt uint32) {
	t.Helper()
	request, err := hop.ParseRequest(model.Get(hop.Header))
	assert.NilError(t, err)
	fields := func() []string {
		request.ID.Attempt++
		return []string{hop.Header + ": " + request.Encode(), hop.ServiceHeader + ": " + model.Get(hop.ServiceHeader)}
	}
	request.ID.Attempt += 100 * (attempt + 1)
	c, err := net.Dial("tcp", gate)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	_, err = io.WriteString(c, head(http.MethodPut, "/early/1", append(fields(), withLength(longUpload))...))
	assert.NilError(t, err)
	body := &patterned{id: 1, length: longUpload}
	sendAll(c, io.LimitReader(body, longUpload/2), false)
	r := bufio.NewReader(c)
	resp, _, err := finalAnswer(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close, "the answer does not end the connection: %v", resp.Header)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	sendAll(c, body, false)
	_, _ = io.WriteString(c, head(http.MethodGet, "/", fields()...))
	another, _, err := finalAnswer(r, nil)
	assert.Assert(t, err != nil, "another request was answered on the connection: %v", another)
}
