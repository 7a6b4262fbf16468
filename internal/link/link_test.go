package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/hop"
)

const testBandwidth = 2e6

func testBody(size int) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i * 7 >> 3)
	}
	return body
}

// testServer relays responses with the body, paced on the link. A length below 0 is unknown.
func testServer(t *testing.T, l *Link, body []byte, length int64) *httptest.Server {
	server := httptest.NewServer(pacedHandler(l, body, length))
	t.Cleanup(server.Close)
	return server
}

func pacedHandler(l *Link, body []byte, length int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: length, Body: io.NopCloser(bytes.NewReader(body)), Trailer: http.Header{"X-Sum": {"7"}}}
		if length >= 0 {
			resp.Header.Set("Content-Length", strconv.FormatInt(length, 10))
			resp.Trailer = nil
		}
		paced := l.NewWriter(r.Context(), w, Response{Request: "r1", Length: length, Due: time.Now().Add(time.Second)})
		defer paced.End()
		if hop.Relay(paced, resp) != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// get returns a response and its body. It may be called from other goroutines than the test's.
func get(t *testing.T, url string) (*http.Response, []byte) {
	resp, err := (&http.Client{Timeout: 20 * time.Second}).Get(url)
	if !assert.Check(t, err) {
		return &http.Response{}, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.Check(t, err)
	return resp, body
}

func assertIdle(t *testing.T, l *Link) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); l.Active() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, l.Active(), 0)
	assert.Equal(t, l.Backlog(), time.Duration(0))
}

// Guards against a response that is not whole or out of order when it is paced, and against
// one that is faster than the link or waits without need.
func TestPacedResponseArrivesWholeAtTheLinksRate(t *testing.T) {
	body := testBody(400_000)
	expected := time.Duration(float64(len(body)) / (0.9 * testBandwidth) * float64(time.Second))
	for _, tc := range []struct {
		name   string
		length int64
	}{{"known length", int64(len(body))}, {"unknown length", -1}} {
		t.Run(tc.name, func(t *testing.T) {
			l := New(testBandwidth)
			begin := time.Now()
			resp, got := get(t, testServer(t, l, body, tc.length).URL)
			took := time.Since(begin)
			assert.Assert(t, bytes.Equal(got, body))
			assert.Assert(t, took > expected*8/10, "took %v, the link needs %v", took, expected)
			assert.Assert(t, took < expected*4, "took %v, the link needs %v", took, expected)
			if tc.length < 0 {
				assert.Equal(t, resp.Trailer.Get("X-Sum"), "7")
			}
			assert.Equal(t, l.Transfers.Value(), int64(1))
			assertIdle(t, l)
		})
	}
}

// Guards against a response over HTTP/2 that is not whole: a flushed chunk goes through the
// flow control of its stream, and a canceled stream must release its transfer.
func TestPacedResponseOverHTTP2(t *testing.T) {
	body := testBody(300_000)
	l := New(testBandwidth)
	server := httptest.NewUnstartedServer(pacedHandler(l, body, int64(len(body))))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	resp, err := server.Client().Get(server.URL)
	assert.NilError(t, err)
	assert.Equal(t, resp.ProtoMajor, 2)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, body))
	assert.NilError(t, resp.Body.Close())

	resp, err = server.Client().Get(server.URL)
	assert.NilError(t, err)
	// A stream that is canceled before its transfer has begun has none to release.
	for until := time.Now().Add(10 * time.Second); l.Transfers.Value() < 2 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, resp.Body.Close())
	assertIdle(t, l)
	assert.Equal(t, l.Transfers.Value(), int64(2))
}

// Guards against a response that needs no pacing and waits or counts as large.
func TestShortResponsesAreCountedWithoutAWait(t *testing.T) {
	l := New(testBandwidth)
	for _, length := range []int64{30_000, -1} {
		begin := time.Now()
		_, got := get(t, testServer(t, l, testBody(30_000), length).URL)
		assert.Equal(t, len(got), 30_000)
		assert.Assert(t, time.Since(begin) < 5*time.Second)
	}
	assert.Equal(t, l.Transfers.Value(), int64(0))
	// What was counted delays a large response.
	l.Count(200_000)
	w := l.NewWriter(context.Background(), httptest.NewRecorder(), Response{Length: 100_000})
	_, err := w.Write(testBody(20_000))
	assert.NilError(t, err)
	assert.Assert(t, w.waited > 50*time.Millisecond, "waited %v", w.waited)
	w.End()
	assertIdle(t, l)
}

