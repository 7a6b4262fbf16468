package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactuspath/internal/resources"
)

// startLimited serves the handler with the given resources and returns the address.
func startLimited(t *testing.T, r *resources.Resources, handler http.HandlerFunc) string {
	t.Helper()
	s := New(handler, r)
	s.SetLimits(Limits{MaxHeaderBytes: 1 << 20})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// Guards against bytes that are lost or read twice when a large head needs a larger buffer: what was
// sent behind it is served as it was sent.
func TestRequestsBehindALargeHeadAreServed(t *testing.T) {
	address := startLimited(t, resources.New(64, 4096), func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %d %s", r.URL.Path, len(r.Header["X"]), body)
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	var sent, want strings.Builder
	for i, lines := range []int{0, 9000, 1, 5000, 0} {
		fmt.Fprintf(&sent, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n%s\r\nab%02d", i, strings.Repeat("X: y\r\n", lines), i)
		fmt.Fprintf(&want, "/%d %d ab%02d\n", i, lines, i)
	}
	go func() { _, _ = io.WriteString(conn, sent.String()) }()
	var got strings.Builder
	for reader := bufio.NewReader(conn); strings.Count(got.String(), "\n") < 5; {
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		fmt.Fprintf(&got, "%s\n", text)
	}
	assert.Equal(t, got.String(), want.String())
}

// Guards against a request that is smuggled past the listener: a line of blanks ends a head for some
// programs, and not for others.
func TestLineOfBlanksIsRefused(t *testing.T) {
	address := startLimited(t, resources.New(64, 4096), func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) })
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\n \r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	all, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(all), "HTTP/1.1 400 "), "%q", all)
	assert.Equal(t, strings.Count(string(all), "HTTP/1.1"), 1)
}

// Guards against a caller that is refused although it alone needs the memory of its host, and against a
// refusal that does not say that the request was not run.
func TestRequestThatNeedsTooMuchMemoryIsRefused(t *testing.T) {
	address := startLimited(t, resources.New(64, 4096), func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, len(r.Header)) })
	for _, c := range []struct{ lines, status int }{{15_000, http.StatusOK}, {100_000, http.StatusServiceUnavailable}} {
		t.Run(fmt.Sprint(c.lines), func(t *testing.T) {
			s := strings.Builder{}
			for i := range c.lines {
				fmt.Fprintf(&s, "%x:\r\n", i)
			}
			resp, err := requestWithFields(t, address, s.String())
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, resp.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
		})
	}
}

// Guards against callers that get no place because others hold theirs: connections that do not read
// their responses are closed for a request that needs memory.
func TestStalledConnectionIsClosedForAnotherRequest(t *testing.T) {
	chunk := make([]byte, 32<<10)
	limited := resources.New(64, 512)
	address := startLimited(t, limited, func(w http.ResponseWriter, r *http.Request) {
		for r.URL.Path == "/endless" {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	_, limit := limited.RequestsInProgress()
	for held := int64(1); held < limit; held++ {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if used, _ := limited.RequestsInProgress(); used < held {
				return poll.Continue("%d requests are in progress", used)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := requestWithFields(t, address, "")
		if err != nil || resp.StatusCode != http.StatusOK {
			return poll.Continue("not served")
		}
		return poll.Success()
	}, poll.WithTimeout(10*stallTimeout))
}

// requestWithFields sends a request on a connection of its own and returns the response.
func requestWithFields(t *testing.T, address, fields string) (*http.Response, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n") }()
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// Guards against memory and places that are taken and not returned, until no request is served any more.
func TestResourcesAreReturned(t *testing.T) {
	limited := resources.New(64, 1024)
	address := startLimited(t, limited, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/panic":
			panic(http.ErrAbortHandler)
		case "/large":
			_, _ = w.Write(make([]byte, 300<<10))
		}
		fmt.Fprint(w, "ok")
	})
	large := strings.Repeat("X: y\r\n", 5000)
	for range 20 {
		for _, sent := range []string{
			"", "G", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x05\x01\x05\x00\x00\x00\x01\x82\x86\x84\x01\x00",
			"GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n" + large, "GET / HTTP/1.1\r\nHost: a\r\n" + large + "\r\n",
			strings.Repeat("GET /large HTTP/1.1\r\nHost: a\r\n\r\n", 20), "GET /panic HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nabc",
			"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
			"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", strings.Repeat("x", 2<<20),
		} {
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			go func() {
				_, _ = io.WriteString(conn, sent)
				_, _ = conn.Read(make([]byte, 16))
				_ = conn.Close()
			}()
			t.Cleanup(func() { _ = conn.Close() })
			if sent == "" || sent == "G" || strings.HasSuffix(sent, "abc") || strings.HasSuffix(sent, large) {
				_ = conn.Close()
			}
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		used, _ := limited.MemoryUsed()
		requests, _ := limited.RequestsInProgress()
		if used != 0 || requests != 0 {
			return poll.Continue("%d bytes and %d requests are taken", used, requests)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}
