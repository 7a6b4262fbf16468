package node

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/directory"
	"cactuspath/internal/quarantine"
	"cactuspath/internal/transport"
)

const (
	// watchedReplicas is the number of control replicas that a node watches at the same
	// time. If it watched only one and lost it, the next change would be delayed until
	// the loss is detected.
	watchedReplicas = 2
	// watchHold is how long a replica may hold the response to a watch while there are
	// no updates. A shorter hold detects a broken connection earlier.
	watchHold = 800 * time.Millisecond
	// watchTimeoutMargin is the time after the hold in which the response must begin. It allows
	// for a few round trips on a busy host.
	watchTimeoutMargin = 500 * time.Millisecond
	// watchStallTimeout is the longest pause between the parts of a response, which share the
	// link of the host with others.
	watchStallTimeout = 800 * time.Millisecond
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
	// takeoverHold replaces watchHold at the other watched replica meanwhile, so that it soon
	// supplies the entries if the first one fails.
	takeoverHold = 250 * time.Millisecond
	// failureMemory is how long a replica that failed is watched only if no other one is left.
	failureMemory = 30 * time.Second
	// unconfirmedWait is how long a node that has started without a configuration does not take
	// one from a replica without a leader. It is longer than an election.
	unconfirmedWait = 3 * time.Second
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
	// watched holds the addresses that are being watched, confirmed when each of them last
	// responded in contact with a leader, and lastPart when a part of a response last arrived.
	watched             map[string]bool
	confirmed, lastPart map[string]time.Time
	// cursors holds, by replica address, the position up to which this node has
	// received the replica's entries of other nodes.
	cursors map[string]*apiv1.ClaimCursor
	// lastFailure is when each replica was last found unusable, and fullUntil until when it is
	// not watched because it reached its limit of watchers.
	lastFailure, fullUntil map[string]time.Time
	// dataCenters holds the data centres of the replicas that have told theirs.
	dataCenters map[string]string
	// entrySource is the watched replica that supplies the entries of other nodes while no
	// relay responds.
	entrySource string
	// announced holds, by replica address, what the replica was told of this node.
	announced map[string]*announcementState
	// wake makes the announcing goroutine check at once whether it has something to tell.
	wake chan struct{}
	// disconnected is set while no replica is usable.
	disconnected bool
}

func newWatcher(n *Node) *watcher {
	return &watcher{n: n, watched: map[string]bool{}, confirmed: map[string]time.Time{}, lastPart: map[string]time.Time{}, cursors: map[string]*apiv1.ClaimCursor{}, lastFailure: map[string]time.Time{}, fullUntil: map[string]time.Time{},
		dataCenters: map[string]string{}, announced: map[string]*announcementState{}, wake: make(chan struct{}, 1)}
}

// run keeps the watches running until ctx is canceled.
func (w *watcher) run(ctx context.Context) {
	if !w.n.options.WatchControl {
		return
	}
	var wait sync.WaitGroup
	// One watched replica is near, where possible: it supplies the entries of other nodes. The
	// other one is any, so that a data centre that is cut off with its replicas is not told
	// old news by both.
	for i := range watchedReplicas {
		wait.Go(func() { w.watchLoop(ctx, i == 0) })
	}
	wait.Wait()
}

