package gate

import (
	"sort"
	"time"

	"cactuspath/core/mechanism"
)

// Requests that run on a server which turned slow under them.

const (
	// hintGain is how many times sooner a sibling must be expected to end a request
	// anew than it ends here. A second attempt costs work and budget, so that it
	// has to gain more than a move.
	hintGain = 1.3
	// hintSlowdown is from which slowdown on running requests are looked at.
	hintSlowdown = 2.5
	// restShare is the part of a usual demand that is taken to be left of a request
	// which has had more than that already.
	restShare = 0.25
)

// hintStuck looks for requests that run on a server which turned slow under them.
// Only the gate knows that at once; the request's caller decides what follows.
func (g *Gate) hintStuck(now time.Duration) {
	if g.off(mechanism.Hints) || !g.config.Siblings || !g.told(now) {
		return
	}
	for _, it := range g.runningByHandle() {
		if !it.Repeatable || it.hinted {
			continue
		}
		here := g.stuckFor(now, it)
		if here == 0 {
			continue
		}
		sib, there := g.soonest(now, it)
		if sib == nil || !sib.roomy() || float64(there)*hintGain > float64(here) || now+there > it.Deadline {
			continue
		}
		it.hinted = true
		sib.sent = append(sib.sent, now)
		g.emit(Event{Kind: Hint, Handle: it.Handle, To: sib.Host})
	}
}

// overdue is how many times its expected time a request has to run before its caller
// is told, where nothing else shows that it is stuck. Work that varies by a third takes
// twice its mean once in a hundred times.
const overdue = 2

// stuckFor is how much longer a running request is expected to take, if it is stuck;
// 0 if it is not.
func (g *Gate) stuckFor(now time.Duration, it *item) time.Duration {
	usual := g.slow.demandOf(it.Request)
	if !g.slow.keepsPace() {
		if g.slow.factor < hintSlowdown {
			return 0
		}
		return g.slow.expected(max(restShare*usual, usual-(g.slow.worked-it.workedAt)))
	}
	took := float64(now - it.started)
	slowest := usual * it.pace.worst()
	switch {
	case it.pace.sure() && it.pace.factor >= hintSlowdown*g.slow.lastingFactor():
		// It started in a slow time since no other server was better.
		return time.Duration(max(restShare*slowest, slowest-took))
	case it.pace.confirmed && it.pace.worst() >= hintSlowdown*g.slow.lastingFactor() && took > 1.5*usual*min(it.pace.factor, it.pace.after):
		// The speed changed near its start, and it has run for longer than at the better one.
		return time.Duration(max(restShare*slowest, slowest-took))
	case took > overdue*usual*it.pace.factor:
		// Nothing tells for how much longer; what has taken long takes as long again.
		return time.Duration(took)
	}
	return 0
}

// hintRoom is up to which share of its slots a sibling may be taken to get second
// attempts: on a busy service they would push first ones aside.
const hintRoom = 0.7

// roomy tells whether a sibling has slots to spare.
func (s *sibling) roomy() bool {
	l := s.report.Load
	return float64(l.Running+l.Waiting+len(s.sent)) < hintRoom*float64(l.Slots)
}

func (g *Gate) runningByHandle() []*item {
	var list []*item
	for _, it := range g.items {
		if it.state == stateRunning {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Handle < list[j].Handle })
	return list
}
