package proxy

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/mechanism"
	"cactuspath/internal/hop"
)

// A host that froze, lost its power or sits behind a cut sends nothing, and what
// was sent to it waits until its deadline. A peer from which nothing comes while
// it owes answers is asked for a sign of life; without one, requests that may be
// repeated are tried elsewhere beside it, and new ones keep away for a while.
const (
	// quietAfter is how long a peer may owe an answer without a byte from it before
	// it is asked: longer than most answers take, well below the usual deadlines.
	quietAfter = 300 * time.Millisecond
	// signTimeout bounds the question. It is answered by the peer's process alone;
	// a packet that is lost on its way comes again after some 200 ms.
	signTimeout = 500 * time.Millisecond
	// silentFor is how long new requests keep away from a peer that did not answer.
	silentFor = time.Second
)

// pending are the attempts that wait for answers of one peer. Safe for
// concurrent use.
type pending struct {
	mu       sync.Mutex
	heard    time.Time
	asking   bool
	attempts map[*attempt]bool
}

func (h *Handler) pendingAt(address string) *pending {
	return held(h, h.pending, address, func() *pending { return &pending{attempts: map[*attempt]bool{}} })
}

// watch has the peer asked when it stays quiet. The function it returns ends the
// watch.
func (h *Handler) watch(a *attempt) (done func(answered bool)) {
	if h.options.Alive == nil || h.disabled(mechanism.Silence) {
		return func(bool) {}
	}
	p := h.pendingAt(a.to.PeerAddress)
	p.mu.Lock()
	p.attempts[a] = true
	p.mu.Unlock()
	timer := time.AfterFunc(quietAfter, func() { h.ask(p, a) })
	return func(answered bool) {
		timer.Stop()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.attempts, a)
		if answered {
			p.heard = time.Now()
		}
	}
}

// ask asks a quiet peer for a sign of life.
func (h *Handler) ask(p *pending, a *attempt) {
	p.mu.Lock()
	if !p.attempts[a] || p.asking || time.Since(p.heard) < quietAfter {
		p.mu.Unlock()
		return
	}
	p.asking = true
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), signTimeout)
	defer cancel()
	alive := h.options.Alive(ctx, a.to.PeerAddress)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asking = false
	if alive {
		p.heard = time.Now()
		return
	}
	h.options.Counters.Silent.Add(1)
	klog.InfoS("Peer silent", "host", a.to.Host, "peer", a.to.PeerAddress, "waiting", len(p.attempts))
	h.avoid(a.to.Host)
	for waiting := range p.attempts {
		if waiting.onHint != nil {
			waiting.onHint(hop.AnyHost)
		}
	}
}

// avoid keeps new requests away from a host for a while.
func (h *Handler) avoid(host string) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, s := range h.services {
		s.avoid(h.now()+silentFor, host)
	}
}
