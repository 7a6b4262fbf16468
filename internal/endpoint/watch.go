package endpoint

import (
	"context"
	"io"
	"net/http"
	"time"

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
	loadTimeout = 500 * time.Millisecond
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
		path, pool := e.health.Load(), e.backend.Load()
		if path == nil || *path == "" || pool == nil || e.down.Load() {
			continue
		}
		if e.now()-time.Duration(e.observed.Load()) < loadInterval {
			continue
		}
		e.askLoad(ctx, pool, *path)
	}
}

func (e *Endpoint) askLoad(ctx context.Context, pool *hop.Pool, path string) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	e.options.Counters.Probes.Add(1)
	resp, err := pool.Do(ctx, &hop.Outgoing{Method: http.MethodGet, URI: path, Host: pool.Address(), Header: http.Header{}, Deadline: time.Now().Add(loadTimeout)})
	if err != nil {
		// Requests find out by themselves; a missing figure only ages.
		return
	}
	e.observe(resp.Header)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