// watchLoop watches one replica after another, near ones first if preferNear is set.
func (w *watcher) watchLoop(ctx context.Context, preferNear bool) {
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		address := w.pickReplica(preferNear)
		if address != "" {
			begin := time.Now()
			result, polling, err := w.watchReplica(ctx, address, preferNear)
			w.release(address, result, time.Now())
			if result != neverUsable {
				klog.InfoS("Watch ended", "host", w.n.options.Host, "replica", address, "result", result.String(), "after", time.Since(begin), "revision", w.n.Revision(), "lastPoll", polling, "err", err)
			}
			if result == movedOn {
				continue
			}
			if result == wasUsable {
				backoff = minWatchBackoff
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// watchResult is why a node stopped watching a replica.
type watchResult int

const (
	// neverUsable: no poll succeeded. wasUsable: a poll failed, or the replica lost the leader.
	neverUsable watchResult = iota
	wasUsable
	// movedOn: another replica is preferred.
	movedOn
	// wasFull: the replica has reached its limit of watchers.
	wasFull
)

// String returns the name of the result for logs.
func (r watchResult) String() string {
	return [...]string{"never usable", "failed or detached", "another replica preferred", "full"}[r]
}

// pickReplica picks the preferred replica that is not watched yet, and marks it as watched.
func (w *watcher) pickReplica(preferNear bool) string {
	candidates := w.rankReplicas(preferNear, time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, address := range candidates {
		if !w.watched[address] {
			w.watched[address] = true
			return address
		}
	}
	return ""
}

// rankReplicas returns the replicas that are not full in the order in which this node prefers
// them: first those that have not failed recently, then the one that failed longest ago, since
// a replica may respond and not be usable, because a partition separates it from the
// majority. Among those that have not failed, rendezvous hashing gives each node its own
// order, which spreads the nodes over the replicas: they all know the same few at their
// start.
func (w *watcher) rankReplicas(preferNear bool, now time.Time) []string {
	ranked := directory.Rendezvous(w.n.options.Host, w.addresses())
	w.mu.Lock()
	defer w.mu.Unlock()
	ranked = slices.DeleteFunc(ranked, func(a string) bool { return now.Before(w.fullUntil[a]) })
	slices.SortStableFunc(ranked, func(a, b string) int {
		if byFailure := w.recentFailure(a, now).Compare(w.recentFailure(b, now)); byFailure != 0 {
			return byFailure
		}
		if preferNear {
			return cmp.Compare(w.farness(a), w.farness(b))
		}
		return 0
	})
	return ranked
}

// recentFailure returns when the replica failed, or the zero time if it has not done so
// recently. The caller holds the lock.
func (w *watcher) recentFailure(address string, now time.Time) time.Time {
	if at := w.lastFailure[address]; now.Sub(at) < failureMemory {
		return at
	}
	return time.Time{}
}

// farness returns 0 for a replica in this node's data centre and 1 for others. The caller
// holds the lock.
func (w *watcher) farness(address string) int {
	if w.dataCenters[address] == w.n.options.DataCenter {
		return 0
	}
	return 1
}

// moveWatch reports whether the watch of the given replica is to move to another one that this
// node prefers. The other replica may not respond, so only one watch moves at a time, and only
// while a second one is known to work.
func (w *watcher) moveWatch(address string, preferNear bool, now time.Time) bool {
	ranked := w.rankReplicas(preferNear, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range ranked {
		if other == address {
			return false
		}
		if !w.watched[other] && w.recentFailure(other, now).IsZero() && w.otherConfirmed(address, now) {
			delete(w.confirmed, address)
			return true
		}
	}
	return false
}

// otherConfirmed reports whether a watched replica besides the given one has responded recently.
// The caller holds the lock.
func (w *watcher) otherConfirmed(address string, now time.Time) bool {
	for other := range w.watched {
		if at, ok := w.confirmed[other]; other != address && ok && now.Sub(at) < watchHold+watchTimeoutMargin {
			return true
		}
	}
	return false
}

// receivesChanges reports whether this node receives changes of the configuration without its
// relay: a watched replica has responded recently, or a response of one is arriving.
func (w *watcher) receivesChanges(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.receiving(now)
}

// receiving is receivesChanges for a caller that holds the lock.
func (w *watcher) receiving(now time.Time) bool {
	for address := range w.watched {
		if at, ok := w.lastPart[address]; ok && now.Sub(at) < watchHold+watchTimeoutMargin {
			return true
		}
	}
	return false
}

// received records that a part of a response of a watched replica arrived.
func (w *watcher) received(address string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastPart[address] = now
}

// confirm records that a watched replica responded in contact with a leader. The first one after
// a time without any makes the node forget which replicas failed: while there is no leader all of
// them do, and the nodes would stay with the few that they had not asked.
func (w *watcher) confirm(address string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.confirmed) == 0 {
		clear(w.lastFailure)
	}
	w.confirmed[address] = now
}

// release marks a replica as no longer watched and records a failure. If no other one responds, the
// relay is told at once that this node needs its changes of the configuration.
func (w *watcher) release(address string, result watchResult, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watched, address)
	delete(w.confirmed, address)
	delete(w.lastPart, address)
	if w.n.member.saidWatching.Load() && !w.receiving(now) {
		w.n.member.requestSync()
	}
	switch result {
	case wasFull:
		w.fullUntil[address] = now.Add(fullReplicaPause)
	case neverUsable, wasUsable:
		w.lastFailure[address] = now
	}
	if w.entrySource == address {
		w.entrySource = ""
	}
}

// watchReplica polls a replica until a call fails, the replica reports that it has lost
// contact with the leader or is full, or another one is preferred. It returns how long the last
// poll took, and its error.
func (w *watcher) watchReplica(ctx context.Context, address string, preferNear bool) (result watchResult, polling time.Duration, err error) {
	for ctx.Err() == nil {
		sent := time.Now()
		resp, err := w.poll(ctx, address)
		polling = time.Since(sent)
		if err != nil {
			w.n.counters.watchFailures.Add(1)
			w.logStatus(address, false, err)
			return result, polling, err
		}
		w.n.counters.watches.Add(1)
		w.setReplicas(resp.Replicas)
		w.n.applyProvisional(resp.Entries)
		w.storeCursor(address, resp.Heard)
		if !resp.Detached || w.n.takesUnconfirmed() {
			w.n.applyDelta(resp.Delta, !resp.Detached, "watch of "+address)
		}
		if resp.Detached {
			w.logStatus(address, false, nil)
			return result, polling, nil
		}
		w.logStatus(address, true, nil)
		w.n.configurationConfirmed(sent, resp.HeldMs, time.Duration(resp.ConfirmedAgeMs)*time.Millisecond)
		result = wasUsable
		if resp.Full {
			return wasFull, polling, nil
		}
		w.confirm(address, time.Now())
		if w.moveWatch(address, preferNear, time.Now()) {
			return movedOn, polling, nil
		}
	}
	return result, polling, ctx.Err()
}

func (w *watcher) poll(ctx context.Context, address string) (*apiv1.WatchResponse, error) {
	ctx, cancel := transport.WithStallLimit(ctx, watchHold+watchTimeoutMargin, watchStallTimeout, func() { w.received(address, time.Now()) })
	defer cancel()
	req, answered := w.buildRequest(address)
	resp, err := w.n.options.Control.At(address).Control.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	answered(resp.Msg)
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

// buildRequest returns the next watch of a replica and a function to call with its response.
func (w *watcher) buildRequest(address string) (req *apiv1.WatchRequest, answered func(*apiv1.WatchResponse)) {
	n := w.n
	n.mu.Lock()
	defer n.mu.Unlock()
	noRelay := !n.view.FollowsRelay()
	hold, wantEntries := watchHold, false
	if noRelay {
		hold, wantEntries = takeoverHold, w.becomeEntrySource(address)
	}
	if wantEntries {
		hold = noRelayHold
	}
	req = &apiv1.WatchRequest{Host: n.options.Host, Revision: n.Revision(), HoldMs: uint32(hold.Milliseconds()), Entry: n.entry(""), WantEntries: wantEntries, EntriesHoldMs: uint32(watchHold.Milliseconds()), Heard: w.cursorFor(address, noRelay)}
	return req, n.profiles.fill(address, req)
}

// becomeEntrySource reports whether the replica supplies the entries of other nodes: it does
// if no other watched one does. Two would send each of a thousand entries twice.
func (w *watcher) becomeEntrySource(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.watched[w.entrySource] {
		w.entrySource = address
	}
	return w.entrySource == address
}

// watchedAddresses returns the addresses of the replicas that are watched.
func (w *watcher) watchedAddresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.watched))
}

// addresses returns all known replica addresses without duplicates.
func (w *watcher) addresses() []string {
	w.mu.Lock()
	all := slices.Concat(w.replicas, w.n.options.Control.Addresses())
	w.mu.Unlock()
	slices.Sort(all)
	return slices.Compact(all)
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
	changed := !slices.Equal(w.replicas, replicas)
	w.replicas = replicas
	w.mu.Unlock()
	if changed {
		w.announceSoon()
	}
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

// takesUnconfirmed reports whether this node takes a configuration from a replica that has no leader.
// After a restart, such a replica does not know of its newest entries whether they are committed,
// and so may have an older configuration than was acknowledged. A node that has none yet waits for
// a confirmed one, but not for good.
func (n *Node) takesUnconfirmed() bool {
	return n.Revision() > 0 || time.Since(n.start) >= unconfirmedWait
}

// applyDelta applies a delta from a replica, but never an older revision.
func (n *Node) applyDelta(delta *apiv1.EstateDelta, confirmed bool, from string) {
	if delta == nil {
		return
	}
	n.mu.Lock()
	before := n.records.Revision()
	changed := n.records.Apply(delta)
	logInForce := n.publishRevision(before, confirmed, from)
	if changed {
		n.signalChange()
	}
	n.mu.Unlock()
	if changed {
		n.apply()
	}
	logInForce()
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

// publishRevision makes the revision of the records visible to Revision. The caller holds
// the lock, and calls logInForce once it has released the lock and applied the records.
func (n *Node) publishRevision(before uint64, confirmed bool, from string) (logInForce func()) {
	now := n.records.Revision()
	n.revision.Store(now)
	if now <= before {
		return func() {}
	}
	received := time.Now()
	n.counters.configurationChanged.Set(received.UnixMilli())
	n.confirmed = confirmed
	return func() {
		klog.InfoS("Configuration in force", "host", n.options.Host, "revision", now, "before", before, "confirmed", confirmed, "from", from, "applying", time.Since(received))
	}
}
