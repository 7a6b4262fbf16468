package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutServer is a backend server that sends the beginning of a response and closes the connection.
// The path of a request, /FRAMING/BYTES/ENDING, selects the response, how much of it is sent, and
// whether the connection is closed or reset. /healthy is answered in full.
type cutServer struct{ reached atomic.Int64 }

const cutBody = "the whole body of the response"

// cutResponses holds the responses by framing.
var cutResponses = map[string]string{
	"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-First: 1\r\nContent-Length: %d\r\nX-Last: 2\r\n\r\n%s", len(cutBody), cutBody),
	"chunked": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Last: 2\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 10, cutBody[:10], len(cutBody)-10, cutBody[10:]),
	"none":    "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Last: 2\r\n\r\n" + cutBody,
	"early":   fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(cutBody), cutBody),
}

func (s *cutServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		parts := strings.Split(strings.Trim(req.URL.Path, "/"), "/")
		response := cutResponses[parts[0]]
		if response == "" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		s.reached.Add(1)
		size, _ := strconv.Atoi(parts[1])
		_, _ = io.WriteString(conn, response[:size])
		if parts[2] == "reset" {
			time.Sleep(2 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// looksComplete reports whether a caller takes what it reads on a connection for a complete
// successful response, and its body.
func looksComplete(n *nodeProcess, path string) (complete bool, body string, err error) {
	conn, err := net.Dial("tcp", n.callers)
	if err != nil {
		return false, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: pay.example\r\nContent-Length: 0\r\n\r\n", path); err != nil {
		return false, "", err
	}
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			// The connection ends without a response, as after an interim one.
			return false, "", nil
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		text, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode < http.StatusMultipleChoices, string(text), nil
	}
}

// Guards against a response that a server breaks off at any byte of its head or body, and that looks
// complete to the caller: a success with an empty or short body.
func TestResponseCutAtAnyByteNeverLooksComplete(t *testing.T) {
	c := newCluster(t, 1).start()
	front, local := c.addNode(""), c.addNode("")
	c.submit(`{"institution": "trial", "services": {"pay": {"hosts": ["pay.example"], "slots": 16, "timeout": "10s"}}}`)
	server := &cutServer{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	announcement := fmt.Sprintf(`{"service": "pay", "address": %q, "slots": 16}`, l.Addr())
	eventually(t, "the node accepts the server", func() bool { return local.announceServer(announcement) })
	front.waitServing(t, "pay")
	requests := 0
	for framing, response := range cutResponses {
		for _, ending := range []string{"close", "reset"} {
			for _, n := range []*nodeProcess{front, local} {
				before := server.reached.Load()
				limit := make(chan struct{}, 8)
				var wait sync.WaitGroup
				headEnd := strings.LastIndex(response[:len(response)-len(cutBody)+10], "\r\n\r\n") + len("\r\n\r\n")
				for size := range len(response) {
					limit <- struct{}{}
					requests++
					wait.Go(func() {
						defer func() { <-limit }()
						path := fmt.Sprintf("/%s/%d/%s", framing, size, ending)
						complete, body, err := looksComplete(n, path)
						assert.Check(t, err)
						// A body without a length ends with its connection.
						allowed := framing == "none" && ending == "close" && size >= headEnd
						assert.Check(t, allowed || !complete, "%s through %s: a complete response with the body %q", path, n.host, body)
					})
				}
				wait.Wait()
				reached := server.reached.Load() - before
				assert.Check(t, reached > int64(len(response)/2), "%s, %s through %s: only %d of %d requests reached the server", framing, ending, n.host, reached, len(response))
			}
		}
	}
	t.Logf("%d of %d requests reached the server", server.reached.Load(), requests)
}
