package replica

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/internal/testnet"
)

// testPeer is a replica that only exchanges messages: it answers each heartbeat with a reply.
type testPeer struct {
	r       *Replica
	address string

	mu          sync.Mutex
	lastArrival time.Time
	longestGap  time.Duration
}

// startPeer starts a replica that answers to the members. They are set before the first message.
func startPeer(t *testing.T, id uint64, network *testnet.Silencer, members *apiv1.Membership) *testPeer {
	t.Helper()
	r := &Replica{inbox: make(chan []*apiv1.RaftMessage, inputQueueSize), done: make(chan struct{}), counters: newCounters()}
	p := &testPeer{r: r}
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewReplicaServiceHandler(replicaService{r}))
	s := httptest.NewUnstartedServer(mux)
	s.Listener = network.Listen(s.Listener)
	p.address = s.Listener.Addr().String()
	r.peers = newPeers(nil, r.counters, id, p.address)
	s.Start()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-r.done:
				return
			case messages := <-r.inbox:
				p.receive(messages, members)
			}
		}
	}()
	t.Cleanup(func() {
		close(r.done)
		<-stopped
		r.peers.close()
		s.Close()
	})
	return p
}

func (p *testPeer) receive(messages []*apiv1.RaftMessage, members *apiv1.Membership) {
	p.mu.Lock()
	if !p.lastArrival.IsZero() {
		p.longestGap = max(p.longestGap, time.Since(p.lastArrival))
	}
	p.lastArrival = time.Now()
	p.mu.Unlock()
	for _, m := range messages {
		if m.Kind == apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT {
			p.r.peers.send([]*apiv1.RaftMessage{{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, From: m.To, To: m.From}}, members)
		}
	}
}

// gap returns the longest time without messages since the first one.
func (p *testPeer) gap() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.longestGap, time.Since(p.lastArrival))
}

// Guards against a leader that loses its role because its connections to the followers, or theirs
// to it, fell silent without a reset although new ones work.
func TestLeaderIsHeardInTimeAfterConnectionsFellSilent(t *testing.T) {
	const heartbeats = 12
	var network testnet.Silencer
	members := &apiv1.Membership{}
	leader, follower := startPeer(t, 1, &network, members), startPeer(t, 2, &network, members)
	members.Members = []*apiv1.Member{{Id: 1, Address: leader.address}, {Id: 2, Address: follower.address}}
	for i := range heartbeats {
		if i == heartbeats/3 {
			network.Silence()
		}
		leader.r.peers.send([]*apiv1.RaftMessage{{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 1, To: 2}}, members)
		time.Sleep(heartbeatTicks * tickInterval)
	}
	const shortestElectionTimeout = electionTicks * tickInterval
	assert.Check(t, follower.gap() < shortestElectionTimeout, "the follower did not hear the leader for %v", follower.gap())
	assert.Check(t, leader.gap() < shortestElectionTimeout, "the leader had no reply for %v", leader.gap())
}
