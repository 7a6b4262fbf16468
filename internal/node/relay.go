package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/directory"
	"cactuspath/core/rollout"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/replica"
)

const (
	relayTick = directory.HeartbeatInterval / 2
	// settleTick is the tick while the relay does not know enough to answer yet:
	// after a restart of everything all requests wait for that.
	settleTick = directory.SettleInterval
	// pullHold is how long another relay may hold its answer while it has no news,
	// so that news travel at once and the number of messages stays.
	pullHold     = 900 * time.Millisecond
	pullTimeout  = 2 * time.Second
	probeTimeout = time.Second
	// maxNamed bounds the nodes that a relay names in its report.
	maxNamed = 64
)

var errNotRelay = errors.New("this node is not a relay; ask another relay or the control replicas")

// relay is this node's part as a relay, if it was chosen. Safe for concurrent
// use.
type relay struct {
	n *Node

	mu        sync.Mutex
	state     *directory.Relay
	records   *rollout.Records
	all       []*apiv1.RelayInfo
	confirmed time.Time
	// more is how many nodes are to become relays.
	more uint32
	// settled: the relay was ready at the last tick.
	settled bool
	busy    map[string]bool
	// news is closed and replaced when there is something to tell.
	news chan struct{}
	// begun wakes the ticks when this node becomes a relay, or hears of one that it
	// does not know.
	begun chan struct{}
}

func newRelay(n *Node) *relay {
	return &relay{n: n, records: rollout.NewRecords(), busy: map[string]bool{}, news: make(chan struct{}), begun: make(chan struct{}, 1)}
}

// info names this node as a relay.
func (r *relay) info() *apiv1.RelayInfo {
	o := r.n.options
	return &apiv1.RelayInfo{Host: o.Host, PeerAddress: o.PeerAddress, DataCenter: o.DataCenter, Region: o.Region}
}

func (r *relay) now() time.Duration { return time.Since(r.n.start) }

// begin makes this node a relay.
func (r *relay) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil {
		return
	}
	r.state = directory.NewRelay(r.info(), uint64(time.Now().UnixNano()), r.now())
	select {
	case r.begun <- struct{}{}:
	default:
	}
	klog.InfoS("Became a relay", "host", r.n.options.Host, "dataCenter", r.n.options.DataCenter)
}

func (r *relay) end() {
	r.state = nil
	klog.InfoS("Ceased to be a relay", "host", r.n.options.Host, "dataCenter", r.n.options.DataCenter)
}

// run ticks while this node is a relay.
func (r *relay) run(ctx context.Context) {
	syncDue := true
	for {
		wait, settled := r.pace()
		select {
		case <-ctx.Done():
			return
		case <-r.begun:
			syncDue = true
		case <-time.After(wait):
		}
		if !r.active() {
			continue
		}
		if syncDue || !settled {
			r.syncControl(ctx)
		}
		syncDue = !syncDue
		r.tick(ctx)
	}
}

// pace is the time to the next tick, short while the relay settles.
func (r *relay) pace() (wait time.Duration, settled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil && !r.state.Ready(r.now()) {
		return settleTick, false
	}
	return relayTick, true
}

// tell wakes those whose answers are held; the caller holds the lock.
func (r *relay) tell() {
	close(r.news)
	r.news = make(chan struct{})
}

// syncControl reports to the leader and takes in what changed.
func (r *relay) syncControl(ctx context.Context) {
	if !r.claim("control") {
		return
	}
	go func() {
		defer r.release("control")
		req := r.report()
		if req == nil {
			return
		}
		err := r.n.options.Control.Once(ctx, func(ctx context.Context, c *controlclient.Replica) error {
			resp, err := c.Control.RelaySync(ctx, connect.NewRequest(req))
			if err == nil {
				r.takeControl(resp.Msg)
			}
			return err
		})
		if err != nil {
			r.n.counters.controlFailures.Add(1)
		}
	}()
}

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

// report sums up the nodes that report here.
func (r *relay) report() *apiv1.RelaySyncRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return nil
	}
	revision := r.records.Revision()
	req := &apiv1.RelaySyncRequest{Relay: r.info(), Revision: revision, RelaysDigest: replica.RelaysDigest(r.all)}
	req.Relay.Nodes = uint32(r.state.Watched())
	for _, report := range r.state.Reports() {
		req.Nodes++
		if report.Revision >= revision {
			req.InForce++
		} else if len(req.Behind) < maxNamed {
			req.Behind = append(req.Behind, report)
		}
		if report.Draining && len(req.Draining) < maxNamed {
			req.Draining = append(req.Draining, report)
		}
	}
	return req
}

