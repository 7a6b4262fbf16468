package gate

import "time"

// What the gate is told of its backend server: that it leaves, cannot be reached, has
// started anew.

// SetDraining starts or ends a drain. Requests that wait move or are refused at
// once, since they would otherwise start on a server that is leaving.
func (g *Gate) SetDraining(now time.Duration, draining bool) []Event {
	return g.closeFor(now, Draining, &g.draining, draining)
}

// SetDown tells whether the backend server can be reached at all.
func (g *Gate) SetDown(now time.Duration, down bool) []Event {
	return g.closeFor(now, Down, &g.down, down)
}

// SetEvacuated tells whether the operator has emptied the server's data centre. What
// runs goes on; what waits moves, or is refused as not run.
func (g *Gate) SetEvacuated(now time.Duration, evacuated bool) []Event {
	if g.evacuated && !evacuated && g.config.ColdStarts > 0 {
		// Nothing kept the server warm meanwhile. It says so itself in a moment.
		g.SetCold(now, 0)
	}
	return g.closeFor(now, Evacuated, &g.evacuated, evacuated)
}

// closeFor notes whether there is a reason to take no new work; while there is, what
// waits leaves.
func (g *Gate) closeFor(now time.Duration, reason Reason, noted *bool, there bool) []Event {
	g.begin(now)
	*noted = there
	if there {
		g.refuseAll(now, reason)
	}
	g.announce(now)
	return g.take()
}

func (g *Gate) refuseAll(now time.Duration, reason Reason) {
	for _, it := range g.oldestFirst() {
		if !g.rebind(now, it, 0) {
			g.drop(it, reason, 0)
		}
	}
}

// ServerRestarted forgets what was believed of the backend server's earlier start:
// its failures, its speed and how long it has been slow. A server that crashed would
// otherwise be passed by for failures of its former self. What the gate remembers of
// attempts stays: those that ran at the earlier start have run, and are never called
// "not run". The work of each class of requests and what a crowd costs stay as well,
// since the program is the same.
func (g *Gate) ServerRestarted(now time.Duration) []Event {
	g.begin(now)
	g.outlier = outlier{}
	g.estimate = estimator{baseline: g.estimate.baseline, seen: g.estimate.seen, running: g.estimate.running, last: now}
	g.slow.restart(now)
	g.cold = coldness{} // SetCold follows if the new start says so
	g.announce(now)
	g.fill(now)
	return g.take()
}

// ForgetBefore tells that another gate stood before this backend server until now.
// Of attempts that were sent to that one this gate cannot tell whether they ran.
func (g *Gate) ForgetBefore(now time.Duration) {
	g.memory.forgotten, g.memory.anyForgotten = max(g.memory.forgotten, now), true
}
