package endpoint

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/gate"
	"cactuspath/core/quarantine"
	"cactuspath/internal/hop"
)

// What ran on the backend server when it ended. A request may be the cause; that is
// found out by what ran on other servers that ended, so that each gate has to know its
// part of it.

const (
	// endTries is how often a backend server that broke off exchanges is looked for, and
	// endPause the pause between: what ran there breaks off within a few milliseconds.
	endTries = 3
	endPause = 20 * time.Millisecond
	// breakMemory is how long an exchange that broke off counts as running when the server
	// is found to have started again. A server that vanished without a word is noticed
	// by then.
	breakMemory = 5 * time.Second
	// mostBroken bounds the exchanges that are remembered.
	mostBroken = 128
)

// run is one request that the backend server has.
type run struct {
	attempt string
	target  quarantine.Target
	content quarantine.Content
	// stream is the body of a request whose content is not known before it was read.
	stream *hop.Body
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
	// over: this start has ended and was accounted for. planned: it is leaving, and its
	// end is no wonder.
	over, planned bool
	// looking: somebody finds out whether the server is there.
	looking bool
}

func newWitness() *witness { return &witness{running: map[gate.Handle]*run{}} }

func (w *witness) begin(handle gate.Handle, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[handle] = r
}

// end takes out a run that did not break off. One that was answered shows that the
// server has started, if it had ended.
func (w *witness) end(handle gate.Handle, answered bool) *run {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[handle]
	delete(w.running, handle)
	if answered {
		w.over = false
	}
	return r
}

// breakOff notes that an exchange broke off; true asks the caller to find out whether
// the server is there.
func (w *witness) breakOff(handle gate.Handle) (look bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[handle]
	delete(w.running, handle)
	if r == nil || w.over {
		return false
	}
	r.brokeAt = time.Now()
	if len(w.broken) < mostBroken {
		w.broken = append(w.broken, *r)
	}
	look = !w.looking
	w.looking = true
	return look
}

// looked tells what was found. The server is there if it accepts connections, or if
// runs go on that began before those that broke off.
func (w *witness) looked(there bool) (ended []run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looking = false
	if there || len(w.running) > 0 {
		w.broken = nil
		return nil
	}
	return w.close()
}

// restarted tells that the server is another start than the one before.
func (w *witness) restarted() (ended []run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.over {
		ended = w.close()
	}
	w.over, w.planned = false, false
	return ended
}

// close ends the account of this start; the caller holds the lock.
func (w *witness) close() []run {
	var list []run
	for _, r := range w.broken {
		if time.Since(r.brokeAt) < breakMemory {
			list = append(list, r.settled())
		}
	}
	for _, r := range w.running {
		list = append(list, r.settled())
	}
	w.broken, w.over = nil, true
	if w.planned {
		return nil
	}
	return list
}

func (w *witness) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running) > 0
}

func (w *witness) setPlanned(planned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planned = planned
}

// broke takes in an exchange that broke off, and finds out whether the server is there.
func (e *Endpoint) broke(handle gate.Handle) {
	if e.witness.breakOff(handle) {
		go func() { e.account(e.witness.looked(e.looksThere())) }()
	}
}

// looksThere tells whether the backend server still accepts connections, or goes on
// with requests. One that resets some connections since it has too many does both.
func (e *Endpoint) looksThere() bool {
	for range endTries {
		if pool := e.questions.Load(); pool == nil || pool.Reachable() {
			return true
		}
		time.Sleep(endPause)
	}
	return e.witness.busy()
}

// account tells what ran on a backend server that ended.
func (e *Endpoint) account(ended []run) {
	if len(ended) == 0 {
		return
	}
	contents := make([]string, 0, len(ended))
	for _, r := range ended {
		contents = append(contents, r.attempt+"="+r.content.Exact.String()+"/"+r.content.Alike.String())
	}
	klog.InfoS("Backend server ended", "host", e.options.Host, "running", len(ended), "attempts", contents)
}
