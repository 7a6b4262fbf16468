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
	// watches is how many control replicas a node watches at once: with one, the
	// loss of that replica would delay a change by the time to notice it.
	watches = 2
	// watchHold is how long a replica may hold a watch that has nothing to tell.
	// It bounds the time to notice that a link went silent.
	watchHold = 800 * time.Millisecond
	// watchSlack is added to the hold before a watch counts as lost: a few round
	// trips on a busy host.
	watchSlack = 500 * time.Millisecond
	// watchPause and longestWatchPause space the tries while no replica is of use. With
	// two of five replicas cut off, three tries of two watches find one that is not; at
	// 0.6 s each at the longest they fit the two seconds in which a change is to be in
	// force. The 512 watchers that a replica may have ask it 1,300 times a second then.
	watchPause        = 100 * time.Millisecond
	longestWatchPause = 400 * time.Millisecond
	// aloneHold is the hold of a node that no relay answers: it waits for the others.
	aloneHold = 50 * time.Millisecond
	// announceCheck is how often a node looks whether it has something to announce,
	// announceEvery how often it repeats itself.
	announceCheck = 50 * time.Millisecond
	announceEvery = 30 * time.Second
	// fullPause is how long a node leaves the replicas alone that serve as many
	// watchers as they may; its relay tells it meanwhile.
	fullPause = time.Minute
)

// watcher follows the control replicas, so that a change is known within a few
// round trips of its acknowledgement. Safe for concurrent use.
type watcher struct {
	n *Node

	mu sync.Mutex
	// replicas are the addresses of all control replicas, as one of them told.
	replicas []string
	// used are the addresses that are being watched.
	used map[string]bool
	// heard is how far each replica has told of other nodes.
	heard map[string]*apiv1.ClaimCursor
	// failed is when a replica was last of no use.
	failed map[string]time.Time
	// lost: no replica answers.
	lost bool
}

func newWatcher(n *Node) *watcher {
	return &watcher{n: n, used: map[string]bool{}, heard: map[string]*apiv1.ClaimCursor{}, failed: map[string]time.Time{}}
}

// run keeps the watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	if !w.n.options.WatchControl {
		return
	}
	var wait sync.WaitGroup
	for range watches {
		wait.Go(func() { w.follow(ctx) })
	}
	wait.Wait()
}

// follow watches one replica after another.
func (w *watcher) follow(ctx context.Context) {
	pause := watchPause
	for ctx.Err() == nil {
		address := w.choose()
		if address != "" {
			if w.stay(ctx, address) {
				pause = watchPause
			}
			w.leave(address, time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, longestWatchPause)
	}
}

// choose takes a replica that is not watched yet: the one that has been of no use for
// the longest, and among those that never were at random. A replica that is cut off
// with a minority answers, and is of no use, each time.
func (w *watcher) choose() string {
	candidates := w.addresses()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	w.mu.Lock()
	defer w.mu.Unlock()
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return w.used[a] })
	if len(candidates) == 0 {
		return ""
	}
	longest := slices.MinFunc(candidates, func(a, b string) int { return w.failed[a].Compare(w.failed[b]) })
	w.used[longest] = true
	return longest
}

// leave gives up a replica that is of no use any more.
func (w *watcher) leave(address string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.used, address)
	w.failed[address] = now
}

// stay watches a replica until it fails or loses its leader; it reports whether
// the replica was of use.
func (w *watcher) stay(ctx context.Context, address string) (useful bool) {
	for ctx.Err() == nil {
		resp, err := w.once(ctx, address)
		if err != nil {
			w.n.counters.watchFailures.Add(1)
			w.note(address, false, err)
			return useful
		}
		w.n.counters.watches.Add(1)
		w.learn(resp.Replicas)
		w.n.takeProvisional(resp.Entries)
		w.hear(address, resp.Heard)
		w.n.takeDelta(resp.Delta, !resp.Detached, "watch of "+address)
		if resp.Detached {
			w.note(address, false, nil)
			return useful
		}
		w.note(address, true, nil)
		useful = true
		if resp.Full {
			select {
			case <-ctx.Done():
			case <-time.After(fullPause):
			}
		}
	}
	return useful
}

func (w *watcher) once(ctx context.Context, address string) (*apiv1.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, watchHold+watchSlack)
	defer cancel()
	resp, err := w.n.options.Control.At(address).Control.Watch(ctx, connect.NewRequest(w.request(address)))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// hear notes how far a replica told of other nodes.
