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

// What ran on the backend server when it ended. A request may be the cause; that is
// found out by what ran on other servers that ended, so that each gate has to know its
// part of it.

const (
	// endTries is how often a backend server that broke off an exchange is looked for, and
	// endPause the pause between. What ran on one that has ended breaks off within a few
	// milliseconds; on a busy host it takes longer until all of it is noticed.
	endTries = 20
	endPause = 20 * time.Millisecond
	// refusals in a row mean that it is gone. One that has too many connections turns some
	// away as well.
	refusals = 3
	// breakMemory is how long an exchange that broke off counts as running: by then a
	// server that vanished without a word, or was back at once, has announced its new start.
	breakMemory = 5 * time.Second
	// mostBroken bounds the exchanges that are remembered.
	mostBroken = 128
)

// run is one request that the backend server has.
type run struct {
	attempt gate.AttemptID
	target  quarantine.Target
	content quarantine.Content
	// stream is the body of a request whose content is not known before it was read.
	stream *hop.Body
	began  time.Time
	// brokeAt is when the exchange broke off; zero while it goes on.
	brokeAt time.Time
}

// settled is the run with its content, if that is known by now.
func (r *run) settled() run {
	s := *r
	if !s.content.Known() && s.stream != nil {
		if sum, known := s.stream.Sum(); known {
			s.content = quarantine.ContentOf(s.target, sum)
		}
	}
	return s
}

// witness keeps what runs on one start of the backend server, and what broke off.
// Safe for concurrent use.
type witness struct {
	mu      sync.Mutex
	running map[gate.Handle]*run
	broken  []run
	// over: this start has ended, at overAt, and was accounted for.
	over   bool
	overAt time.Time
	// planned: it is leaving, and its end is no wonder.
	planned bool
	// looking: somebody finds out whether the server is there.
	looking bool
}

func newWitness() *witness { return &witness{running: map[gate.Handle]*run{}} }

func (w *witness) begin(handle gate.Handle, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.began = time.Now()
	w.running[handle] = r
}

// end takes out a run that did not break off. One that was answered shows that the
// server is there, whatever was found before.
func (w *witness) end(handle gate.Handle, answered bool) *run {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[handle]
	delete(w.running, handle)
	w.over = w.over && !answered
	return r
}

// breakOff notes that an exchange broke off; true asks the caller to find out whether
// the server is there.
func (w *witness) breakOff(handle gate.Handle) (look bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[handle]
	delete(w.running, handle)
	if r == nil || w.over && r.began.Before(w.overAt) {
		return false
	}
	// The exchange had a connection, so that the server has started again since.
	w.over = false
	r.brokeAt = time.Now()
	w.broken = append(w.broken, *r)
	w.broken = w.broken[max(0, len(w.broken)-mostBroken):]
	look = !w.looking
	w.looking = true
	return look
}

// gone tells that the server accepts no connections. It has ended if nothing goes on
// there that began before something broke off.
func (w *witness) gone() (ended []run, sure bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		if len(w.broken) > 0 && r.began.Before(w.broken[0].brokeAt) {
			return nil, false
		}
	}
	return w.close(), true
}

func (w *witness) looked() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looking = false
}

// restarted tells that the server is another start than the one before. What still runs
// was on that one, and must not count as running when the new one ends.
func (w *witness) restarted() (ended []run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ended = w.close()
	clear(w.running)
	w.over, w.planned = false, false
	return ended
}

// close ends the account of this start, once; the caller holds the lock.
func (w *witness) close() []run {
	if w.over {
		return nil
	}
	var list []run
	for _, r := range w.broken {
		if time.Since(r.brokeAt) < breakMemory {
			list = append(list, r.settled())
		}
	}
	for _, r := range w.running {
		list = append(list, r.settled())
	}
	w.broken, w.over, w.overAt = nil, true, time.Now()
	if w.planned {
		return nil
	}
	return list
}

func (w *witness) setPlanned(planned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planned = planned
}

// broke takes in an exchange that broke off, and finds out whether the server is there.
func (e *Endpoint) broke(handle gate.Handle) {
	if e.witness.breakOff(handle) {
		go e.look()
	}
}

// look finds out whether the backend server has ended. If that cannot be told, its next
// announcement tells.
func (e *Endpoint) look() {
	defer e.witness.looked()
	refused := 0
	for range endTries {
		pool := e.questions.Load()
		if pool == nil || pool.Reachable() {
			return
		}
		if refused++; refused >= refusals {
			if ended, sure := e.witness.gone(); sure {
				e.account(ended)
				return
			}
		}
		time.Sleep(endPause)
	}
}

// account tells the other nodes what ran on a backend server that ended.
func (e *Endpoint) account(ended []run) {
	if len(ended) == 0 {
		return
	}
	var contents []quarantine.Content
	var paths []quarantine.Key
	told := make([]string, 0, len(ended))
	for _, r := range ended {
		told = append(told, hop.FormatID(r.attempt)+"="+r.content.Exact.String()+"/"+r.content.Alike.String())
		if r.content.Known() {
			contents = append(contents, r.content)
		}
		if r.stream != nil {
			paths = append(paths, quarantine.PathOf(r.target))
		}
	}
	klog.InfoS("Backend server ended", "host", e.options.Host, "running", len(ended), "attempts", told)
	e.options.Quarantine.Ended(contents, paths)
}

// completed takes in a run that was answered in whole.
func (e *Endpoint) completed(handle gate.Handle) {
	if r := e.witness.end(handle, true); r != nil {
		e.options.Quarantine.Completed(r.settled().content)
	}
}

// barred tells for how long a request that is about to run is kept away; 0 if it is not.
// It may have waited since it arrived. Where a server ended under a streamed body with
// its path, the beginning of the body is read first, since it tells the request apart.
func (e *Endpoint) barred(r *run, out *hop.Outgoing) time.Duration {
	if !r.content.Known() && e.options.Quarantine.Suspected(quarantine.PathOf(r.target)) {
		out.Stream.ReadAhead(quarantine.PrefixBytes+1, out.Deadline)
		*r = r.settled()
	}
	return e.options.Quarantine.Barred(r.content)
}

// keepAway refuses a request that is kept away. It is as unwelcome everywhere, so that
// it is not tried elsewhere.
func (e *Endpoint) keepAway(c quarantine.Content, out *hop.Outgoing, reply hop.Reply, left time.Duration) hop.Reply {
	e.options.Quarantine.Refused()
	logs.Decision(true, "Request kept away", "request", out.ID, "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "content", c.Exact, "alike", c.Alike, "for", left)
	reply.Verdict, reply.Reason, reply.RetryAfter, reply.Everywhere = hop.Refused, gate.Quarantined, left, true
	return reply
}

// runOf is what is remembered of a request while the backend server has it. A body
// that is streamed tells requests apart only as it passes.
func (e *Endpoint) runOf(req hop.Request, out *hop.Outgoing) *run {
	r := &run{attempt: req.ID, content: req.Content}
	if out.Stream != nil && !r.content.Known() {
		r.target, r.stream = e.target(out), out.Stream
		out.Stream.SumUp()
	}
	return r
}

// target is what a request asks for, as far as it is known without its body.
func (e *Endpoint) target(out *hop.Outgoing) quarantine.Target {
	t := quarantine.Target{Method: out.Method, Host: out.Host, URI: out.URI}
	if field := e.options.Dialect.CallerService; field != "" {
		t.Caller = out.Header.Get(field)
	}
	if out.Length > quarantine.PrefixBytes {
		t.Length = out.Length
	}
	return t
}
