package replica

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
)

const (
	// relayLease is how long a relay counts as running after its last sync with the leader.
	relayLease = 5 * time.Second
	// nodesPerRelay is the number of nodes per relay above which a data centre gets another relay.
	// It limits the bytes and processor time of a relay.
	nodesPerRelay = 32
	minRelays     = 2
	// growthInterval is the minimum time between two requests for more relays in a data centre.
	// It is as long as a new relay takes to send its first report, so that the leader does not
	// request the same relay twice.
	growthInterval = 3 * time.Second
	// maxBehindNodes limits the number of nodes with an old revision that a status lists.
	maxBehindNodes = 64
)

// relayTable holds what the leader knows about the relays and, through them, about the nodes. It is
// not stored or replicated: the table of a new leader is empty until the relays report, which takes
// at most a second. It is safe for concurrent use.
type relayTable struct {
	mu     sync.Mutex
	now    func() time.Time
	relays map[string]*relayState
	// lastGrowth is the time of the last request for another relay, by data centre.
	lastGrowth map[string]time.Time
}

type relayState struct {
	info     *apiv1.RelayInfo
	report   *apiv1.RelaySyncRequest
	lastSeen time.Time
	// pending marks a node that was told to become a relay and has not reported yet.
	pending bool
}

func newRelayTable() *relayTable {
	return &relayTable{now: time.Now, relays: map[string]*relayState{}, lastGrowth: map[string]time.Time{}}
}

func (t *relayTable) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays = map[string]*relayState{}
}

func (t *relayTable) removeExpired() {
	for host, r := range t.relays {
		if t.now().Sub(r.lastSeen) > relayLease {
			delete(t.relays, host)
		}
	}
}

// wantedRelays returns the number of relays that a data centre should have, which depends on its
// number of nodes.
func (t *relayTable) wantedRelays(dataCenter string) int {
	nodes := 0
	for _, r := range t.relays {
		if r.info.DataCenter == dataCenter {
			nodes += int(r.info.Nodes)
		}
	}
	return max(minRelays, (nodes+nodesPerRelay-1)/nodesPerRelay)
}

func (t *relayTable) inDataCenter(dataCenter string) []*relayState {
	var list []*relayState
	for _, r := range t.relays {
		if r.info.DataCenter == dataCenter {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].info.Host < list[j].info.Host })
	return list
}

// assign returns the relays for a node that needs one. It tells the node to become a relay itself
// if its data centre has too few relays, not counting those that the node could not reach.
func (t *relayTable) assign(req *apiv1.FindRelaysRequest) *apiv1.FindRelaysResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	unreachable := map[string]bool{}
	for _, host := range req.Unreachable {
		unreachable[host] = true
	}
	resp := &apiv1.FindRelaysResponse{}
	usable := 0
	for _, r := range t.inDataCenter(req.DataCenter) {
		if r.info.Host == req.Host || !unreachable[r.info.Host] {
			usable++
		}
		resp.Relays = append(resp.Relays, r.info)
	}
	if usable < t.wantedRelays(req.DataCenter) {
		resp.BecomeRelay = true
		info := &apiv1.RelayInfo{Host: req.Host, PeerAddress: req.PeerAddress, DataCenter: req.DataCenter, Region: req.Region}
		t.relays[req.Host] = &relayState{info: info, lastSeen: t.now(), pending: true}
	}
	return resp
}

// advice tells a relay whether to step down or to turn other nodes of its data centre into relays.
type advice struct {
	// stepDown means that there are enough other relays.
	stepDown bool
	// moreRelays is the number of the relay's nodes that should become relays.
	moreRelays uint32
}

// sync stores a relay's report. It returns all relays, the digest of this list, and advice on the
// number of relays in the data centre.
func (t *relayTable) sync(req *apiv1.RelaySyncRequest) (list []*apiv1.RelayInfo, digest uint64, a advice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	t.relays[req.Relay.Host] = &relayState{info: req.Relay, report: req, lastSeen: t.now()}
	a = t.advise(req.Relay)
	if a.stepDown {
		delete(t.relays, req.Relay.Host)
	}
	list = t.list()
	return list, RelaysDigest(list), a
}

// advise returns the advice for a relay that keeps the number of relays close to the wanted number.
// If there are at least two too many, the last relay by host name is told to step down; with only
// one too many, nothing changes, so that the number does not oscillate. If there are too few, the
// first relay by host name is told to add the missing ones, at most as many as there are, once per
// growthInterval: with one at a time, the nodes of a large data centre would share two relays for
// most of a minute after a start.
func (t *relayTable) advise(relay *apiv1.RelayInfo) advice {
	peers := t.inDataCenter(relay.DataCenter)
	wantedRelays := t.wantedRelays(relay.DataCenter)
	first, last := peers[0].info.Host, peers[len(peers)-1].info.Host
	switch {
	case len(peers) > wantedRelays+1 && last == relay.Host:
		return advice{stepDown: true}
	case len(peers) < wantedRelays && first == relay.Host && t.now().Sub(t.lastGrowth[relay.DataCenter]) > growthInterval:
		t.lastGrowth[relay.DataCenter] = t.now()
		return advice{moreRelays: uint32(min(wantedRelays-len(peers), len(peers)))}
	}
	return advice{}
}

func (t *relayTable) list() []*apiv1.RelayInfo {
	list := make([]*apiv1.RelayInfo, 0, len(t.relays))
	for _, r := range t.relays {
		if !r.pending {
			list = append(list, r.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// RelaysDigest returns a digest of a list of relays, without their node counts.
func RelaysDigest(list []*apiv1.RelayInfo) uint64 {
	h := xxhash.New()
	for _, r := range list {
		_, _ = h.WriteString(r.Host + "\x00" + r.PeerAddress + "\x00" + r.DataCenter + "\x00")
	}
	return h.Sum64()
}

// summarize adds to resp how many nodes have the revision, and which do not, according to the
// reports of the relays.
func (t *relayTable) summarize(revision uint64, resp *apiv1.StatusResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
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
			if n.Revision < revision && len(resp.Behind) < maxBehindNodes {
				resp.Behind = append(resp.Behind, n)
			}
		}
	}
	sort.Slice(resp.Behind, func(i, j int) bool { return resp.Behind[i].Host < resp.Behind[j].Host })
	sort.Slice(resp.Draining, func(i, j int) bool { return resp.Draining[i].Host < resp.Draining[j].Host })
}