func (r *relay) takeControl(resp *apiv1.RelaySyncResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return
	}
	if resp.StepDown {
		r.end()
		return
	}
	if !resp.RelaysUnchanged {
		r.all = resp.Relays
		r.state.SetRelays(r.all, r.now())
		r.state.PullSoon()
	}
	r.more += resp.MoreRelays
	r.confirmed = time.Now()
	if r.records.Apply(resp.Delta) || !resp.RelaysUnchanged || r.more > 0 {
		r.tell()
	}
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

// sync serves a node's heartbeat. The answer is held while there is no news for
// the node, so that it hears of a change as it happens.
func (r *relay) sync(ctx context.Context, req *apiv1.NodeSyncRequest) *apiv1.NodeSyncResponse {
	until := time.Now().Add(min(longestSyncHold, time.Duration(req.HoldMs)*time.Millisecond))
	for {
		resp, news := r.answer(req)
		if worthTelling(req, resp) || !wait(ctx, news, until) {
			return resp
		}
	}
}

// longestSyncHold bounds what a node may ask for.
const longestSyncHold = 5 * time.Second

// askForList has the list of relays fetched at once: one that this relay does not
// know asked for news, and has nodes of its own that only it can tell of. The
// caller holds the lock.
func (r *relay) askForList() {
	select {
	case r.begun <- struct{}{}:
	default:
	}
}

// wait waits for news; false means that the hold is over.
func wait(ctx context.Context, news <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-news:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// worthTelling tells whether an answer holds news for the node.
func worthTelling(req *apiv1.NodeSyncRequest, resp *apiv1.NodeSyncResponse) bool {
	refute := resp.Believed == apiv1.EndpointState_ENDPOINT_STATE_FAILED || resp.BelievedIncarnation > req.Report.Incarnation ||
		resp.BelievedIncarnation == req.Report.Incarnation && resp.BelievedSequence > req.Report.Sequence
	return resp.NotRelay || resp.NeedEntry || resp.BecomeRelay || refute || !resp.RelaysUnchanged || len(resp.Entries) > 0 || resp.Cursor != nil && resp.Complete ||
		resp.Revision > req.Revision || len(req.Added) > 0
}

func (r *relay) answer(req *apiv1.NodeSyncRequest) (resp *apiv1.NodeSyncResponse, news <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return &apiv1.NodeSyncResponse{NotRelay: true}, r.news
	}
	return r.answerLocked(req), r.news
}

func (r *relay) answerLocked(req *apiv1.NodeSyncRequest) *apiv1.NodeSyncResponse {
	now := r.now()
	before := r.state.Table().Version()
	held, needEntry := r.state.Heartbeat(now, req.Report, req.Entry)
	if r.state.Table().Version() != before {
		r.tell()
	}
	resp := &apiv1.NodeSyncResponse{NeedEntry: needEntry, Believed: held.GetState(), BelievedIncarnation: held.GetIncarnation(), BelievedSequence: held.GetSequence(),
		Revision: r.records.Revision(), ConfirmedAgeMs: uint64(time.Since(r.confirmed).Milliseconds())}
	if r.state.Ready(now) {
		resp.Entries, resp.Cursor, resp.Complete = r.state.Entries(req.Cursor, req.Services, req.Resubscribe)
	}
	relays := r.state.Relays()
	resp.BecomeRelay = r.promote(req.Report.Host, relays)
	if replica.RelaysDigest(relays) == req.RelaysDigest {
		resp.RelaysUnchanged = true
	} else {
		resp.Relays = relays
	}
	if r.records.Revision() > 0 {
		resp.Delta = r.records.DeltaFor(req.Revision, req.Services, req.Added, req.Report.Host)
	}
	return resp
}

// promote tells whether a node is to become a relay: the first that reports and
// is none, while the leader asked for more.
func (r *relay) promote(host string, relays []*apiv1.RelayInfo) bool {
	if r.more == 0 {
		return false
	}
	for _, info := range relays {
		if info.Host == host {
			return false
		}
	}
	r.more--
	return true
}

// exchange serves another relay, and holds the answer while there is no news.
func (r *relay) exchange(ctx context.Context, req *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	until := time.Now().Add(min(longestSyncHold, time.Duration(req.HoldMs)*time.Millisecond))
	for {
		r.mu.Lock()
		if r.state == nil {
			r.mu.Unlock()
			return nil, errNotRelay
		}
		if !r.state.Knows(req.FromHost) {
			r.askForList()
		}
		resp, news := r.state.Exchange(r.now(), req), r.news
		r.mu.Unlock()
		caughtUp := len(resp.Entries) == 0 && resp.Cursor.GetEpoch() == req.Cursor.GetEpoch()
		if !caughtUp || !wait(ctx, news, until) {
			return resp, nil
		}
	}
}
