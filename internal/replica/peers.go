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
	peerQueue = 128
	// stepTimeout bounds one message to a peer, so that a link that went silent
	// is dialled anew before a follower behind it would stand for election.
	stepTimeout = 700 * time.Millisecond
	// snapshotTimeout bounds one that carries a snapshot, which is megabytes.
	snapshotTimeout = 5 * time.Second
)

// peers sends messages to the other replicas, one sender each, so that a slow
// or frozen peer holds up no other. Messages that do not fit are dropped: the
// algorithm sends again.
type peers struct {
	security *transport.Security
	counters *counters
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	senders  map[uint64]*sender
	// self is sent along, so that a newcomer knows where to answer.
	self        uint64
	selfAddress string
	// heard are the addresses that other replicas named themselves by. Guarded
	// by mu, since connections hear and the run loop sends.
	mu    sync.Mutex
	heard map[uint64]string
}

type sender struct {
	address string
	queue   chan *apiv1.RaftMessage
	stop    context.CancelFunc
}

func newPeers(security *transport.Security, counters *counters, self uint64, address string) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &peers{security: security, counters: counters, ctx: ctx, cancel: cancel, senders: map[uint64]*sender{}, self: self, selfAddress: address, heard: map[uint64]string{}}
}

// hear notes where a replica is reached.
func (p *peers) hear(id uint64, address string) {
	if address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[id] = address
}

// address is where a member is reached: as the members say, or, before this
// replica knows them, as the sender said itself.
func (p *peers) address(id uint64, members *apiv1.Membership) string {
	if m := consensus.FindMember(members, id); m != nil {
		return m.Address
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard[id]
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
	s = &sender{address: address, queue: make(chan *apiv1.RaftMessage, peerQueue), stop: stop}
	p.senders[id] = s
	client := apiv1connect.NewReplicaServiceClient(p.security.ControlClient(&p.counters.traffic), p.security.URL(address))
	p.wait.Add(1)
	go p.run(ctx, s, client)
	return s
}

func (p *peers) run(ctx context.Context, s *sender, client apiv1connect.ReplicaServiceClient) {
	defer p.wait.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			p.post(ctx, client, batch(m, s.queue))
		}
	}
}

func batch(first *apiv1.RaftMessage, queue <-chan *apiv1.RaftMessage) []*apiv1.RaftMessage {
	messages := []*apiv1.RaftMessage{first}
	for len(messages) < peerQueue {
		select {
		case m := <-queue:
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}

func (p *peers) post(ctx context.Context, client apiv1connect.ReplicaServiceClient, messages []*apiv1.RaftMessage) {
	timeout := stepTimeout
	for _, m := range messages {
		if m.Snapshot != nil {
			timeout = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if _, err := client.Step(ctx, connect.NewRequest(&apiv1.StepRequest{Messages: messages, From: p.self, FromAddress: p.selfAddress})); err != nil {
		p.counters.messagesFailed.Add(int64(len(messages)))
	}
}

func (p *peers) close() {
	p.cancel()
	p.wait.Wait()
}
