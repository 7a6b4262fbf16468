package quarantine

import (
	"context"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/quarantine"
)

// Nodes tell control replicas as well. These remember when all nodes have ended, and a
// node that reaches no other one hears of the others through them.

const (
	// askEvery is how often a node exchanges with a control replica while it has something
	// to tell or may have missed something.
	askEvery = quarantine.CalmEvery
	// nodesAsking is how many nodes may ask that often. In a larger fleet each asks less
	// often, so that control has no more to answer.
	nodesAsking = 256
	// askTimeout bounds one question.
	askTimeout = 500 * time.Millisecond
	// mostRounds is how many questions bring two ledgers together: a comparison, marks,
	// the ends that were asked for.
	mostRounds = 4
)

// Ask puts messages to some control replica and returns its messages.
type Ask func(ctx context.Context, messages []*apiv1.QuarantineNews) ([]*apiv1.QuarantineNews, error)

// Converse exchanges with control replicas until ctx ends, each time with the one that
// choose names; nil for none.
func (k *Keeper) Converse(ctx context.Context, choose func() Ask) {
	// The first exchange is at once: a node that has just started may have to refuse the
	// first request that comes.
	for wait, restless := time.Duration(0), true; ; wait, restless = k.untilNext() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		case <-k.ended:
			restless = true
		}
		if ask := choose(); restless && ask != nil {
			k.converse(ctx, ask)
		}
	}
}

func (k *Keeper) untilNext() (wait time.Duration, restless bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return askEvery * time.Duration(1+k.gossip.Peers()/nodesAsking), k.gossip.Restless(k.now())
}

// converse is one exchange with one replica. One that does not answer is made up for by
// the next, with another replica.
func (k *Keeper) converse(ctx context.Context, ask Ask) {
	k.mu.Lock()
	messages := []*apiv1.QuarantineNews{toWire(k.options.Host, k.gossip.Compare())}
	k.mu.Unlock()
	for range mostRounds {
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		replies, err := ask(asking, messages)
		cancel()
		if err != nil {
			return
		}
		if messages = k.Answer(replies); len(messages) == 0 {
			return
		}
	}
}

// Answer takes in messages and returns those for their sender; what others have to know
// is sent to them.
func (k *Keeper) Answer(messages []*apiv1.QuarantineNews) []*apiv1.QuarantineNews {
	var answers []*apiv1.QuarantineNews
	for _, news := range messages {
		from, m, err := fromWire(news)
		if err != nil {
			k.options.Counters.Malformed.Add(1)
			continue
		}
		k.with(func(now time.Duration) (others []quarantine.Parcel) {
			for _, p := range k.gossip.Receive(now, from, m) {
				if p.To == from {
					answers = append(answers, toWire(k.options.Host, p.Message))
				} else {
					others = append(others, p)
				}
			}
			return others
		})
	}
	return answers
}
