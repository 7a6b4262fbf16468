package endpoint

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/gate"
	"cactuspath/core/quarantine"
	"cactuspath/internal/hop"
	"cactuspath/internal/logs"
)

// Records which requests are running on the backend server when it crashes, since one of them
// may be the cause. The cause is found by comparing the requests that were running when other
// servers crashed, so every gate reports those of its own server.

const (
	// exitChecks is how many times a backend server is checked for a crash after an exchange
	// broke off, and exitCheckInterval the interval between checks. After a crash all
	// exchanges break off within a few milliseconds, but a busy host takes longer to detect
	// it for all of them.
	exitChecks        = 20
	exitCheckInterval = 20 * time.Millisecond
	// exitRefusals is the number of consecutive refused connections after which the server is
	// considered crashed. A single refusal is not enough, because a running server with too
	// many connections also refuses some.
	exitRefusals = 3
	// brokenRunTTL is how long a request whose exchange broke off counts as running at a
	// crash. The checks miss the crash of a server that vanished silently or restarted at
	// once; such a server announces its new process within this time.
	brokenRunTTL = 5 * time.Second
	// maxBrokenRuns bounds the number of remembered requests whose exchanges broke off.
	maxBrokenRuns = 128
)

// run is a request in progress on the backend server.
type run struct {
	attempt gate.AttemptID
	// requestID is the caller's ID of the request, or "".
	requestID string
	target    quarantine.Target
	content   quarantine.Content
	// stream is the streamed body of a request, whose content is unknown until enough of the
	// body was read; nil if the content was known from the start.
	stream    *hop.Body
	startedAt time.Time
	// brokenAt is when the exchange broke off; zero while it is in progress.
	brokenAt time.Time
}

// withContent returns a copy of the run, with its content if that is known by now.
func (r *run) withContent() run {
	s := *r
	if !s.content.Known() && s.stream != nil {
		if sum, known := s.stream.Sum(); known {
			s.content = quarantine.ContentOf(s.target, sum)
		}
	}
	return s
}

// runTracker tracks the requests that run on one process of the backend server, and
// those whose exchange broke off. It is safe for concurrent use.
type runTracker struct {
	mu      sync.Mutex
	running map[gate.Handle]*run
	broken  []run
	// exited is set once the process was found to have exited, at exitedAt, and its runs were
	// collected.
	exited   bool
	exitedAt time.Time
	// planned is set while the server drains: an exit is then expected and not a crash.
	planned bool
	// checking is set while a goroutine checks whether the server is up.
	checking bool
}

func newRunTracker() *runTracker { return &runTracker{running: map[gate.Handle]*run{}} }

func (t *runTracker) add(handle gate.Handle, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.startedAt = time.Now()
	t.running[handle] = r
}

// remove removes and returns a run whose exchange did not break off. Answered means that the
// server responded, which proves that it is up, whatever an earlier check found.
func (t *runTracker) remove(handle gate.Handle, answered bool) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.running[handle]
	delete(t.running, handle)
	t.exited = t.exited && !answered
	return r
}

// markBroken records that an exchange broke off. It returns true if the caller must
// check whether the server is up.
func (t *runTracker) markBroken(handle gate.Handle) (check bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.running[handle]
	delete(t.running, handle)
	if r == nil || t.exited && r.startedAt.Before(t.exitedAt) {
		return false
	}
	// The exchange began after the exit and had a connection, so the server has restarted.
	t.exited = false
	r.brokenAt = time.Now()
	t.broken = append(t.broken, *r)
	t.broken = t.broken[max(0, len(t.broken)-maxBrokenRuns):]
	check = !t.checking
	t.checking = true
	return check
}

// confirmExit decides whether a server that accepts no connections has exited, and returns
// the runs to report. An exit breaks off all exchanges, so a request that began before the
// first one broke off and is still running shows that the server has not exited.
func (t *runTracker) confirmExit() (runs []run, confirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.running {
		if len(t.broken) > 0 && r.startedAt.Before(t.broken[0].brokenAt) {
			return nil, false
		}
	}
	return t.collectRuns(), true
}

// runs reports whether a request whose ID matches is running.
func (t *runTracker) runs(match func(requestID string) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.running {
		if match(r.requestID) {
			return true
		}
	}
	return false
}

func (t *runTracker) checkDone() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checking = false
}

// reset prepares for a new process of the server and returns the runs to report for the
// previous one. Runs still in progress belong to the previous process and must not count as
// running when the new process exits.
func (t *runTracker) reset() (runs []run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs = t.collectRuns()
	clear(t.running)
	t.exited, t.planned = false, false
	return runs
}

