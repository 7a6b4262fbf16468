package emulator

import (
	"math"
	"time"

	corelink "cactuspath/core/link"
	"cactuspath/core/mechanism"
	"cactuspath/internal/virtual"
)

const bytesPerKB = 1000

// link models the link of a host on which responses leave it. If it is paced, short
// responses are sent at once, at the cost of large ones, which are sent in the order in
// which they are ready. Otherwise all are sent in that order.
type link struct {
	clock          *virtual.Clock
	bytesPerSecond float64
	paced          bool
	queue          []*transfer
	sending        bool
	// sentAt is when the first transfer in the queue will have been sent.
	sentAt time.Duration
	// shortBytes were sent ahead of large responses since the last one began.
	shortBytes float64
}

// transfer is a response that is sent on a link. It is skipped if its attempt has ended.
type transfer struct {
	attempt *attempt
	bytes   float64
	sent    func()
}

// newLink returns the link of a host; nil if the scenario has none.
func newLink(sim *simulation) *link {
	if sim.scenario.LinkMbps == 0 {
		return nil
	}
	return &link{clock: &sim.clock, bytesPerSecond: sim.scenario.LinkMbps * corelink.BytesPerMegabit, paced: !sim.variant.Off.Has(mechanism.Link)}
}

// send sends a response and calls sent once it has left the host. A nil link takes no time.
func (l *link) send(a *attempt, bytes float64, sent func()) {
	switch {
	case l == nil:
		sent()
	case l.paced && bytes < corelink.LargeBytes:
		l.shortBytes += bytes
		l.clock.After(l.duration(bytes, 1), sent)
	default:
		l.queue = append(l.queue, &transfer{a, bytes, sent})
		if !l.sending {
			l.sendNext()
		}
	}
}

func (l *link) duration(bytes, share float64) time.Duration {
	return time.Duration(bytes / (share * l.bytesPerSecond) * float64(time.Second))
}

// largeShare is the share of the link that the queue gets.
func (l *link) largeShare() float64 {
	if l.paced {
		return corelink.LargeShare
	}
	return 1
}

func (l *link) sendNext() {
	for len(l.queue) > 0 && l.queue[0].attempt.settled {
		l.queue = l.queue[1:]
	}
	l.sending = len(l.queue) > 0
	if !l.sending {
		l.shortBytes = 0
		return
	}
	t := l.queue[0]
	l.sentAt = l.clock.Now() + l.duration(t.bytes+l.shortBytes, l.largeShare())
	l.shortBytes = 0
	l.clock.At(l.sentAt, func() {
		l.queue = l.queue[1:]
		t.sent()
		l.sendNext()
	})
}

// backlog is how long the link needs for the rest of the queue.
func (l *link) backlog() time.Duration {
	if l == nil || !l.sending {
		return 0
	}
	bytes := 0.0
	for _, t := range l.queue[1:] {
		if !t.attempt.settled {
			bytes += t.bytes
		}
	}
	return l.sentAt - l.clock.Now() + l.duration(bytes, l.largeShare())
}

// observeLink passes the backlog of the link to the gate.
func (n *node) observeLink() {
	if n.link != nil {
		n.gate.ObserveLink(n.sim.now(), n.link.backlog())
	}
}

// responseBytes draws the size of a response, which is lognormal like the work.
func (n *node) responseBytes(class *Class) float64 {
	if class.Response == 0 {
		return 0
	}
	size := class.Response * bytesPerKB * math.Exp(class.ResponseSpread*n.random.NormFloat64()-class.ResponseSpread*class.ResponseSpread/2)
	if class.MaxResponse > 0 {
		size = min(size, class.MaxResponse*bytesPerKB)
	}
	return size
}
