package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runs is what the backend servers saw, by request id.
type runs struct {
	mu    sync.Mutex
	count map[string]int
	// afterDrain are requests that reached a server which had been told that its
	// drain holds.
	afterDrain []string
}

// backend is a backend server in this process, announced to the node beside it.
type backend struct {
	address string
	admin   string
	seen    *runs

	mu       sync.Mutex
	draining bool
	drained  time.Time
}

const (
	service = "shop"
	// drainSlack is how long after the drain's acknowledgement a request may still
	// arrive: it was on its way over loopback.
	drainSlack = 100 * time.Millisecond
	renewEvery = 300 * time.Millisecond
)

func startBackend(t *testing.T, admin string, seen *runs) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &backend{address: l.Addr().String(), admin: admin, seen: seen}
	server := &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	go b.announce(ctx)
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	return b
}

// serve answers with the request's id, which its path ends in.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	b.mu.Lock()
	late := !b.drained.IsZero() && time.Since(b.drained) > drainSlack
	b.mu.Unlock()
	b.seen.mu.Lock()
	b.seen.count[id]++
	if late {
		b.seen.afterDrain = append(b.seen.afterDrain, id)
	}
	b.seen.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	fmt.Fprint(w, strings.Repeat(id+"\n", bodyLines))
}

// bodyLines makes an answer long enough to be cut on its way.
const bodyLines = 200

func (b *backend) announce(ctx context.Context) {
	for ctx.Err() == nil {
		b.mu.Lock()
		draining := b.draining
		b.mu.Unlock()
		if b.put(draining) && draining {
			b.mu.Lock()
			if b.draining && b.drained.IsZero() {
				b.drained = time.Now()
			}
			b.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(renewEvery):
		}
	}
}

func (b *backend) put(draining bool) bool {
	// A node that was paused takes in an announcement that was given up long ago
	// beside the one that came after it; the sequence tells which is which.
	body, err := json.Marshal(map[string]any{"service": service, "address": b.address, "draining": draining, "sequence": time.Now().UnixNano()})
	if err != nil {
		return false
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+b.admin+"/v1/server", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// drain tells the node that this server leaves, or that it stays after all.
func (b *backend) drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining, b.drained = on, time.Time{}
}
