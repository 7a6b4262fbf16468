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

// presence holds what nodes said of themselves, for nodes that have just started
// and have no relay yet: choosing relays needs a leader, and after a restart of
// everything there is none for a second. It is soft state that every replica has
// for itself; a claim that is out of date costs its reader one refused attempt.
// Safe for concurrent use.
//
// A node that waits for a relay asks many times a second. It gets what changed
// since it last asked: with all claims each time, 300 nodes that started together
// took 1.6 MB a second from each replica.
type presence struct {
	// process tells this presence from that of the replica's process before.
	process uint64

	mu     sync.Mutex
	claims recent[string, claimed]
	// version counts the changes.
	version uint64
}

type claimed struct {
	entry *apiv1.Entry
	// version is that of the claim's last change.
	version uint64
}

const (
	// presenceLife is how long a claim counts: three of the nodes' announcements.
	presenceLife = 90 * time.Second
	// maxPresence bounds the claims: fleets beyond it are served by their relays.
	maxPresence = 2 * maxWatchers
)

func newPresence() *presence {
	return &presence{process: rand.Uint64(), claims: newRecent[string, claimed](presenceLife)}
}

func (p *presence) put(e *apiv1.Entry) {
	if e == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	held, known := p.claims.held(e.Host)
	if known && !directory.Newer(e, held.entry) {
		p.claims.put(e.Host, held)
		return
	}
	if !known && len(p.claims.byKey) >= maxPresence {
		return
	}
	p.version++
	p.claims.put(e.Host, claimed{entry: e, version: p.version})
}

// since lists the claims that changed after the cursor, by host, and up to where
// that tells. Without a cursor of this process it lists all of nodes that are there;
// with one also those that have gone.
func (p *presence) since(heard *apiv1.ClaimCursor) ([]*apiv1.Entry, *apiv1.ClaimCursor) {
	p.mu.Lock()
	defer p.mu.Unlock()
	after := uint64(0)
	if heard.GetProcess() == p.process {
		after = heard.GetVersion()
	}
	news := func(c claimed) bool { return c.version > after && (after > 0 || !directory.Gone(c.entry)) }
	var list []*apiv1.Entry
	for _, c := range p.claims.list(news) {
		list = append(list, c.entry)
	}
	return list, &apiv1.ClaimCursor{Process: p.process, Version: p.version}
}

// Announce takes in a node's claim.
func (c control) Announce(_ context.Context, req *connect.Request[apiv1.AnnounceRequest]) (*connect.Response[apiv1.AnnounceResponse], error) {
	if req.Msg.Entry == nil {
		return nil, fault.New(fault.Invalid, errors.New("the announcement has no entry; both processes must run the same release"))
	}
	c.r.presence.put(req.Msg.Entry)
	return connect.NewResponse(&apiv1.AnnounceResponse{}), nil
}
