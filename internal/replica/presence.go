package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/directory"

	"github.com/cockroachdb/errors"
)

// presence holds the directory entries that nodes announce to this replica. Nodes that have just
// started and have no relay yet receive the entries of other nodes from it: relays are chosen by
// the leader, and after a restart of the whole system there is no leader for about a second. The
// entries are neither stored on disk nor replicated to other replicas. An outdated entry costs the
// node that uses it one refused attempt. presence is safe for concurrent use.
//
// A node that waits for a relay receives only the changes since its last poll, and they are sent in
// batches: when a fleet starts, each of its nodes hears of each, and with a response for every
// change the replicas would spend their processor time on it.
type presence struct {
	// process identifies this process of the replica. A cursor from an earlier process is ignored,
	// because its versions belong to other changes.
	process uint64

	mu      sync.Mutex
	entries expiringMap[string, versionedEntry]
	// version counts the changes of entries.
	version uint64
	// changed is closed and replaced when entries change.
	changed chan struct{}
}

type versionedEntry struct {
	entry *apiv1.Entry
	// version is the value of presence.version after the last change of this entry.
	version uint64
}

const (
	// presenceTTL is how long an announcement is valid: three times the interval at which a node
	// repeats it.
	presenceTTL = 90 * time.Second
	// maxPresenceEntries limits the number of entries. In larger fleets, relays provide the
	// entries.
	maxPresenceEntries = 2 * maxWatchers
)

func newPresence() *presence {
	return &presence{process: rand.Uint64(), entries: newExpiringMap[string, versionedEntry](presenceTTL), changed: make(chan struct{})}
}

func (p *presence) put(e *apiv1.Entry) {
	if e == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	latest, found := p.entries.latest(e.Host)
	if found && !directory.Supersedes(e, latest.entry) {
		p.entries.put(e.Host, latest)
		return
	}
	if !found && len(p.entries.byKey) >= maxPresenceEntries {
		return
	}
	p.version++
	p.entries.put(e.Host, versionedEntry{entry: e, version: p.version})
	close(p.changed)
	p.changed = make(chan struct{})
}

const (
	// minEntryBatch and maxEntryBatch bound the time between two responses with entries to a
	// node. It grows by entryBatchPerEntry with each entry, so that the entries that all nodes
	// of a fleet receive while it starts cost the replicas about the same at any size.
	minEntryBatch      = 50 * time.Millisecond
	maxEntryBatch      = 500 * time.Millisecond
	entryBatchPerEntry = 500 * time.Microsecond
)

// awaitChange waits until entries have changed after the cursor and a batch is due, or ctx ends. It
// does not wait for a node that has received nothing from this process yet.
func (p *presence) awaitChange(ctx context.Context, cursor *apiv1.ClaimCursor) {
	begin := time.Now()
	for cursor.GetProcess() == p.process {
		p.mu.Lock()
		news, changed := p.version > cursor.GetVersion(), p.changed
		batch := min(maxEntryBatch, max(minEntryBatch, time.Duration(len(p.entries.byKey))*entryBatchPerEntry))
		p.mu.Unlock()
		if news {
			changed = nil
		}
		if news && time.Since(begin) >= batch {
			return
		}
		timer := time.NewTimer(max(0, batch-time.Since(begin)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
			if !news {
				// Nothing has changed within a batch: the next change is sent at once.
				select {
				case <-ctx.Done():
					return
				case <-changed:
				}
			}
		}
		timer.Stop()
	}
}

// changedSince returns the entries that changed after the cursor, sorted by host, and the new
// cursor. They include tombstones, the entries of nodes that have departed or failed. If the cursor
// is nil or from an earlier process, it returns all entries except tombstones.
func (p *presence) changedSince(cursor *apiv1.ClaimCursor) ([]*apiv1.Entry, *apiv1.ClaimCursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	after := uint64(0)
	if cursor.GetProcess() == p.process {
		after = cursor.GetVersion()
		if after == p.version {
			return nil, cursor
		}
	}
	include := func(c versionedEntry) bool {
		return c.version > after && (after > 0 || !directory.IsTombstone(c.entry))
	}
	var list []*apiv1.Entry
	for _, c := range p.entries.list(include) {
		list = append(list, c.entry)
	}
	return list, &apiv1.ClaimCursor{Process: p.process, Version: p.version}
}

// Announce stores a node's entry.
func (c controlService) Announce(_ context.Context, req *connect.Request[apiv1.AnnounceRequest]) (*connect.Response[apiv1.AnnounceResponse], error) {
	if req.Msg.Entry == nil {
		return nil, fault.New(fault.Invalid, errors.New("the announcement has no entry; both processes must run the same release"))
	}
	c.r.presence.put(req.Msg.Entry)
	return connect.NewResponse(&apiv1.AnnounceResponse{DataCenter: c.r.options.DataCenter}), nil
}
