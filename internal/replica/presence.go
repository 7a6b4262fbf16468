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

// presence holds the announcements of nodes for nodes that have just started and have no relay yet.
// Choosing relays needs a leader, and after a restart of the whole system there is none for about a
// second. Each replica has its own presence, which is not stored or replicated; an outdated entry
// costs the node that uses it one refused attempt. presence is safe for concurrent use.
//
// A node that waits for a relay polls many times per second. It receives only the changes since its
// last poll: when each poll returned all entries, 300 nodes that started together received 1.6 MB
// per second from each replica.
type presence struct {
	// process distinguishes this presence from that of an earlier process of the replica.
	process uint64

	mu      sync.Mutex
	entries expiringMap[string, versionedEntry]
	// version is the number of changes so far.
	version uint64
}

type versionedEntry struct {
	entry *apiv1.Entry
	// version is the version of presence at the last change of the entry.
	version uint64
}

const (
	// presenceTTL is how long an announcement is valid. It spans three announcements of a node.
	presenceTTL = 90 * time.Second
	// maxPresenceEntries limits the number of entries. In larger fleets, relays provide the
	// entries.
	maxPresenceEntries = 2 * maxWatchers
)

func newPresence() *presence {
	return &presence{process: rand.Uint64(), entries: newExpiringMap[string, versionedEntry](presenceTTL)}
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
}

// changedSince returns the entries that changed after the cursor, sorted by host, and the new
// cursor. Without a cursor of this process, it returns the entries of all nodes that have not
// departed or failed. With a cursor, it also returns the entries of those that have.
func (p *presence) changedSince(cursor *apiv1.ClaimCursor) ([]*apiv1.Entry, *apiv1.ClaimCursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	after := uint64(0)
	if cursor.GetProcess() == p.process {
		after = cursor.GetVersion()
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
	return connect.NewResponse(&apiv1.AnnounceResponse{}), nil
}
