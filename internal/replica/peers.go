package replica

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/core/consensus"
	"cactuspath/internal/transport"
)

const (
	peerQueueSize = 128
	// stepTimeout limits the time to send messages to a peer. If a connection no longer delivers
	// data, a new one is opened after this time, early enough that a follower receives messages
	// before it starts an election.
	stepTimeout = 700 * time.Millisecond
	// snapshotTimeout replaces stepTimeout for messages with a snapshot, which can have several
	// megabytes.
	snapshotTimeout = 5 * time.Second
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
	// learnedAddresses are the addresses that other replicas sent for themselves. mu guards them,
	// since connection handlers write and the run loop reads.
	mu               sync.Mutex
	learnedAddresses map[uint64]string
}

type sender struct {
	address string
	queue   chan *apiv1.RaftMessage
	stop    context.CancelFunc
}

func newPeers(security *transport.Security, counters *counters, selfID uint64, address string) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &peers{security: security, counters: counters, ctx: ctx, cancel: cancel, senders: map[uint64]*sender{}, selfID: selfID, selfAddress: address, learnedAddresses: map[uint64]string{}}
}

// recordAddress stores the address that a replica sent for itself.
func (p *peers) recordAddress(id uint64, address string) {
	if address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnedAddresses[id] = address
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
	client := apiv1connect.NewReplicaServiceClient(p.security.ControlClient(&p.counters.traffic), p.security.URL(address))
	p.wg.Add(1)
	go p.run(ctx, s, client)
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
	timeout := stepTimeout
	for _, m := range messages {
		if m.Snapshot != nil {
			timeout = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if _, err := client.Step(ctx, connect.NewRequest(&apiv1.StepRequest{Messages: messages, From: p.selfID, FromAddress: p.selfAddress})); err != nil {
		p.counters.messagesFailed.Add(int64(len(messages)))
	}
}

func (p *peers) close() {
	p.cancel()
	p.wg.Wait()
}