func (w *watcher) hear(address string, to *apiv1.ClaimCursor) {
	if to == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard[address] = to
}

// heardFrom is how far the replica has told of other nodes. It is forgotten while a
// relay answers: the relay's answer replaces what was heard, so that a node which
// loses it has to hear everything anew.
func (w *watcher) heardFrom(address string, alone bool) *apiv1.ClaimCursor {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !alone {
		clear(w.heard)
	}
	return w.heard[address]
}

func (w *watcher) request(address string) *apiv1.WatchRequest {
	n := w.n
	n.mu.Lock()
	defer n.mu.Unlock()
	alone := !n.view.Following()
	hold := watchHold
	if alone {
		hold = aloneHold
	}
	return &apiv1.WatchRequest{Host: n.options.Host, Revision: n.Revision(), HoldMs: uint32(hold.Milliseconds()), Entry: n.entry(""), WantEntries: alone, Heard: w.heardFrom(address, alone)}
}

// announce tells every control replica of this node, at the start and when what
// it says of itself changed, so that a node that starts at the same moment finds
// it whichever replica it watches.
func (w *watcher) announce(ctx context.Context) {
	if !w.n.options.WatchControl {
		return
	}
	ticker := time.NewTicker(announceCheck)
	defer ticker.Stop()
	var told claim
	var at time.Time
	for {
		w.n.mu.Lock()
		now := w.n.claim()
		due := now != told || time.Since(at) > announceEvery
		var entry *apiv1.Entry
		if due {
			entry = w.n.entry("")
		}
		w.n.mu.Unlock()
		if due {
			told, at = now, time.Now()
			w.announceTo(ctx, w.addresses(), entry)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// addresses are all that this node knows of, each once.
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
			ctx, cancel := context.WithTimeout(ctx, watchSlack)
			defer cancel()
			// One that does not answer hears of this node by the next announcement.
			_, _ = w.n.options.Control.At(address).Control.Announce(ctx, connect.NewRequest(&apiv1.AnnounceRequest{Entry: entry}))
		}()
	}
}

// tellControl exchanges with control replicas what is known of servers that ended.
func (n *Node) tellControl(ctx context.Context) {
	n.quarantine.Converse(ctx, func() quarantine.Ask {
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

func (w *watcher) learn(replicas []string) {
	if len(replicas) == 0 {
		return
	}
	w.mu.Lock()
	w.replicas = replicas
	w.mu.Unlock()
	w.n.options.Control.Learn(replicas)
}

// note logs when the control replicas are lost and when they are back.
func (w *watcher) note(address string, good bool, err error) {
	w.mu.Lock()
	changed := w.lost == good
	w.lost = !good
	w.mu.Unlock()
	if !changed {
		return
	}
	if good {
		klog.InfoS("Control replica watched", "host", w.n.options.Host, "replica", address)
		return
	}
	klog.InfoS("Control replica lost", "host", w.n.options.Host, "replica", address, "detached", err == nil, "err", err)
}

// takeDelta applies what a replica told, and never an older revision.
func (n *Node) takeDelta(delta *apiv1.EstateDelta, confirmed bool, from string) {
	if delta == nil {
		return
	}
	n.mu.Lock()
	before := n.records.Revision()
	changed := n.records.Apply(delta)
	n.noteRevision(before, confirmed, from)
	if changed {
		n.signalChange()
	}
	n.mu.Unlock()
	if changed {
		n.apply()
	}
}

// takeProvisional takes in nodes that no relay vouches for, while none answers.
func (n *Node) takeProvisional(entries []*apiv1.Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	changed := n.view.Provisional(entries)
	if changed {
		n.signalChange()
	}
	n.mu.Unlock()
	if changed {
		klog.InfoS("Nodes known from a control replica, no relay answers yet", "host", n.options.Host, "entries", len(entries))
		n.apply()
	}
}

// noteRevision publishes the revision after an Apply; the caller holds the lock.
func (n *Node) noteRevision(before uint64, confirmed bool, from string) {
	now := n.records.Revision()
	n.revision.Store(now)
	if now <= before {
		return
	}
	n.counters.configurationChanged.Set(time.Now().UnixMilli())
	n.confirmed = confirmed
	klog.InfoS("Configuration in force", "host", n.options.Host, "revision", now, "before", before, "confirmed", confirmed, "from", from)
}
