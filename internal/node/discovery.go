package node

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/internal/hop"
)

const (
	// A node that has just started queries its backend server every discoveryInterval,
	// for at most discoveryPeriod: a running server announces itself within that time.
	discoveryInterval = 50 * time.Millisecond
	discoveryPeriod   = 3 * time.Second
	discoveryTimeout  = 300 * time.Millisecond
)

// discoverServer queries the backend server for its identity, if the settings contain
// its address and service and the dialect has a header field for the instance. Without
// this, a node that restarts while its backend server keeps running would refuse
// requests until the next announcement, one or two seconds later.
func (n *Node) discoverServer(ctx context.Context) {
	d := n.options.Dialect
	if n.options.Backend == "" || n.options.Service == "" || d == nil || d.Instance == "" {
		return
	}
	pool := hop.NewPool(n.options.Backend, nil)
	defer pool.Close()
	for deadline := time.Now().Add(discoveryPeriod); time.Now().Before(deadline) && ctx.Err() == nil; {
		if n.currentEndpoint() != nil {
			return
		}
		if a, ok := n.queryServer(ctx, pool); ok {
			klog.InfoS("Backend server found", "host", n.options.Host, "instance", a.Instance, "slots", a.Slots)
			if err := n.announceDiscovered(a); err != nil {
				klog.ErrorS(err, "Failed to announce the discovered backend server", "host", n.options.Host)
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(discoveryInterval):
		}
	}
}

// announceDiscovered registers the discovered server unless the server has announced
// itself in the meantime: its own announcement is newer and may say that it is
// draining.
func (n *Node) announceDiscovered(a Announcement) error {
	if n.currentEndpoint() != nil {
		return nil
	}
	return n.announce(a)
}

// queryServer sends a request to the service's health path and reads the server's
// identity from the response. It returns false if the response is not 200, as from a
// server that is draining or unhealthy; such a server has to announce itself.
func (n *Node) queryServer(ctx context.Context, pool *hop.Pool) (Announcement, bool) {
	n.mu.Lock()
	path := n.records.Service(n.options.Service).GetSpec().GetHealthPath()
	n.mu.Unlock()
	if path == "" {
		return Announcement{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	resp, err := pool.Do(ctx, &hop.Outgoing{Method: http.MethodGet, URI: path, Host: n.options.Backend, Header: http.Header{}, Deadline: time.Now().Add(discoveryTimeout)})
	if err != nil {
		return Announcement{}, false
	}
	hop.Discard(resp)
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
