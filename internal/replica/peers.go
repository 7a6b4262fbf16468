package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/core/consensus"
	"cactuspath/internal/transport"
)

const (
	peerQueueSize = 128
	// stepTimeout limits the time to send messages to a peer, besides the time for their bytes at
	// minPeerBandwidth, in bytes per second. If a connection no longer delivers data, a new one is
	// opened after this time: together with the interval of heartbeats and a dial, less than the
	// shortest election timeout.
	stepTimeout      = 300 * time.Millisecond
	minPeerBandwidth = 1 << 20
	// snapshotTimeout is the least time for messages with a snapshot, which the peer stores
	// before it goes on.
	snapshotTimeout = 5 * time.Second
	// suspectAfter is the time without messages of a peer after which its connections to this
	// replica are taken to have been lost, and so those of this replica to it. A leader sends its
	// heartbeats at half of this interval.
	suspectAfter = stepTimeout
)

// peers sends messages to the other replicas. Each peer has its own sender, so that a slow or
// frozen peer does not delay the others. Messages that do not fit into a queue are dropped; the
// consensus algorithm retransmits them.
type peers struct {
	security *transport.Security
	counters *counters
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	senders  map[uint64]*sender
	// selfID and selfAddress are included in each request, so that a new member knows where to
	// reply.
	selfID      uint64
	selfAddress string
	// mu guards the following fields, which connection handlers and the run loop use.
	mu sync.Mutex
	// learnedAddresses are the addresses that other replicas sent for themselves, lastHeard is when
	// each of them last sent messages, and clients are the clients to send to it.
	learnedAddresses map[uint64]string
	lastHeard        map[uint64]time.Time
	clients          map[uint64]*http.Client
}

type sender struct {
	address string
	queue   chan *apiv1.RaftMessage
	stop    context.CancelFunc
}

func newPeers(security *transport.Security, counters *counters, selfID uint64, address string) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &peers{security: security, counters: counters, ctx: ctx, cancel: cancel, senders: map[uint64]*sender{}, selfID: selfID, selfAddress: address,
		learnedAddresses: map[uint64]string{}, lastHeard: map[uint64]time.Time{}, clients: map[uint64]*http.Client{}}
}

// heard records that a replica sent messages, and the address that it sent for itself. After a
// time without any, the connection that is open to it is not used again: it may have been lost
// without a reset, like those on which the messages of that time were sent.
func (p *peers) heard(id uint64, address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address != "" {
		p.learnedAddresses[id] = address
	}
	if client := p.clients[id]; client != nil && now.Sub(p.lastHeard[id]) > suspectAfter {
		client.CloseIdleConnections()
	}
	p.lastHeard[id] = now
}

// address returns the address of a member according to the membership. If the membership known to
// this replica does not contain the member yet, it returns the address that the member sent.
func (p *peers) address(id uint64, members *apiv1.Membership) string {
	if m := consensus.FindMember(members, id); m != nil {
		return m.Address
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.learnedAddresses[id]
}

func (p *peers) send(messages []*apiv1.RaftMessage, members *apiv1.Membership) {
	for _, m := range messages {
		s := p.sender(m.To, members)
		if s == nil {
			continue
		}
		select {
		case s.queue <- m:
			p.counters.messagesSent.Add(1)
		default:
			p.counters.messagesDropped.Add(1)
		}
	}
}

func (p *peers) sender(id uint64, members *apiv1.Membership) *sender {
	s := p.senders[id]
	address := p.address(id, members)
	if address == "" || s != nil && s.address == address {
		return s
	}
	if s != nil {
		s.stop()
	}
	ctx, stop := context.WithCancel(p.ctx)
	s = &sender{address: address, queue: make(chan *apiv1.RaftMessage, peerQueueSize), stop: stop}
	p.senders[id] = s
	client := p.security.ControlClient(&p.counters.traffic)
	p.mu.Lock()
	p.clients[id] = client
	p.mu.Unlock()
	p.wg.Add(1)
	go p.run(ctx, s, apiv1connect.NewReplicaServiceClient(client, p.security.URL(address), transport.ReadLimit()))
	return s
}

func (p *peers) run(ctx context.Context, s *sender, client apiv1connect.ReplicaServiceClient) {
	defer p.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			p.sendBatch(ctx, client, nextBatch(m, s.queue))
		}
	}
}

func nextBatch(first *apiv1.RaftMessage, queue <-chan *apiv1.RaftMessage) []*apiv1.RaftMessage {
	messages := []*apiv1.RaftMessage{first}
	for len(messages) < peerQueueSize {
		select {
		case m := <-queue:
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}

func (p *peers) sendBatch(ctx context.Context, client apiv1connect.ReplicaServiceClient, messages []*apiv1.RaftMessage) {
	req := &apiv1.StepRequest{Messages: messages, From: p.selfID, FromAddress: p.selfAddress}
	timeout := stepTimeout + time.Duration(proto.Size(req))*time.Second/minPeerBandwidth
	for _, m := range messages {
		if m.Snapshot != nil {
			timeout = max(timeout, snapshotTimeout)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if _, err := client.Step(ctx, connect.NewRequest(req)); err != nil {
		p.counters.messagesFailed.Add(int64(len(messages)))
	}
}

func (p *peers) close() {
	p.cancel()
	p.wg.Wait()
}
