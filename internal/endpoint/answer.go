package endpoint

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// Applies what the backend server says of itself in the header of an answer: the limit to the
// requests that it accepts, and that it is shutting down.

// observeAnswer applies the header of an answer that was received from pool. Health is set
// for an answer to a health query.
func (e *Endpoint) observeAnswer(pool *hop.Pool, h http.Header, health bool) {
	if !e.isCurrent(pool) {
		// The answer comes from a server, or a process of it, that has been replaced since.
		return
	}
	e.observeLeaving(e.options.Dialect.ServerLeaving(h), health)
	if !e.isCurrent(pool) {
		e.clearLeaving()
		return
	}
	limit, named, ok := e.options.Dialect.ServerLimit(h)
	if !ok {
		e.options.Counters.LimitMalformed.Add(1)
		return
	}
	var changed bool
	e.runGate(func(now time.Duration) (events []gate.Event) {
		changed, events = e.gate.ObserveAnswer(now, gate.Answer{Health: health, LimitNamed: named, Limit: limit})
		return events
	})
	if !changed {
		return
	}
	e.options.Counters.LimitChanges.Add(1)
	if named {
		klog.InfoS("Backend server named its limit", "host", e.options.Host, "perSecond", limit, "health", health)
	} else {
		klog.InfoS("Backend server withdrew its limit", "host", e.options.Host, "health", health)
	}
}

// isCurrent reports whether a pool has connections to the present process of the server.
func (e *Endpoint) isCurrent(pool *hop.Pool) bool {
	return pool == e.backend.Load() || pool == e.healthPool.Load()
}

// observeLeaving starts a drain when an answer says that the server is shutting down. Only
// health queries can end it: they follow one another, whereas an answer to a request may have
// been on its way since before the server began to shut down.
func (e *Endpoint) observeLeaving(leaving, health bool) {
	switch {
	case leaving:
		if health {
			e.leavingInHealth.Store(true)
		}
		if e.leaving.Swap(true) {
			return
		}
	case !health || !e.leavingInHealth.Load() || !e.leaving.Swap(false):
		return
	}
	klog.InfoS("Backend server leaving", "host", e.options.Host, "leaving", leaving, "health", health)
	if leaving {
		e.SetDraining(true)
	}
	if e.options.LeavingChanged != nil {
		e.options.LeavingChanged()
	}
}

// clearLeaving forgets what the previous server, or process of it, said in its answers.
func (e *Endpoint) clearLeaving() {
	e.leaving.Store(false)
	e.leavingInHealth.Store(false)
}

// Leaving reports whether the backend server says in its answers that it is shutting down.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// limitReached reports whether a request that arrives now exceeds the server's named limit.
func (e *Endpoint) limitReached() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gate.LimitReached(e.now())
}

// NamedLimit returns the limit that the backend server names in its answers.
func (e *Endpoint) NamedLimit() gate.Limit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gate.NamedLimit()
}
