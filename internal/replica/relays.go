package replica

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
)

const (
	// relayLease is how long a relay counts without a sync.
	relayLease = 5 * time.Second
	// nodesPerRelay is how many nodes one relay serves before its data centre
	// gets another: it bounds a relay's bytes and processor time.
	nodesPerRelay = 32
	minRelays     = 2
	// growInterval spaces the relays that a data centre is asked for: as long as
	// one takes to report, so that it is not asked for twice.
	growInterval = 3 * time.Second
	// maxNamed bounds the nodes that a status names.
	maxNamed = 64
)

// relayTable is what the leader knows of the relays and, through them, of the
// nodes. It is soft state: a new leader starts empty and hears from every
// relay within a second. Safe for concurrent use.
type relayTable struct {
	mu     sync.Mutex
	now    func() time.Time
	relays map[string]*relayState
	// asked is when a data centre was last asked for more relays.
	asked map[string]time.Time
}

type relayState struct {
	info   *apiv1.RelayInfo
	report *apiv1.RelaySyncRequest
	seen   time.Time
	// granted: asked to become a relay and not heard from yet.
	granted bool
}

func newRelayTable() *relayTable {
	return &relayTable{now: time.Now, relays: map[string]*relayState{}, asked: map[string]time.Time{}}
}

func (t *relayTable) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays = map[string]*relayState{}
}

func (t *relayTable) expire() {
	for host, r := range t.relays {
		if t.now().Sub(r.seen) > relayLease {
			delete(t.relays, host)
		}
	}
}

// wanted is how many relays a data centre should have.
func (t *relayTable) wanted(dataCenter string) int {
	nodes := 0
	for _, r := range t.relays {
		if r.info.DataCenter == dataCenter {
			nodes += int(r.info.Nodes)
		}
	}
	return max(minRelays, (nodes+nodesPerRelay-1)/nodesPerRelay)
}

func (t *relayTable) of(dataCenter string) []*relayState {
	var list []*relayState
	for _, r := range t.relays {
		if r.info.DataCenter == dataCenter {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].info.Host < list[j].info.Host })
	return list
}

// find answers a node that looks for a relay. The node itself becomes one when
// its data centre has too few, not counting those it could not reach.
func (t *relayTable) find(req *apiv1.FindRelaysRequest) *apiv1.FindRelaysResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	unreachable := map[string]bool{}
	for _, host := range req.Unreachable {
		unreachable[host] = true
	}
	resp := &apiv1.FindRelaysResponse{}
	usable := 0
	for _, r := range t.of(req.DataCenter) {
		if r.info.Host == req.Host || !unreachable[r.info.Host] {
			usable++
		}
		resp.Relays = append(resp.Relays, r.info)
	}
	if usable < t.wanted(req.DataCenter) {
		resp.BecomeRelay = true
		info := &apiv1.RelayInfo{Host: req.Host, PeerAddress: req.PeerAddress, DataCenter: req.DataCenter, Region: req.Region}
		t.relays[req.Host] = &relayState{info: info, seen: t.now(), granted: true}
	}
	return resp
}

// advice is what the leader tells a relay of its data centre.
type advice struct {
	// stepDown: there are relays enough without this one.
	stepDown bool
	// more is how many of the relay's nodes are to become relays.
	more uint32
}

// sync takes in a relay's report and returns all relays, and what follows for
// the number of relays in its data centre.
func (t *relayTable) sync(req *apiv1.RelaySyncRequest) (list []*apiv1.RelayInfo, digest uint64, a advice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	t.relays[req.Relay.Host] = &relayState{info: req.Relay, report: req, seen: t.now()}
	a = t.advise(req.Relay)
	if a.stepDown {
		delete(t.relays, req.Relay.Host)
	}
	list = t.list()
	return list, RelaysDigest(list), a
}

// advise keeps the number of relays near what the nodes need. The last relay in
// order steps down, by a margin so that the number does not swing; the first
// one is asked for another.
func (t *relayTable) advise(relay *apiv1.RelayInfo) advice {
	peers := t.of(relay.DataCenter)
	wanted := t.wanted(relay.DataCenter)
	first, last := peers[0].info.Host, peers[len(peers)-1].info.Host
	switch {
	case len(peers) > wanted+1 && last == relay.Host:
		return advice{stepDown: true}
	case len(peers) < wanted && first == relay.Host && t.now().Sub(t.asked[relay.DataCenter]) > growInterval:
		t.asked[relay.DataCenter] = t.now()
		return advice{more: 1}
	}
	return advice{}
}

func (t *relayTable) list() []*apiv1.RelayInfo {
	list := make([]*apiv1.RelayInfo, 0, len(t.relays))
	for _, r := range t.relays {
		if !r.granted {
			list = append(list, r.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// RelaysDigest identifies a list of relays, without their node counts.
func RelaysDigest(list []*apiv1.RelayInfo) uint64 {
	h := xxhash.New()
	for _, r := range list {
		_, _ = h.WriteString(r.Host + "\x00" + r.PeerAddress + "\x00" + r.DataCenter + "\x00")
	}
	return h.Sum64()
}

// summary adds up what the relays reported about a revision.
func (t *relayTable) summary(revision uint64, resp *apiv1.StatusResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	resp.Relays = t.list()
	for _, r := range t.relays {
		if r.report == nil {
			continue
		}
		resp.Nodes += r.report.Nodes
		resp.Draining = append(resp.Draining, r.report.Draining...)
		if r.report.Revision >= revision {
			resp.InForce += r.report.InForce
		}
		for _, n := range r.report.Behind {
			if n.Revision < revision && len(resp.Behind) < maxNamed {
				resp.Behind = append(resp.Behind, n)
			}
		}
	}
	sort.Slice(resp.Behind, func(i, j int) bool { return resp.Behind[i].Host < resp.Behind[j].Host })
	sort.Slice(resp.Draining, func(i, j int) bool { return resp.Draining[i].Host < resp.Draining[j].Host })
}
