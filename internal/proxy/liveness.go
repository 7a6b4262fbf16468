package proxy

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/mechanism"
	"cactuspath/internal/hop"
)

// A host that froze, lost power or is cut off from the network sends nothing, and requests
// sent to it wait until their deadlines. A peer that sends nothing while responses are
// outstanding is therefore probed. If it does not respond to the probe, idempotent requests
// are hedged to other endpoints, and new requests avoid the host for a while.
const (
	// probeAfter is how long a peer may be silent while a response is outstanding before it
	// is probed: longer than most responses take, well below the usual deadlines.
	probeAfter = 300 * time.Millisecond
	// probeTimeout bounds a probe. The peer's process responds by itself, without its
	// backend server; a lost packet is retransmitted after about 200 ms.
	probeTimeout = 500 * time.Millisecond
	// silentAvoidDuration is how long new requests avoid a peer that did not respond to a
	// probe.
	silentAvoidDuration = time.Second
)

// pending holds the attempts that wait for responses from one peer. Safe for concurrent
// use.
type pending struct {
	mu        sync.Mutex
	lastHeard time.Time
	probing   bool
	attempts  map[*attempt]bool
}

func (h *Handler) pendingFor(address string) *pending {
	return getOrCreate(h, h.pending, address, func() *pending { return &pending{attempts: map[*attempt]bool{}} })
}

// watchAttempt has the attempt's peer probed if it stays silent. The returned function must
// be called when the attempt ends.
func (h *Handler) watchAttempt(a *attempt) (done func(answered bool)) {
	if h.options.ProbePeer == nil || h.isDisabled(mechanism.Silence) {
		return func(bool) {}
	}
	p := h.pendingFor(a.to.PeerAddress)
	p.mu.Lock()
	p.attempts[a] = true
	p.mu.Unlock()
	timer := time.AfterFunc(probeAfter, func() { h.probePeer(p, a) })
	return func(answered bool) {
		timer.Stop()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.attempts, a)
		if answered {
			p.lastHeard = time.Now()
		}
	}
}

// probePeer probes a silent peer. If the probe fails, it makes new requests avoid the host
// and hedges the attempts that wait for it.
func (h *Handler) probePeer(p *pending, a *attempt) {
	p.mu.Lock()
	if !p.attempts[a] || p.probing || time.Since(p.lastHeard) < probeAfter {
		p.mu.Unlock()
		return
	}
	p.probing = true
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	alive := h.options.ProbePeer(ctx, a.to.PeerAddress)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
	if alive {
		p.lastHeard = time.Now()
		return
	}
	// The peer may be well and its connections silent, for example behind a firewall that has
	// lost its state. A new connection is refused or times out before anything is sent on it.
	if pool := h.knownPeer(a.to.PeerAddress); pool != nil {
		pool.CloseIdle()
	}
	h.options.Counters.SilentPeers.Add(1)
	klog.InfoS("Peer silent", "host", a.to.Host, "peer", a.to.PeerAddress, "waiting", len(p.attempts))
	h.avoid(a.to.Host)
	for waiting := range p.attempts {
		if waiting.onHint != nil {
			waiting.onHint(hop.AnyHost)
		}
	}
}

// avoid makes new requests of all services avoid a host for silentAvoidDuration.
func (h *Handler) avoid(host string) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, s := range h.services {
		s.avoid(h.now()+silentAvoidDuration, host)
	}
}
