package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/quarantine"
)

const (
	// watchedReplicas is the number of control replicas that a node watches at the same
	// time. If it watched only one and lost it, the next change would be delayed until
	// the loss is detected.
	watchedReplicas = 2
	// watchHold is how long a replica may hold the response to a watch while there are
	// no updates. A shorter hold detects a broken connection earlier.
	watchHold = 800 * time.Millisecond
	// watchTimeoutMargin is the time after the hold in which the response must arrive.
	// It allows for a few round trips on a busy host.
	watchTimeoutMargin = 500 * time.Millisecond
	// minWatchBackoff and maxWatchBackoff limit the backoff between tries while no
	// replica is usable. A change has to take effect within two seconds. If two of five
	// replicas are partitioned from the others, the two watches of a node find a usable
	// replica in at most three tries. A try is delayed by at most 0.6 s, one and a half
	// times the maximum backoff, so three tries take less than two seconds. In the
	// meantime, the 512 watchers that a replica may have send it 1,300 requests per
	// second.
	minWatchBackoff = 100 * time.Millisecond
	maxWatchBackoff = 400 * time.Millisecond
	// noRelayHold replaces watchHold while no relay responds to the node and the replica
	// is of an earlier release, which does not respond when entries change.
	noRelayHold = 50 * time.Millisecond
	// announceCheckInterval is how often a node checks whether it has something to
	// announce, and announceInterval how often it repeats its announcement.
	announceCheckInterval = 50 * time.Millisecond
	announceInterval      = 30 * time.Second
	// fullReplicaPause is how long a node does not watch replicas that have reached
	// their limit of watchers; meanwhile its relay provides the updates.
	fullReplicaPause = time.Minute
)

// watcher receives configuration changes from the control replicas by long polling, so
// that the node has a change within a few round trips after it was acknowledged. It is
// safe for concurrent use.
type watcher struct {
	n *Node

	mu sync.Mutex
	// replicas holds the addresses of all control replicas, as reported by one of them.
	replicas []string
	// watched holds the addresses that are being watched.
	watched map[string]bool
	// cursors holds, by replica address, the position up to which this node has
	// received the replica's entries of other nodes.
	cursors map[string]*apiv1.ClaimCursor
	// lastFailure is when each replica was last found unusable.
	lastFailure map[string]time.Time
	// disconnected is set while no replica is usable.
	disconnected bool
}

func newWatcher(n *Node) *watcher {
	return &watcher{n: n, watched: map[string]bool{}, cursors: map[string]*apiv1.ClaimCursor{}, lastFailure: map[string]time.Time{}}
}

// run keeps the watches running until ctx is canceled.
func (w *watcher) run(ctx context.Context) {
	if !w.n.options.WatchControl {
		return
	}
	var wait sync.WaitGroup
	for range watchedReplicas {
		wait.Go(func() { w.watchLoop(ctx) })
	}
	wait.Wait()
}

// watchLoop watches one replica after another.
func (w *watcher) watchLoop(ctx context.Context) {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		address := w.pickReplica()
		if address != "" {
			if w.watchReplica(ctx, address) {
				backoff = minWatchBackoff
			}
			w.release(address, time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// pickReplica picks a replica that is not watched yet: a random one of those that never
// failed or, if there is none, the one that failed longest ago. Choosing at random each
// time could return to a replica that responds but is not usable, because a partition
// separates it from the majority.
func (w *watcher) pickReplica() string {
	candidates := w.addresses()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	w.mu.Lock()
	defer w.mu.Unlock()
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return w.watched[a] })
	if len(candidates) == 0 {
		return ""
	}
	oldest := slices.MinFunc(candidates, func(a, b string) int { return w.lastFailure[a].Compare(w.lastFailure[b]) })
	w.watched[oldest] = true
	return oldest
}

// release marks a replica as no longer watched and records the time of its failure.
func (w *watcher) release(address string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watched, address)
	w.lastFailure[address] = now
}

// watchReplica polls a replica until a call fails or the replica reports that it has
// lost contact with the leader. It reports whether the replica was usable before.
func (w *watcher) watchReplica(ctx context.Context, address string) (useful bool) {
	for ctx.Err() == nil {
		resp, err := w.poll(ctx, address)
		if err != nil {
			w.n.counters.watchFailures.Add(1)
			w.logStatus(address, false, err)
			return useful
		}
		w.n.counters.watches.Add(1)
		w.setReplicas(resp.Replicas)
		w.n.applyProvisional(resp.Entries)
		w.storeCursor(address, resp.Heard)
		w.n.applyDelta(resp.Delta, !resp.Detached, "watch of "+address)
		if resp.Detached {
			w.logStatus(address, false, nil)
			return useful
		}
		w.logStatus(address, true, nil)
		useful = true
		if resp.Full {
			select {
			case <-ctx.Done():
			case <-time.After(fullReplicaPause):
			}
		}
	}
	return useful
}

func (w *watcher) poll(ctx context.Context, address string) (*apiv1.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, watchHold+watchTimeoutMargin)
	defer cancel()
	resp, err := w.n.options.Control.At(address).Control.Watch(ctx, connect.NewRequest(w.buildRequest(address)))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// storeCursor stores the position up to which this node has received the replica's
// entries of other nodes.
func (w *watcher) storeCursor(address string, cursor *apiv1.ClaimCursor) {
	if cursor == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cursors[address] = cursor
}

