package node

import (
	"context"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/directory"
)

// What the directory has a relay ask of others: signs of life, and their news.

const (
	// pullHold is how long another relay may hold its answer while it has no news,
	// so that news travel at once and the number of messages stays.
	pullHold     = 900 * time.Millisecond
	pullTimeout  = 2 * time.Second
	probeTimeout = time.Second
)

// claim keeps one exchange with each peer under way at a time.
func (r *relay) claim(what string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[what] {
		return false
	}
	r.busy[what] = true
	return true
}

func (r *relay) release(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, what)
}

// tick carries out what the directory asks.
func (r *relay) tick(ctx context.Context) {
	r.mu.Lock()
	if r.state == nil {
		r.mu.Unlock()
		return
	}
	before, ready := r.state.Table().Version(), r.settled
	work := r.state.Tick(r.now())
	r.settled = r.state.Ready(r.now())
	if r.state.Table().Version() != before || r.settled != ready {
		r.tell()
	}
	r.mu.Unlock()
	for _, p := range work.Probes {
		go r.probe(ctx, p)
	}
	for _, p := range work.Pulls {
		if r.claim(p.Relay.Host) {
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
		r.state.Probed(r.now(), p.Host, resp.Msg.Incarnation, true)
	}
}

// pull asks another relay for its news, and again as long as it has some.
func (r *relay) pull(ctx context.Context, p directory.Pull) {
	defer r.release(p.Relay.Host)
	for news := true; news && ctx.Err() == nil; {
		news = r.pullOnce(ctx, &p)
	}
}

func (r *relay) pullOnce(ctx context.Context, p *directory.Pull) (news bool) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
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
	r.state.Pulled(r.now(), p.Relay.Host, resp.Msg)
	if r.state.Table().Version() != before {
		r.tell()
	}
	next, ok := r.state.PullAgain(p.Relay.Host)
	p.Request = next.Request
	return ok && len(resp.Msg.Entries) > 0
}
