package gate

import "time"

// State changes of the backend server that the gate is told about: draining,
// unreachable, evacuated, restarted.

// SetDraining starts or ends a drain. Waiting requests move or are refused immediately,
// since they would otherwise start on a server that is shutting down.
func (g *Gate) SetDraining(now time.Duration, draining bool) []Event {
	return g.setClosed(now, Draining, &g.draining, draining)
}

// SetDown sets whether the backend server is unreachable.
func (g *Gate) SetDown(now time.Duration, down bool) []Event {
	return g.setClosed(now, Down, &g.down, down)
}

// SetEvacuated sets whether the operator has evacuated the server's data centre.
// Running requests continue; waiting ones move or are refused as not run.
func (g *Gate) SetEvacuated(now time.Duration, evacuated bool) []Event {
	if g.evacuated && !evacuated && g.config.ColdStarts > 0 {
		// The server had no load to keep it warm during the evacuation. The server's
		// own report of whether it is cold will follow shortly.
		g.SetCold(now, 0)
	}
	return g.setClosed(now, Evacuated, &g.evacuated, evacuated)
}

// setClosed sets or clears a reason to accept no new requests. When a reason is set,
// waiting requests move or are refused.
func (g *Gate) setClosed(now time.Duration, reason Reason, flag *bool, closed bool) []Event {
	g.beginEvents(now)
	*flag = closed
	if closed {
		g.refuseAll(now, reason)
	}
	g.announce(now)
	return g.takeEvents()
}

func (g *Gate) refuseAll(now time.Duration, reason Reason) {
	for _, it := range g.oldestFirst() {
		if !g.tryMove(now, it, 0) {
			g.drop(it, reason, 0)
		}
	}
}

// ServerRestarted discards what was learned about the backend server before its
// restart: its failures, its speed and its persistent slowdown. Otherwise a server that
// crashed would be avoided for failures before the crash. The history of attempts is
// kept: an attempt that ran before the restart must never be reported as "not run". The
// demand of each class and the contention factor are kept as well, since the program is
// the same.
func (g *Gate) ServerRestarted(now time.Duration) []Event {
	g.beginEvents(now)
	g.outlier = outlier{}
	g.estimate = estimator{baseline: g.estimate.baseline, seen: g.estimate.seen, running: g.estimate.running, last: now}
	g.speed.restart(now)
	g.cold = coldState{} // SetCold follows if the restarted server says that it is cold
	g.limit, g.starts, g.earlierStartsAt, g.unheardUntil = namedLimit{}, startLog{}, 0, 0
	g.announce(now)
	g.startWaiting(now)
	return g.takeEvents()
}

// ServerReplaced discards the limit that the previous server at this gate named.
func (g *Gate) ServerReplaced(now time.Duration) []Event {
	g.beginEvents(now)
	g.limit = namedLimit{}
	g.startWaiting(now)
	g.announce(now)
	return g.takeEvents()
}

// StartHistoryAt records that another gate served this backend server until now. For
// attempts sent to that gate, this one cannot tell whether they ran.
func (g *Gate) StartHistoryAt(now time.Duration) {
	g.history.forgottenUpTo, g.history.anyForgotten = max(g.history.forgottenUpTo, now), true
}