// Guards against responses that are damaged or stuck while the mechanism is switched off and
// on again, and against a nil link that changes anything.
func TestDisabledLinkDeliversWithoutWaits(t *testing.T) {
	body := testBody(300_000)
	var none *Link
	none.Count(1000)
	none.SetDisabled(true)
	assert.Assert(t, !none.Enabled() && none.Backlog() == 0 && none.Active() == 0)
	_, got := get(t, testServer(t, none, body, int64(len(body))).URL)
	assert.Assert(t, bytes.Equal(got, body))
	assert.Assert(t, New(0) == nil)

	// The link needs 300 s for each of these responses.
	l := New(1000)
	server := testServer(t, l, body, int64(len(body)))
	var responses sync.WaitGroup
	for range 3 {
		responses.Go(func() {
			_, got := get(t, server.URL)
			assert.Check(t, bytes.Equal(got, body))
		})
	}
	for l.Active() < 3 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, l.Backlog() > time.Minute, "backlog %v", l.Backlog())
	l.SetDisabled(true)
	assert.Assert(t, !l.Enabled() && l.Backlog() == 0)
	responses.Wait()
	assertIdle(t, l)

	// A response that has begun before goes on when the mechanism is switched on again.
	l = New(testBandwidth)
	w := l.NewWriter(context.Background(), httptest.NewRecorder(), Response{Length: 100_000})
	for _, disabled := range []bool{false, true, false} {
		l.SetDisabled(disabled)
		_, err := w.Write(body[:20_000])
		assert.NilError(t, err)
	}
	assert.Equal(t, l.Active(), 1)
	w.End()
	w.End()
	assertIdle(t, l)
}

// Guards against a transfer whose request has ended and that still waits for the link, and
// against a truncated response that its receiver takes for a whole one.
func TestEndedRequestReleasesItsTransferAtOnce(t *testing.T) {
	l := New(1000)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	w := l.NewWriter(ctx, httptest.NewRecorder(), Response{Length: 100_000})
	go func() {
		_, err := w.Write(testBody(100_000))
		ended <- err
	}()
	for l.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	select {
	case err := <-ended:
		var truncated *hop.TruncatedResponseError
		assert.Assert(t, errors.As(err, &truncated) && errors.Is(err, context.Canceled), "error: %v", err)
	case <-time.After(5 * time.Second):
		t.Fatal("the write goes on")
	}
	assertIdle(t, l)
	_, err := w.Write([]byte("more"))
	assert.ErrorIs(t, err, context.Canceled)
	assertIdle(t, l)
	w.End()

	// The transfer of a caller that disconnects ends too, also one of unknown length.
	resp, err := http.Get(testServer(t, l, testBody(100_000), -1).URL)
	assert.NilError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 30_000))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assertIdle(t, l)
}

// Guards against a source that breaks off in the middle of a paced response: the transfer must
// end, and the response must not look complete.
func TestBrokenSourceEndsTheTransfer(t *testing.T) {
	l := New(testBandwidth)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		source := io.MultiReader(bytes.NewReader(testBody(100_000)), iotest.ErrReader(io.ErrUnexpectedEOF))
		paced := l.NewWriter(r.Context(), w, Response{Length: -1})
		defer paced.End()
		if hop.Relay(paced, &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(source)}) != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	resp, err := http.Get(server.URL)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "a truncated response looks complete")
	assertIdle(t, l)
}

