package emulator

import (
	"sort"
	"time"

	"cactuspath/core/gate"
	"cactuspath/core/retry"
)

// Cold is how backend servers of a service behave after a start.
type Cold struct {
	// For is how long they stay cold, in which work takes Factor times as long.
	For    Millis  `json:"for"`
	Factor float64 `json:"factor"`
	// PerSecond is how many requests a second one tolerates while it is cold; at more
	// than CrashFactor times that it ends, and is back after Down.
	PerSecond   float64 `json:"perSecond"`
	CrashFactor float64 `json:"crashFactor"`
	Down        Millis  `json:"down"`
}

// coldSpan is the span in which the requests of a cold server are counted.
const coldSpan = time.Second

// lifetime is the present start of a backend server.
type lifetime struct {
	down      bool
	coldUntil time.Duration
	// begun are the starts of requests within the last coldSpan.
	begun []time.Duration
}

// overrun counts the start of a request and tells whether it is one too many for a
// cold server.
func (n *node) overrun() bool {
	l, now := &n.life, n.s.now()
	l.begun = append(l.begun, now)
	for l.begun[0] <= now-coldSpan {
		l.begun = l.begun[1:]
	}
	cold := n.service.Cold
	return now < l.coldUntil && cold.CrashFactor > 0 && float64(len(l.begun)) > cold.CrashFactor*cold.PerSecond
}

// crash ends the backend server: what ran is lost, and it starts again after a while.
func (n *node) crash(down time.Duration) {
	if n.life.down {
		return
	}
	n.life = lifetime{down: true}
	for _, a := range n.running() {
		n.server.leave(a.job)
		n.leave(a, gate.Failed)
		n.s.between(n, a.call.origin, func() { a.ended(retry.Lost) })
	}
	n.carryOut(n.gate.SetDown(n.s.now(), true))
	n.s.clock.After(down, n.restart)
}

func (n *node) restart() {
	now, cold := n.s.now(), n.service.Cold
	n.life.down, n.life.coldUntil = false, now+cold.For.Duration()
	if cold.Factor > 0 {
		n.server.change(func() { n.server.slowness = cold.Factor })
		n.s.clock.At(n.life.coldUntil, func() {
			if now := n.s.now(); !n.life.down && now >= n.life.coldUntil {
				n.server.change(func() { n.server.slowness = 1 })
			}
		})
	}
	n.carryOut(n.gate.ServerRestarted(now))
	n.gate.SetCold(now, cold.For.Duration())
	n.carryOut(n.gate.SetDown(now, false))
}

// running lists the attempts at the backend server, by handle.
func (n *node) running() []*attempt {
	var list []*attempt
	for _, a := range n.requests {
		if a.job != nil {
			list = append(list, a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].handle < list[j].handle })
	return list
}