// collectRuns returns the requests that were running when the process crashed. It returns
// none if the exit was planned, or if they were collected before. The caller must hold mu.
func (t *runTracker) collectRuns() []run {
	if t.exited {
		return nil
	}
	var list []run
	for _, r := range t.broken {
		if time.Since(r.brokenAt) < brokenRunTTL {
			list = append(list, r.withContent())
		}
	}
	for _, r := range t.running {
		list = append(list, r.withContent())
	}
	t.broken, t.exited, t.exitedAt = nil, true, time.Now()
	if t.planned {
		return nil
	}
	return list
}

func (t *runTracker) setPlanned(planned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.planned = planned
}

// Runs reports whether the backend server is running a request whose ID, as its caller gave it,
// matches. Match must not call the endpoint.
func (e *Endpoint) Runs(match func(requestID string) bool) bool { return e.tracker.runs(match) }

// exchangeBroke records an exchange that broke off, and checks in the background whether the
// server has crashed.
func (e *Endpoint) exchangeBroke(handle gate.Handle) {
	if e.tracker.markBroken(handle) {
		go e.checkExit()
	}
}

// checkExit checks whether the backend server has crashed. If the checks are inconclusive,
// the server's next announcement decides.
func (e *Endpoint) checkExit() {
	defer e.tracker.checkDone()
	refusals := 0
	for range exitChecks {
		pool := e.healthPool.Load()
		if pool == nil || pool.Reachable() {
			return
		}
		if refusals++; refusals >= exitRefusals {
			if runs, confirmed := e.tracker.confirmExit(); confirmed {
				e.reportExit(runs)
				return
			}
		}
		time.Sleep(exitCheckInterval)
	}
}

// reportExit reports to the other nodes which requests were running on the backend server
// when it crashed.
func (e *Endpoint) reportExit(runs []run) {
	if len(runs) == 0 {
		return
	}
	var contents []quarantine.Content
	var paths []quarantine.Key
	attempts := make([]string, 0, len(runs))
	for _, r := range runs {
		attempts = append(attempts, hop.FormatID(r.attempt)+"="+r.content.Exact.String()+"/"+r.content.Alike.String())
		if r.content.Known() {
			contents = append(contents, r.content)
		}
		if r.stream != nil {
			paths = append(paths, quarantine.PathOf(r.target))
		}
	}
	klog.InfoS("Backend server ended", "host", e.options.Host, "running", len(runs), "attempts", attempts)
	e.options.Quarantine.Ended(contents, paths)
}

// runCompleted records a run whose response was complete.
func (e *Endpoint) runCompleted(handle gate.Handle) {
	if r := e.tracker.remove(handle, true); r != nil {
		e.options.Quarantine.Completed(r.withContent().content)
	}
}

// quarantinedFor returns for how long a request that is about to run is still quarantined, or
// 0 if it is not. It is checked again at this point because the quarantine may have begun
// while the request waited. If a server crashed while it ran a request with the same path and
// a streamed body, the beginning of the body is read first, to identify the content.
func (e *Endpoint) quarantinedFor(r *run, out *hop.Outgoing) time.Duration {
	if !r.content.Known() && e.options.Quarantine.Suspected(quarantine.PathOf(r.target)) {
		// Later reads of a body that fails here fail as well.
		_ = out.Stream.ReadAhead(quarantine.PrefixBytes+1, out.Deadline)
		*r = r.withContent()
	}
	return e.options.Quarantine.QuarantinedFor(r.content)
}

// refuseQuarantined refuses a quarantined request. All other servers would refuse it as
// well, so it must not be retried elsewhere.
func (e *Endpoint) refuseQuarantined(c quarantine.Content, out *hop.Outgoing, reply hop.Reply, left time.Duration) hop.Reply {
	e.options.Quarantine.Refused()
	logs.Decision(true, "Request kept away", "request", out.ID, "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "content", c.Exact, "alike", c.Alike, "for", left)
	reply.Verdict, reply.Reason, reply.RetryAfter, reply.SiblingsFull = hop.Refused, gate.Quarantined, left, true
	return reply
}

// newRun returns the record of a request that is about to run. The content of a request with
// a streamed body is known only once the body is read.
func (e *Endpoint) newRun(req hop.Request, out *hop.Outgoing) *run {
	r := &run{attempt: req.ID, requestID: out.ID, content: req.Content}
	if out.Stream != nil && !r.content.Known() {
		r.target, r.stream = e.quarantineTarget(out), out.Stream
		out.Stream.EnableDigest()
	}
	return r
}

// quarantineTarget returns the properties that, together with the body, identify a request's
// content.
func (e *Endpoint) quarantineTarget(out *hop.Outgoing) quarantine.Target {
	target := quarantine.Target{Method: out.Method, Host: out.Host, URI: out.URI}
	if field := e.options.Dialect.CallerService; field != "" {
		target.Caller = out.Header.Get(field)
	}
	if out.Length > quarantine.PrefixBytes {
		target.Length = out.Length
	}
	return target
}
