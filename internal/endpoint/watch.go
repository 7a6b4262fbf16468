package endpoint

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

const (
	// loadInterval is how often the backend server's load is asked for when no
	// answer has told it. Its speed changes by the half second; a third of that
	// bounds the time that requests go to a server which just turned slow, at ten
	// small requests a second that never leave the host.
	loadInterval = 100 * time.Millisecond
	// loadTimeout bounds one question, so that a server that hangs is not asked
	// by ever more of them.
	loadTimeout = 300 * time.Millisecond
	// silentAfter is how long a backend server may tell nothing, neither to these
	// questions nor to requests, before it counts as down. It answers them at once
	// however busy it is; two unanswered ones are no accident.
	silentAfter = 800 * time.Millisecond
)

// SetHealthPath names the path where the backend server tells its load; empty
// for none.
func (e *Endpoint) SetHealthPath(path string) { e.health.Store(&path) }

// watchLoad asks for the load until ctx ends, while the backend server is one
// that tells it.
func (e *Endpoint) watchLoad(ctx context.Context) {
	if e.options.Dialect.Load == "" {
		return
	}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if e.evacuated.Load() && e.figureAge() < evacuatedInterval {
			continue
		}
		if e.figureAge() >= loadInterval || e.coldUnknown() {
			e.askLoad()
		}
	}
}

// coldInterval is how often a backend server that tells for how long it stays cold is
// asked, since only answers about health tell it. A busy server gets a dozen requests
// within it, half of what a cold one bears in a second.
const coldInterval = 200 * time.Millisecond

// evacuatedInterval is how often a backend server is asked that gets no requests: only
// to see that it is there.
const evacuatedInterval = time.Second

// coldUnknown tells whether a server that is known to tell for how long it stays cold
// has not done so for a while.
func (e *Endpoint) coldUnknown() bool {
	heard := e.coldObserved.Load()
	return heard > 0 && e.now()-time.Duration(heard) >= coldInterval
}

// observeCold takes in what an answer about health says of coldness.
func (e *Endpoint) observeCold(h http.Header) {
	dialect := e.options.Dialect
	if dialect.Cold == "" || dialect.ParseCold == nil {
		return
	}
	left, ok := dialect.ParseCold(h.Get(dialect.Cold))
	if !ok {
		return
	}
	e.coldObserved.Store(int64(e.now()))
	e.with(func(now time.Duration) []gate.Event { return e.gate.ObserveCold(now, left) })
}

// figureAge is how long ago the backend server last told its load.
func (e *Endpoint) figureAge() time.Duration { return e.now() - time.Duration(e.observed.Load()) }

const (
	// freshFigure is how old the backend server's figure may be when a request comes.
	// A server whose speed changes by the half second turns slow within it for one
	// start in 200; at 100 ms, one start in 40 was made on a server that had just
	// turned slow, and reached its timeout where requests keep the pace of their start.
	// Answers tell the figure as well, so that this asks 50 times a second at most.
	freshFigure = 20 * time.Millisecond
	// mostAsking bounds how long a request waits for the figure. It comes from the
	// same host, at once however busy the server is.
	mostAsking = 25 * time.Millisecond
)

// refreshFigure has the backend server tell its load before a request is decided on,
// if the last figure is not fresh. A server that did not answer is not waited for.
func (e *Endpoint) refreshFigure(ctx context.Context) {
	if e.options.Dialect.Load == "" || e.mute.Load() || e.figureAge() < freshFigure {
		return
	}
	told := e.askLoad()
	if told == nil {
		return
	}
	timer := time.NewTimer(mostAsking)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
		e.mute.Store(true)
	case <-ctx.Done():
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout() || errors.Is(err, context.DeadlineExceeded)
}

// heard notes that the backend server said something.
func (e *Endpoint) heard() { e.lastHeard.Store(int64(e.now())) }

// noteSilence takes a backend server for down that has told nothing for long. The
// callers of what runs there and may be repeated are told to try another endpoint
// beside this one; the requests go on here, should the server still answer.
func (e *Endpoint) noteSilence() {
	silence := e.now() - time.Duration(e.lastHeard.Load())
	if silence < silentAfter || e.down.Load() {
		return
	}
	klog.InfoS("Backend server silent", "host", e.options.Host, "silence", silence)
	e.setDown(true)
	e.mu.Lock()
	hints := slices.Collect(maps.Values(e.hints))
	e.mu.Unlock()
	for _, hint := range hints {
		hint(hop.AnyHost)
	}
	go e.probe()
}

// askLoad asks the backend server for its load, by one question at a time. The
// channel is closed when the question has ended; it is nil if there is nobody to ask.
func (e *Endpoint) askLoad() <-chan struct{} {
	path, pool := e.health.Load(), e.questions.Load()
	if path == nil || *path == "" || pool == nil || e.down.Load() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.asking == nil {
		ended := make(chan struct{})
		e.asking = ended
		go func() {
			e.question(pool, *path)
			e.mu.Lock()
			e.asking = nil
			e.mu.Unlock()
			close(ended)
		}()
	}
	return e.asking
}

// question is one question for the load.
func (e *Endpoint) question(pool *hop.Pool, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	e.options.Counters.Probes.Add(1)
	resp, err := pool.Do(ctx, &hop.Outgoing{Method: http.MethodGet, URI: path, Host: pool.Address(), Header: http.Header{}, Deadline: time.Now().Add(loadTimeout)})
	if err != nil {
		// A broken connection is found out by requests, and a missing figure only
		// ages. Silence is different: requests would wait in it to their deadlines.
		if isTimeout(err) {
			e.noteSilence()
		}
		return
	}
	e.mute.Store(false)
	e.heard()
	e.observe(resp.Header)
	e.observeCold(resp.Header)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
