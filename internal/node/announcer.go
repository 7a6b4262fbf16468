package node

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// The announcements of this node to the control replicas, from which nodes without a relay
// receive its entry.

const (
	// announceCheckInterval is how often a node checks whether it has something to announce,
	// if nothing has woken it.
	announceCheckInterval = 500 * time.Millisecond
	// announceInterval is how often it repeats its announcement.
	announceInterval = 30 * time.Second
	// minAnnounceBackoff and maxAnnounceBackoff limit the backoff after a failed announcement.
	minAnnounceBackoff = 300 * time.Millisecond
	maxAnnounceBackoff = 10 * time.Second
)

// announcedEntry is the part of this node's entry that other nodes use. A change of the relay
// is not announced.
type announcedEntry struct {
	incarnation uint64
	state       apiv1.EndpointState
	service     string
	slots       uint32
}

// announcementState is what a replica was told of this node.
type announcementState struct {
	entry   announcedEntry
	at      time.Time
	sending bool
	// retryAt is when a failed announcement is repeated, and backoff the time after that.
	retryAt time.Time
	backoff time.Duration
}

// announceSoon makes the node check at once whether it has something to announce.
func (w *watcher) announceSoon() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// announce sends this node's entry to every control replica at startup, after each change of
// the entry and every announceInterval. A node that starts at the same time and has no relay
// yet then receives the entry from any replica that it watches.
func (w *watcher) announce(ctx context.Context) {
	if !w.n.options.WatchControl {
		return
	}
	ticker := time.NewTicker(announceCheckInterval)
	defer ticker.Stop()
	for {
		w.announceChanges(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.wake:
		}
	}
}

// announceChanges sends the entry to the replicas that do not have it.
func (w *watcher) announceChanges(ctx context.Context) {
	w.n.mu.Lock()
	entry := w.n.entry("")
	w.n.mu.Unlock()
	current := announcedEntry{entry.Incarnation, entry.State, entry.Service, entry.Slots}
	now := time.Now()
	addresses := w.addresses()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, address := range addresses {
		a := w.announced[address]
		if a == nil {
			a = &announcementState{backoff: minAnnounceBackoff}
			w.announced[address] = a
		}
		if a.sending || now.Before(a.retryAt) || a.entry == current && now.Sub(a.at) < announceInterval {
			continue
		}
		a.sending = true
		go w.announceTo(ctx, address, a, current, entry)
	}
}

func (w *watcher) announceTo(ctx context.Context, address string, a *announcementState, current announcedEntry, entry *apiv1.Entry) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeoutMargin)
	defer cancel()
	resp, err := w.n.options.Control.At(address).Control.Announce(ctx, connect.NewRequest(&apiv1.AnnounceRequest{Entry: entry}))
	w.mu.Lock()
	defer w.mu.Unlock()
	a.sending = false
	if err != nil {
		a.retryAt = time.Now().Add(a.backoff/2 + rand.N(a.backoff))
		a.backoff = min(2*a.backoff, maxAnnounceBackoff)
		return
	}
	a.entry, a.at, a.retryAt, a.backoff = current, time.Now(), time.Time{}, minAnnounceBackoff
	if dataCenter := resp.Msg.DataCenter; dataCenter != "" {
		w.dataCenters[address] = dataCenter
	}
}