// Guards against a receiver that stops reading and holds up the other large responses.
func TestReceiverThatDoesNotReadDelaysNoOther(t *testing.T) {
	const stuckBytes = 64 << 20
	l := New(500e6)
	stuck := testServer(t, l, testBody(stuckBytes), stuckBytes)
	conn, err := net.Dial("tcp", stuck.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	// The stuck response stops once the buffers of its connection are full.
	for before := int64(-1); ; time.Sleep(100 * time.Millisecond) {
		l.mu.Lock()
		waiting := len(l.waiting)
		l.mu.Unlock()
		if now := int64(l.Backlog()); waiting == 0 && l.Active() == 1 && now == before {
			break
		} else {
			before = now
		}
	}
	body := testBody(200_000)
	other := testServer(t, l, body, int64(len(body)))
	begin := time.Now()
	_, got := get(t, other.URL)
	assert.Assert(t, bytes.Equal(got, body))
	assert.Assert(t, time.Since(begin) < 5*time.Second)
	assert.Equal(t, l.Active(), 1)
	_ = conn.Close()
	assertIdle(t, l)
}

// Guards against wake-ups that get lost, and against data races, when responses to nodes and
// to callers of both kinds of length begin, end and are canceled at the same time.
func TestManyResponsesAtOnce(t *testing.T) {
	l := New(20e6)
	body := testBody(120_000)
	known, unknown := testServer(t, l, body, int64(len(body))), testServer(t, l, body, -1)
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			for j := range 4 {
				url := known.URL
				if (i+j)%2 == 0 {
					url = unknown.URL
				}
				l.Count(5000)
				if i%4 == 3 {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
					request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
					assert.Check(t, err)
					if resp, err := http.DefaultClient.Do(request); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
					cancel()
					continue
				}
				_, got := get(t, url)
				assert.Check(t, bytes.Equal(got, body))
			}
		})
	}
	clients.Wait()
	assertIdle(t, l)
}

// modelWire is a link that sends what it gets in order, as a model without real bytes.
type modelWire struct {
	mu     sync.Mutex
	freeAt time.Time
}

// send returns how long the bytes wait before they are sent.
func (m *modelWire) send(bytes int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.freeAt.Before(now) {
		m.freeAt = now
	}
	waits := m.freeAt.Sub(now)
	m.freeAt = m.freeAt.Add(time.Duration(float64(bytes) / modelBandwidth * float64(time.Second)))
	return waits
}

const modelBandwidth = 11e6 / 8

// wireWriter writes a response to a model of a link.
type wireWriter struct {
	*httptest.ResponseRecorder
	wire *modelWire
}

func (w wireWriter) Write(p []byte) (int, error) {
	w.wire.send(len(p))
	return len(p), nil
}

// medianWait sends large responses to nodes and to callers for half a second, each kind paced
// by its link, and returns the median wait of short responses to callers.
func medianWait(t *testing.T, toNodes, toCallers *Link) time.Duration {
	wire := &modelWire{}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	var senders sync.WaitGroup
	for _, l := range []*Link{toNodes, toCallers, toNodes, toCallers} {
		senders.Go(func() {
			for ctx.Err() == nil {
				w := l.NewWriter(ctx, wireWriter{httptest.NewRecorder(), wire}, Response{Length: 90_000})
				_, _ = w.Write(testBody(90_000))
				w.End()
			}
		})
	}
	var waits []time.Duration
	for ctx.Err() == nil {
		toCallers.Count(5000)
		waits = append(waits, wire.send(5000))
		time.Sleep(25 * time.Millisecond)
	}
	senders.Wait()
	slices.Sort(waits)
	return waits[len(waits)/2]
}

// Guards against a queue on hosts that send downloads to other nodes and also relay downloads
// to their own callers: each use alone leaves the link free, both together do not.
func TestBothUsesOfTheLinkShareOneScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		separate := medianWait(t, New(modelBandwidth), New(modelBandwidth))
		l := New(modelBandwidth)
		shared := medianWait(t, l, l)
		t.Logf("short responses wait %v at p50, with a scheduler for each use %v", shared, separate)
		assert.Assert(t, separate > 100*time.Millisecond, "the scenario does not fill the link: %v", separate)
		assert.Assert(t, shared < 30*time.Millisecond, "p50 of the wait is %v", shared)
		assertIdle(t, l)
	})
}

// BenchmarkChunk measures the processor time of a chunk, on a link that is never the limit.
//
//	go test ./internal/link -run '^$' -bench Chunk
func BenchmarkChunk(b *testing.B) {
	l := New(1e15)
	w := l.NewWriter(context.Background(), wireWriter{httptest.NewRecorder(), &modelWire{}}, Response{Length: 1 << 50})
	defer w.End()
	chunk := make([]byte, 8<<10)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = w.Write(chunk)
	}
}
