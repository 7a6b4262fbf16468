package endpoint

import (
	"context"
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
	// loadQueryInterval is how often the backend server's load is queried when no response
	// has reported it. A server's speed changes about every half second. At this interval,
	// requests are sent to a server that has just become slow for less than a third of that
	// time. The cost is ten small requests a second, which never leave the host.
	loadQueryInterval = 100 * time.Millisecond
	// idleLoadQueryInterval replaces loadQueryInterval at a server that gets less than
	// busyArrivals requests per second: each of them queries the load when it arrives.
	idleLoadQueryInterval = 250 * time.Millisecond
	busyArrivals          = 4
	// loadQueryTimeout bounds one load query, so that queries to a server that hangs do
	// not accumulate.
	loadQueryTimeout = 300 * time.Millisecond
	// silenceTimeout is how long a backend server may send nothing, neither responses to load
	// queries nor to requests, before it is considered down. A working server responds to
	// load queries at once, however busy it is, so two queries without a response are not a
	// coincidence.
	silenceTimeout = 800 * time.Millisecond
)

// SetHealthPath sets the path on which the backend server reports its load; empty for
// none. It is not called before the node has a configuration.
func (e *Endpoint) SetHealthPath(path string) {
	e.healthPath.Store(&path)
	e.setHealthPath.Do(func() { close(e.healthPathKnown) })
}

// healthPathTimeout is how long the first requests of an endpoint wait for its health path. A node
// that has just started has its configuration within an election of the control replicas.
const healthPathTimeout = time.Second