// cursorFor returns the cursor to send to a replica. If a relay responds to this node,
// it first drops all cursors: the relay's response replaces the entries from the
// replicas, so a node that loses its relay later has to fetch all entries again.
func (w *watcher) cursorFor(address string, noRelay bool) *apiv1.ClaimCursor {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !noRelay {
		clear(w.cursors)
	}
	return w.cursors[address]
}

func (w *watcher) buildRequest(address string) *apiv1.WatchRequest {
	n := w.n
	n.mu.Lock()
	defer n.mu.Unlock()
	noRelay := !n.view.FollowsRelay()
	hold := watchHold
	if noRelay {
		hold = noRelayHold
	}
	return &apiv1.WatchRequest{Host: n.options.Host, Revision: n.Revision(), HoldMs: uint32(hold.Milliseconds()), Entry: n.entry(""), WantEntries: noRelay, EntriesHoldMs: uint32(watchHold.Milliseconds()), Heard: w.cursorFor(address, noRelay)}
}

// announce sends this node's entry to every control replica at startup, after each
// change of the entry and every announceInterval. A node that starts at the same time
// and has no relay yet then receives the entry from any replica that it watches.
func (w *watcher) announce(ctx context.Context) {
	if !w.n.options.WatchControl {
		return
	}
	ticker := time.NewTicker(announceCheckInterval)
	defer ticker.Stop()
	var sent entryVersion
	var sentAt time.Time
	for {
		w.n.mu.Lock()
		now := w.n.entryVersion()
		due := now != sent || time.Since(sentAt) > announceInterval
		var entry *apiv1.Entry
		if due {
			entry = w.n.entry("")
		}
		w.n.mu.Unlock()
		if due {
			sent, sentAt = now, time.Now()
			w.announceTo(ctx, w.addresses(), entry)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// addresses returns all known replica addresses without duplicates.
func (w *watcher) addresses() []string {
	w.mu.Lock()
	all := slices.Concat(w.replicas, w.n.options.Control.Addresses())
	w.mu.Unlock()
	slices.Sort(all)
	return slices.Compact(all)
}

func (w *watcher) announceTo(ctx context.Context, addresses []string, entry *apiv1.Entry) {
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, watchTimeoutMargin)
			defer cancel()
			// The error is ignored: the next announcement is sent to all replicas
			// again.
			_, _ = w.n.options.Control.At(address).Control.Announce(ctx, connect.NewRequest(&apiv1.AnnounceRequest{Entry: entry}))
		}()
	}
}

// exchangeQuarantine exchanges information about servers that crashed with the control
// replicas.
func (n *Node) exchangeQuarantine(ctx context.Context) {
	n.quarantine.RunControlExchange(ctx, func() quarantine.SendFunc {
		addresses := n.watcher.addresses()
		if len(addresses) == 0 {
			return nil
		}
		replica := n.options.Control.At(addresses[rand.IntN(len(addresses))])
		return func(ctx context.Context, messages []*apiv1.QuarantineNews) ([]*apiv1.QuarantineNews, error) {
			resp, err := replica.Control.Quarantine(ctx, connect.NewRequest(&apiv1.QuarantineExchange{Messages: messages}))
			if err != nil {
				return nil, err
			}
			return resp.Msg.Messages, nil
		}
	})
}

func (w *watcher) setReplicas(replicas []string) {
	if len(replicas) == 0 {
		return
	}
	w.mu.Lock()
	w.replicas = replicas
	w.mu.Unlock()
	w.n.options.Control.SetDiscovered(replicas)
}

// logStatus logs when no control replica is usable any more, and when one is usable
// again.
func (w *watcher) logStatus(address string, connected bool, err error) {
	w.mu.Lock()
	changed := w.disconnected == connected
	w.disconnected = !connected
	w.mu.Unlock()
	if !changed {
		return
	}
	if connected {
		klog.InfoS("Control replica watched", "host", w.n.options.Host, "replica", address)
		return
	}
	klog.InfoS("Control replica lost", "host", w.n.options.Host, "replica", address, "detached", err == nil, "err", err)
}

// applyDelta applies a delta from a replica, but never an older revision.
func (n *Node) applyDelta(delta *apiv1.EstateDelta, confirmed bool, from string) {
	if delta == nil {
		return
	}
	n.mu.Lock()
	before := n.records.Revision()
	changed := n.records.Apply(delta)
	n.publishRevision(before, confirmed, from)
	if changed {
		n.signalChange()
	}
	n.mu.Unlock()
	if changed {
		n.apply()
	}
}

// applyProvisional applies entries of other nodes that a control replica sent. They are
// used only until a relay responds, because the replicas do not check whether the nodes
// still run.
func (n *Node) applyProvisional(entries []*apiv1.Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	changed := n.view.ApplyProvisional(entries)
	if changed {
		n.signalChange()
	}
	n.mu.Unlock()
	if changed {
		klog.InfoS("Nodes known from a control replica, no relay answers yet", "host", n.options.Host, "entries", len(entries))
		n.apply()
	}
}

// publishRevision makes the revision of the records visible to Revision and logs it if
// it is newer than before. The caller holds the lock.
func (n *Node) publishRevision(before uint64, confirmed bool, from string) {
	now := n.records.Revision()
	n.revision.Store(now)
	if now <= before {
		return
	}
	n.counters.configurationChanged.Set(time.Now().UnixMilli())
	n.confirmed = confirmed
	klog.InfoS("Configuration in force", "host", n.options.Host, "revision", now, "before", before, "confirmed", confirmed, "from", from)
}
