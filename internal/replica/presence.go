package replica

import (
	"context"
	"sort"
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
type presence struct {
	mu     sync.Mutex
	byHost map[string]claimed
}

type claimed struct {
	entry *apiv1.Entry
	seen  time.Time
}

const (
	// presenceLife is how long a claim counts: three of the nodes' announcements.
	presenceLife = 90 * time.Second
	// maxPresence bounds the claims: fleets beyond it are served by their relays.
	maxPresence = 2 * maxWatchers
)

func newPresence() *presence { return &presence{byHost: map[string]claimed{}} }

func (p *presence) put(e *apiv1.Entry) {
	if e == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	held, known := p.byHost[e.Host]
	if known && !directory.Newer(e, held.entry) {
		e = held.entry
	}
	if !known && len(p.byHost) >= maxPresence {
		return
	}
	p.byHost[e.Host] = claimed{e, time.Now()}
}

// entries lists the claims of nodes that are not gone, by host.
func (p *presence) entries() []*apiv1.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*apiv1.Entry
	for host, c := range p.byHost {
		if time.Since(c.seen) > presenceLife {
			delete(p.byHost, host)
			continue
		}
		if !directory.Gone(c.entry) {
			list = append(list, c.entry)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// Announce takes in a node's claim.
func (c control) Announce(_ context.Context, req *connect.Request[apiv1.AnnounceRequest]) (*connect.Response[apiv1.AnnounceResponse], error) {
	if req.Msg.Entry == nil {
		return nil, fault.New(fault.Invalid, errors.New("the announcement has no entry; both processes must run the same release"))
	}
	c.r.presence.put(req.Msg.Entry)
	return connect.NewResponse(&apiv1.AnnounceResponse{}), nil
}
