package quarantine

import (
	"context"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/quarantine"
)

// Besides exchanging crash records with each other, nodes exchange them with control
// replicas. The replicas keep the records when all nodes have stopped, and a node that
// reaches no other node gets the records of the others through them.

const (
	// exchangeInterval is the interval at which a node exchanges records with a control
	// replica while it has something to send or may have missed something.
	exchangeInterval = quarantine.IdleCompareInterval
	// nodesAtFullRate is the number of nodes up to which each uses exchangeInterval. In a larger
	// fleet the interval grows with the number of nodes, so that the load on control stays the same.
	nodesAtFullRate = 256
	// exchangeTimeout limits one request to a control replica.
	exchangeTimeout = 500 * time.Millisecond
	// maxRounds bounds the requests in one exchange. They are the number that synchronizes
	// two ledgers: a comparison of digests, hashes, and the crashes that were requested.
	maxRounds = 4
)

// SendFunc sends messages to a control replica and returns its replies.
type SendFunc func(ctx context.Context, messages []*apiv1.QuarantineNews) ([]*apiv1.QuarantineNews, error)

// RunControlExchange exchanges crash records with control replicas until ctx is done. Each
// time, choose returns the function that sends messages to the replica to use, or nil if
// there is none.
func (t *Tracker) RunControlExchange(ctx context.Context, choose func() SendFunc) {
	// The first exchange is immediate: a node that has just started may have to refuse its
	// first request, because its content is already quarantined.
	for wait, active := time.Duration(0), true; ; wait, active = t.nextExchange() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		case <-t.exchangeNow:
			active = true
		}
		if send := choose(); active && send != nil {
			t.exchange(ctx, send)
		}
	}
}

func (t *Tracker) nextExchange() (wait time.Duration, active bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return exchangeInterval * time.Duration(1+t.gossip.Peers()/nodesAtFullRate), t.gossip.NeedsSync(t.now())
}

// exchange synchronizes the ledger with that of one replica. If the replica does not respond,
// nothing is retried, because the next exchange uses another replica.
func (t *Tracker) exchange(ctx context.Context, send SendFunc) {
	t.mu.Lock()
	messages := []*apiv1.QuarantineNews{toWire(t.options.Host, t.gossip.Compare())}
	t.mu.Unlock()
	for range maxRounds {
		sendCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		replies, err := send(sendCtx, messages)
		cancel()
		if err != nil {
			return
		}
		if messages = t.Answer(replies); len(messages) == 0 {
			return
		}
	}
}

// Answer processes received messages and returns the replies for their sender. Messages that
// result for other nodes are sent to those nodes as datagrams.
func (t *Tracker) Answer(messages []*apiv1.QuarantineNews) []*apiv1.QuarantineNews {
	var answers []*apiv1.QuarantineNews
	for _, news := range messages {
		from, m, err := fromWire(news)
		if err != nil {
			t.options.Counters.Malformed.Add(1)
			continue
		}
		t.update(func(now time.Duration) (others []quarantine.Envelope) {
			for _, p := range t.gossip.Receive(now, from, m) {
				if p.To == from {
					answers = append(answers, toWire(t.options.Host, p.Message))
				} else {
					others = append(others, p)
				}
			}
			return others
		})
	}
	return answers
}