// awaitHealthPath waits until the health path is known, healthPathTimeout has passed since the start of
// the endpoint, or ctx ends.
func (e *Endpoint) awaitHealthPath(ctx context.Context) {
	select {
	case <-e.healthPathKnown:
		return
	default:
	}
	timer := time.NewTimer(healthPathTimeout - e.now())
	defer timer.Stop()
	select {
	case <-e.healthPathKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watchLoad queries the load until ctx ends, if the backend server reports it.
func (e *Endpoint) watchLoad(ctx context.Context) {
	if e.options.Dialect.Load == "" {
		return
	}
	timer := time.NewTimer(loadQueryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		interval := e.loadQueryPace()
		timer.Reset(interval)
		if e.evacuated.Load() && e.loadAge() < evacuatedQueryInterval {
			continue
		}
		if e.loadAge() >= interval || e.coldReportOverdue() {
			e.startLoadQuery()
		}
	}
}

// loadQueryPace returns the interval of load queries: a longer one for a server that gets few
// requests, unless it reports cold starts.
func (e *Endpoint) loadQueryPace() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if e.coldReportedAt.Load() > 0 || e.gate.ArrivalRate(now) >= busyArrivals || e.gate.Load(now).Waiting > 0 {
		return loadQueryInterval
	}
	return idleLoadQueryInterval
}

// coldQueryInterval is how often a backend server is queried that reports the remaining
// duration of its cold start, which only health responses contain. In this interval a busy
// server gets a dozen requests, half of what a cold server can run in a second.
const coldQueryInterval = 200 * time.Millisecond

// evacuatedQueryInterval is how often a backend server in an evacuated data centre is
// queried. It gets no requests, so the query only checks that it is up.
const evacuatedQueryInterval = time.Second

// coldReportOverdue reports whether a server that has reported the remaining duration of its
// cold start before has not done so for coldQueryInterval.
func (e *Endpoint) coldReportOverdue() bool {
	heard := e.coldReportedAt.Load()
	return heard > 0 && e.now()-time.Duration(heard) >= coldQueryInterval
}

// observeCold passes the remaining duration of the cold start, as reported in a health
// response, to the gate.
func (e *Endpoint) observeCold(h http.Header) {
	dialect := e.options.Dialect
	if dialect.Cold == "" || dialect.ParseCold == nil {
		return
	}
	left, ok := dialect.ParseCold(h.Get(dialect.Cold))
	if !ok {
		return
	}
	e.coldReportedAt.Store(int64(e.now()))
	e.runGate(func(now time.Duration) []gate.Event { return e.gate.ObserveCold(now, left) })
}

// loadAge returns the time since the backend server last reported its load.
func (e *Endpoint) loadAge() time.Duration { return e.now() - time.Duration(e.loadReportedAt.Load()) }

const (
	// maxLoadAge is how old the load report may be when a request arrives. If a server's
	// speed changes every half second, one request in 200 starts on a server that became slow
	// after its last report. With a limit of 100 ms it is one request in 40, and such a
	// request times out if it keeps the speed at which it starts. Responses report the load
	// as well, so that at most 50 queries a second are sent.
	maxLoadAge = 20 * time.Millisecond
	// maxLoadWait bounds how long a request waits for a load report. The report comes from
	// the same host, and a working server sends it at once, however busy it is.
	maxLoadWait = 25 * time.Millisecond
)

// refreshLoad queries the load before the gate decides on a request, unless the last report
// is younger than maxLoadAge. It does not wait for a server that did not respond to the last
// query in time, nor does it trouble one whose named limit is reached: the request will not
// run there.
//
// The first query of an endpoint is waited for until it ends. A node that has just started does not
// know yet whether the server is shutting down, and a delayed heartbeat may say that it is ready.
// Without a configuration it does not even know where to ask.
func (e *Endpoint) refreshLoad(ctx context.Context) {
	if e.options.Dialect.Load == "" || e.limitReached() {
		return
	}
	first := !e.firstQueryEnded.Load()
	if first {
		e.awaitHealthPath(ctx)
	}
	if !first && (e.loadOverdue.Load() || e.loadAge() < maxLoadAge) {
		return
	}
	done := e.startLoadQuery()
	if done == nil {
		return
	}
	wait := maxLoadWait
	if first {
		wait = loadQueryTimeout
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		e.loadOverdue.Store(true)
	case <-ctx.Done():
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout() || errors.Is(err, context.DeadlineExceeded)
}

// markResponsive records that the backend server sent a response.
func (e *Endpoint) markResponsive() { e.lastResponse.Store(int64(e.now())) }

// checkSilence marks the backend server as down if it has sent nothing for silenceTimeout.
// The callers of repeatable requests that are running on it get a hint to try another
// endpoint as well; the requests are not canceled, in case the server still responds.
func (e *Endpoint) checkSilence() {
	silence := e.now() - time.Duration(e.lastResponse.Load())
	if silence < silenceTimeout || e.down.Load() {
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

// startLoadQuery starts a load query unless one is in progress. The channel is closed
// when the query ends; it is nil if there is no server to query.
func (e *Endpoint) startLoadQuery() <-chan struct{} {
	path, pool := e.healthPath.Load(), e.healthPool.Load()
	if path == nil || *path == "" || pool == nil || e.down.Load() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loadQuery == nil {
		ended := make(chan struct{})
		e.loadQuery = ended
		go func() {
			e.queryLoad(pool, *path)
			e.firstQueryEnded.Store(true)
			e.mu.Lock()
			e.loadQuery = nil
			e.mu.Unlock()
			close(ended)
		}()
	}
	return e.loadQuery
}

// queryLoad sends one load query.
func (e *Endpoint) queryLoad(pool *hop.Pool, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), loadQueryTimeout)
	defer cancel()
	e.options.Counters.Probes.Add(1)
	resp, err := pool.Do(ctx, &hop.Outgoing{Method: http.MethodGet, URI: path, Host: pool.Address(), Header: http.Header{}, Deadline: time.Now().Add(loadQueryTimeout)})
	if err != nil {
		// Most errors need no action: requests detect a broken connection themselves, and
		// without a new report the last one only becomes older. A timeout may mean that the
		// server is silent; requests to such a server would wait until their deadlines. One that
		// sends without end does not answer either.
		if isTimeout(err) || errors.Is(err, hop.ErrHeadTooLong) {
			e.checkSilence()
		}
		return
	}
	e.loadOverdue.Store(false)
	e.markResponsive()
	e.observeLoad(resp.Header)
	e.observeCold(resp.Header)
	e.observeAnswer(pool, resp.Header, true)
	hop.Discard(resp)
}
