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

// scripted is a server that answers each request with the next of the given
// texts, on any number of connections.
func scripted(t *testing.T, answers ...string) (address string, connections *int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	count := 0
	texts := make(chan string, len(answers))
	for _, a := range answers {
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

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func ask(t *testing.T, p *Pool, id string) (string, error) {
	t.Helper()
	resp, err := p.Do(context.Background(), &Outgoing{Method: "GET", URI: "/", Host: "a", Header: http.Header{}, Deadline: time.Now().Add(2 * time.Second), IDField: "X-Id", ID: id})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A second answer to an earlier request comes where the next one is expected.
// The caller must get its own answer, and the connection must not be used again.
func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	address, connections := scripted(t, answer("old", "not yours")+answer("mine", "yours"), answer("next", "fresh"))
	p := newTestPool(t, address)
	body, err := ask(t, p, "mine")
	assert.NilError(t, err)
	assert.Equal(t, body, "yours")
	body, err = ask(t, p, "next")
	assert.NilError(t, err)
	assert.Equal(t, body, "fresh")
	assert.Equal(t, *connections, 2)
}

func TestOnlyForeignAnswersEndAsALoss(t *testing.T) {
	address, _ := scripted(t, strings.Repeat(answer("old", "x"), maxForeign+2))
	_, err := ask(t, newTestPool(t, address), "mine")
	assert.ErrorContains(t, err, "other requests")
}

// Bytes behind a complete answer belong to no request: the connection that holds
// them is not used for the next one.
func TestConnectionWithSpareBytesIsNotReused(t *testing.T) {
	address, connections := scripted(t, answer("a", "one")+"spare bytes", answer("b", "two"))
	p := newTestPool(t, address)
	_, err := ask(t, p, "a")
	assert.NilError(t, err)
	body, err := ask(t, p, "b")
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
	assert.Equal(t, *connections, 2)
}

// An answer without a length ends with its connection. Reset on the way, it must
// not pass for whole.
func TestAnswerWithoutLengthIsWholeOnlyOnACleanEnd(t *testing.T) {
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
		body, err := ask(t, newTestPool(t, l.Addr().String()), "a")
		assert.Equal(t, err != nil, reset, "reset %v: %q %v", reset, body, err)
		_ = l.Close()
	}
}
