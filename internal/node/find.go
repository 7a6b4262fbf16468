package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/internal/hop"
)

const (
	// findInterval is how often a node that has just started asks for its backend
	// server, findFor for how long: after that an announcement must have come.
	findInterval = 50 * time.Millisecond
	findFor      = 3 * time.Second
	findTimeout  = 300 * time.Millisecond
)

// findServer asks the backend server who it is, when the settings name its
// address. A node that was restarted alone would otherwise refuse work until the
// next announcement, a second or two later.
func (n *Node) findServer(ctx context.Context) {
	d := n.options.Dialect
	if n.options.Backend == "" || n.options.Service == "" || d == nil || d.Instance == "" {
		return
	}
	pool := hop.NewPool(n.options.Backend, nil)
	defer pool.Close()
	for until := time.Now().Add(findFor); time.Now().Before(until) && ctx.Err() == nil; {
		if n.currentEndpoint() != nil {
			return
		}
		if a, ok := n.askServer(ctx, pool); ok {
			klog.InfoS("Backend server found", "host", n.options.Host, "instance", a.Instance, "slots", a.Slots)
			if err := n.announceFound(a); err != nil {
				klog.ErrorS(err, "Backend server found, but not taken in", "host", n.options.Host)
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(findInterval):
		}
	}
}

// announceFound takes in what was found, unless the server announced itself
// meanwhile: that is newer, and may say that it is leaving.
func (n *Node) announceFound(a Announcement) error {
	if n.currentEndpoint() != nil {
		return nil
	}
	return n.announce(a)
}

// askServer asks by the service's health path. A server that is leaving or
// unwell does not answer 200 there and is left to announce itself.
func (n *Node) askServer(ctx context.Context, pool *hop.Pool) (Announcement, bool) {
	n.mu.Lock()
	path := n.records.Service(n.options.Service).GetSpec().GetHealthPath()
	n.mu.Unlock()
	if path == "" {
		return Announcement{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	resp, err := pool.Do(ctx, &hop.Outgoing{Method: http.MethodGet, URI: path, Host: n.options.Backend, Header: http.Header{}, Deadline: time.Now().Add(findTimeout)})
	if err != nil {
		return Announcement{}, false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	d := n.options.Dialect
	instance := resp.Header.Get(d.Instance)
	if resp.StatusCode != http.StatusOK || instance == "" {
		return Announcement{}, false
	}
	a := Announcement{Service: n.options.Service, Address: n.options.Backend, Instance: instance}
	if d.ParseLoad != nil {
		if load, ok := d.ParseLoad(resp.Header.Get(d.Load)); ok {
			a.Slots = uint32(load.Slots)
		}
	}
	if d.ParseCold != nil {
		if left, ok := d.ParseCold(resp.Header.Get(d.Cold)); ok && left > 0 {
			a.Cold, a.ColdFor = true, left
		}
	}
	return a, true
}
