package node

import (
	"context"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/directory"
	"cactuspath/internal/transport"
)

// Calls to other nodes and relays that the directory requests: probes and pulls.

const (
	// pullHold is how long another relay may hold its response while it has no updates.
	// The hold lets updates spread without delay and without more frequent polling.
	pullHold     = 900 * time.Millisecond
	pullTimeout  = 2 * time.Second
	probeTimeout = time.Second
)

// tryBegin marks the exchange with the given peer as in progress. It returns false if
// one is already in progress.
func (r *relay) tryBegin(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inProgress[key] {
		return false
	}
	r.inProgress[key] = true
	return true
}

func (r *relay) finish(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inProgress, key)
}

// tick advances the state of the directory and starts the probes and pulls that it
// requests.
func (r *relay) tick(ctx context.Context) {
	r.mu.Lock()
	if r.state == nil {
		r.mu.Unlock()
		return
	}
	before, wasReady := r.state.Table().Version(), r.ready
	work := r.state.Tick(r.now())
	r.ready = r.state.Ready(r.now())
	if r.state.Table().Version() != before || r.ready != wasReady {
		r.signalChange()
	}
	r.mu.Unlock()
	for _, p := range work.Probes {
		go r.probe(ctx, p)
	}
	for _, p := range work.Pulls {
		if r.tryBegin(p.Relay.Host) {
			go r.pull(ctx, p)
		}
	}
}

func (r *relay) probe(ctx context.Context, p directory.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	at := p.PeerAddress
	if p.Via != "" {
		at = p.Via
	}
	resp, err := r.n.peers.at(at).Probe(ctx, connect.NewRequest(&apiv1.ProbeRequest{Host: p.Host, PeerAddress: p.PeerAddress, Direct: p.Via == ""}))
	r.n.counters.probes.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil && err == nil && resp.Msg.Host == p.Host {
		r.state.HandleProbeResult(r.now(), p.Host, resp.Msg.Incarnation, true)
	}
}

// pull fetches updates from another relay until there are none.
func (r *relay) pull(ctx context.Context, p directory.Pull) {
	defer r.finish(p.Relay.Host)
	for more := true; more && ctx.Err() == nil; {
		more = r.pullOnce(ctx, &p)
	}
}

func (r *relay) pullOnce(ctx context.Context, p *directory.Pull) (more bool) {
	ctx, cancel := transport.WithStallLimit(ctx, pullTimeout, pullTimeout-pullHold, nil)
	defer cancel()
	p.Request.HoldMs = uint32(pullHold.Milliseconds())
	resp, err := r.n.peers.at(p.Relay.PeerAddress).Exchange(ctx, connect.NewRequest(p.Request))
	r.n.counters.exchanges.Add(1)
	if err != nil {
		r.n.counters.exchangeFailures.Add(1)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return false
	}
	before := r.state.Table().Version()
	r.state.HandleExchangeResponse(r.now(), p.Relay.Host, resp.Msg)
	if r.state.Table().Version() != before {
		r.signalChange()
	}
	next, ok := r.state.NextPull(p.Relay.Host)
	p.Request = next.Request
	return ok && len(resp.Msg.Entries) > 0
}
