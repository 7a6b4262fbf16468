package emulator

import (
	"sort"
	"time"

	"cactuspath/core/gate"
	"cactuspath/core/retry"
)

// ColdStart describes how a service's backend servers behave after a start.
type ColdStart struct {
	// For is how long a server is cold after its start. During this time, work takes
	// Factor times as long.
	For    Millis  `json:"for"`
	Factor float64 `json:"factor"`
	// PerSecond is the rate of requests that a cold server tolerates and to which its gate
	// limits it; 0 means no limit. The server crashes if the rate exceeds CrashFactor times
	// this value, and restarts after Down. It never crashes if CrashFactor is 0.
	PerSecond   float64 `json:"perSecond"`
	CrashFactor float64 `json:"crashFactor"`
	Down        Millis  `json:"down"`
}

// coldWindow is the length of the sliding window in which the requests started at a cold
// server are counted.
const coldWindow = time.Second

// serverState is the state of a backend server since its last start.
type serverState struct {
	down      bool
	coldUntil time.Duration
	// recentStarts contains the times of the request starts within the last coldWindow.
	recentStarts []time.Duration
}

// recordStart records a request start and reports whether it crashes the backend server
// because the server is cold and the rate of request starts is too high.
func (n *node) recordStart() bool {
	s, now := &n.state, n.sim.now()
	s.recentStarts = append(s.recentStarts, now)
	for s.recentStarts[0] <= now-coldWindow {
		s.recentStarts = s.recentStarts[1:]
	}
	cold := n.service.ColdStart
	return now < s.coldUntil && cold.CrashFactor > 0 && float64(len(s.recentStarts)) > cold.CrashFactor*cold.PerSecond
}

// crash simulates a crash of the backend server: its running requests are lost, and it
// restarts after the duration down.
func (n *node) crash(down time.Duration) {
	if n.state.down {
		return
	}
	n.state = serverState{down: true}
	for _, a := range n.runningAttempts() {
		n.server.remove(a.job)
		n.finishAttempt(a, gate.Failed)
		n.sim.deliver(n, a.call.origin, func() { a.onEnded(retry.Lost) })
	}
	n.handleEvents(n.gate.SetDown(n.sim.now(), true))
	n.sim.clock.After(down, n.restart)
}

func (n *node) restart() {
	now, cold := n.sim.now(), n.service.ColdStart
	n.state.down, n.state.coldUntil = false, now+cold.For.Duration()
	if cold.Factor > 0 {
		n.server.update(func() { n.server.slowness = cold.Factor })
		n.sim.clock.At(n.state.coldUntil, func() {
			if now := n.sim.now(); !n.state.down && now >= n.state.coldUntil {
				n.server.update(func() { n.server.slowness = 1 })
			}
		})
	}
	n.handleEvents(n.gate.ServerRestarted(now))
	n.gate.SetCold(now, cold.For.Duration())
	n.handleEvents(n.gate.SetDown(now, false))
}

// runningAttempts lists the attempts that run at the backend server, ordered by handle.
func (n *node) runningAttempts() []*attempt {
	var list []*attempt
	for _, a := range n.requests {
		if a.job != nil {
			list = append(list, a)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].handle < list[j].handle })
	return list
}
