package endpoint

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// SetBackend sets the backend server's address, closes idle connections to the previous one
// and marks the server as up.
func (e *Endpoint) SetBackend(address string) {
	for _, p := range []*atomic.Pointer[hop.Pool]{&e.backend, &e.healthPool} {
		if old := p.Swap(hop.NewPool(address, nil)); old != nil {
			old.Close()
		}
	}
	e.dialFailures.Store(0)
	e.markResponsive()
	e.setDown(false)
}

// ServerRestarted records that the backend server restarted at its address. Requests sent to
// its previous process are lost, so their exchanges are canceled. Otherwise, connections to
// that process which stay open and silent after a network partition would occupy slots until
// the requests' deadlines.
func (e *Endpoint) ServerRestarted(address string) {
	e.reportExit(e.tracker.reset())
	e.SetBackend(address)
	next, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	cancelPrevious := e.cancelServerCtx
	e.serverCtx, e.cancelServerCtx = next, cancel
	e.mu.Unlock()
	cancelPrevious()
	e.clearLeaving()
	e.runGate(func(now time.Duration) []gate.Event { return e.gate.ServerRestarted(now) })
}

// ServerContext returns a context that is canceled when the backend server is known to
// have restarted.
func (e *Endpoint) ServerContext() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serverCtx
}

// ReplaceServer records that another backend server, or a new process of it, has
// replaced the previous one at this address. From now on requests are sent for the
// given instance, which is empty for a backend server without instances.
func (e *Endpoint) ReplaceServer(instance, address string) {
	e.reportExit(e.tracker.reset())
	e.instance.Store(&instance)
	e.SetBackend(address)
	e.clearLeaving()
	e.runGate(func(now time.Duration) []gate.Event { return e.gate.ServerReplaced(now) })
}

// SetDraining starts or ends a drain of the backend server. While the server drains, its exit
// is expected and is not recorded as a crash. A server that says in its answers that it is
// shutting down drains in any case.
func (e *Endpoint) SetDraining(draining bool) {
	e.runGate(func(now time.Duration) []gate.Event {
		draining := draining || e.leaving.Load()
		e.tracker.setPlanned(draining)
		return e.gate.SetDraining(now, draining)
	})
}

// SetEvacuated records whether the operator has evacuated this data centre.
func (e *Endpoint) SetEvacuated(evacuated bool) {
	e.evacuated.Store(evacuated)
	e.runGate(func(now time.Duration) []gate.Event { return e.gate.SetEvacuated(now, evacuated) })
}

// SetCold records that the backend server is in its cold start. Left is the remaining
// duration that the server reports, or 0 if it reports none.
func (e *Endpoint) SetCold(left time.Duration) {
	e.runGate(func(now time.Duration) []gate.Event {
		e.gate.SetCold(now, left)
		return nil
	})
}

// AssumeEarlierStarts makes the gate assume that another one started requests on the backend
// server just before this one took over.
func (e *Endpoint) AssumeEarlierStarts() {
	e.runGate(func(now time.Duration) []gate.Event {
		e.gate.AssumeEarlierStarts(now)
		return nil
	})
}

func (e *Endpoint) setDown(down bool) {
	if e.down.Swap(down) == down {
		return
	}
	klog.InfoS("Backend server changed reach", "host", e.options.Host, "down", down)
	e.runGate(func(now time.Duration) []gate.Event { return e.gate.SetDown(now, down) })
}

// probe polls a backend server that is down until it responds.
func (e *Endpoint) probe() {
	for {
		time.Sleep(probeInterval)
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		if closed || !e.down.Load() {
			return
		}
		if e.responds() {
			e.dialFailures.Store(0)
			e.markResponsive()
			e.SetCold(0)
			e.setDown(false)
			return
		}
	}
}

// responds reports whether the backend server is up, which means that it sends any response
// on its health path or, if it has no health path, accepts a connection.
func (e *Endpoint) responds() bool {
	pool, path := e.healthPool.Load(), e.healthPath.Load()
	if path == nil || *path == "" {
		return pool.Reachable()
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadQueryTimeout)
	defer cancel()
	resp, err := pool.Do(ctx, &hop.Outgoing{Method: http.MethodGet, URI: *path, Host: pool.Address(), Header: http.Header{}, Deadline: time.Now().Add(loadQueryTimeout)})
	if err != nil {
		return false
	}
	e.observeAnswer(pool, resp.Header, true)
	hop.Discard(resp)
	return true
}
