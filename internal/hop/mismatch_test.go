package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedServer sends the given responses in order, one per request, on any number of
// connections.
func scriptedServer(t *testing.T, responses ...string) (address string, connections *int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	count := 0
	texts := make(chan string, len(responses))
	for _, a := range responses {
		texts <- a
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			count++
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					fmt.Fprint(c, <-texts)
				}
			}()
		}
	}()
	return l.Addr().String(), &count
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(t *testing.T, p *Pool, id string) (string, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), &Outgoing{Method: "GET", URI: "/", Host: "a", Header: http.Header{}, Deadline: time.Now().Add(2 * time.Second), IDField: "X-Id", ID: id})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A second response to an earlier request arrives before the response to the next request.
// The caller must get its own response, and the connection must not be reused.
func TestResponseToAnotherRequestIsDiscarded(t *testing.T) {
	address, connections := scriptedServer(t, okResponse("old", "not yours")+okResponse("mine", "yours"), okResponse("next", "fresh"))
	p := newTestPool(t, address)
	body, err := get(t, p, "mine")
	assert.NilError(t, err)
	assert.Equal(t, body, "yours")
	body, err = get(t, p, "next")
	assert.NilError(t, err)
	assert.Equal(t, body, "fresh")
	assert.Equal(t, *connections, 2)
}

func TestTooManyMismatchedResponsesFail(t *testing.T) {
	address, _ := scriptedServer(t, strings.Repeat(okResponse("old", "x"), maxMismatched+2))
	_, err := get(t, newTestPool(t, address), "mine")
	assert.ErrorContains(t, err, "other requests")
}

// Bytes after a complete response belong to no request: the connection must not be reused.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	address, connections := scriptedServer(t, okResponse("a", "one")+"spare bytes", okResponse("b", "two"))
	p := newTestPool(t, address)
	_, err := get(t, p, "a")
	assert.NilError(t, err)
	body, err := get(t, p, "b")
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
	assert.Equal(t, *connections, 2)
}

// A response without a length ends when its connection is closed. If the connection is reset
// instead, the response must not be taken for complete.
func TestResponseWithoutLengthNeedsCleanClose(t *testing.T) {
	for _, reset := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
			time.Sleep(50 * time.Millisecond)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}()
		body, err := get(t, newTestPool(t, l.Addr().String()), "a")
		assert.Equal(t, err != nil, reset, "reset %v: %q %v", reset, body, err)
		_ = l.Close()
	}
}
