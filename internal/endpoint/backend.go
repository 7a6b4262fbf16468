package endpoint

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// SetBackend names the backend server's address.
func (e *Endpoint) SetBackend(address string) {
	for _, p := range []*atomic.Pointer[hop.Pool]{&e.backend, &e.questions} {
		if old := p.Swap(hop.NewPool(address, nil)); old != nil {
			old.Close()
		}
	}
	e.failures.Store(0)
	e.heard()
	e.setDown(false)
}

// SetRestarted tells that the backend server has started again at its address. What
// was sent to its earlier start is lost: those exchanges end now, since a server that
// vanished behind a cut would hold their slots until their deadlines.
func (e *Endpoint) SetRestarted(address string) {
	e.account(e.witness.restarted())
	e.SetBackend(address)
	next, end := context.WithCancel(context.Background())
	e.mu.Lock()
	endFormer := e.endLife
	e.life, e.endLife = next, end
	e.mu.Unlock()
	endFormer()
	e.with(func(now time.Duration) []gate.Event { return e.gate.ServerRestarted(now) })
}

// Life ends when the backend server is known to have started again.
func (e *Endpoint) Life() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// SetOtherServer tells that another backend server, or another start of it, has taken
// the place of the one before at this address. Requests are meant for the instance from
// now on; it is empty for a backend server that has no instances.
func (e *Endpoint) SetOtherServer(instance, address string) {
	e.account(e.witness.restarted())
	e.instance.Store(&instance)
	e.SetBackend(address)
}

// SetDraining starts or ends a drain.
func (e *Endpoint) SetDraining(draining bool) {
	e.witness.setPlanned(draining)
	e.with(func(now time.Duration) []gate.Event { return e.gate.SetDraining(now, draining) })
}

// SetEvacuated tells whether the operator has emptied this data centre.
func (e *Endpoint) SetEvacuated(evacuated bool) {
	e.evacuated.Store(evacuated)
	e.with(func(now time.Duration) []gate.Event { return e.gate.SetEvacuated(now, evacuated) })
}

// SetCold tells that the backend server is cold. Left is how long it says that it
// stays so, 0 if it does not say.
func (e *Endpoint) SetCold(left time.Duration) {
	e.with(func(now time.Duration) []gate.Event {
		e.gate.SetCold(now, left)
		return nil
	})
}

// AssumeStarts tells that the process before this one may have started requests just
// now.
func (e *Endpoint) AssumeStarts() {
	e.with(func(now time.Duration) []gate.Event {
		e.gate.AssumeStarts(now)
		return nil
	})
}

func (e *Endpoint) setDown(down bool) {
	if e.down.Swap(down) == down {
		return
	}
	klog.InfoS("Backend server changed reach", "host", e.options.Host, "down", down)
	e.with(func(now time.Duration) []gate.Event { return e.gate.SetDown(now, down) })
}

// probe tries a backend server that is down until it accepts a connection.
func (e *Endpoint) probe() {
	for {
		time.Sleep(probeInterval)
		e.mu.Lock()
		closed := e.closed
		e.mu.Unlock()
		if closed || !e.down.Load() {
			return
		}
		if e.answers() {
			e.failures.Store(0)
			e.heard()
			e.SetCold(0)
			e.setDown(false)
			return
		}
	}
}

// answers tells whether the backend server is back: it answers its health path,
// if it has one, whatever it says there, or accepts a connection.
func (e *Endpoint) answers() bool {
	pool, path := e.questions.Load(), e.health.Load()
	if path == nil || *path == "" {
		return pool.Reachable()
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	resp, err := pool.Do(ctx, &hop.Outgoing{Method: http.MethodGet, URI: *path, Host: pool.Address(), Header: http.Header{}, Deadline: time.Now().Add(loadTimeout)})
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return true
}
