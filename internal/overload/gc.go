package overload

import (
	"runtime/debug"
	"sync"
)

// raisedGCPercent is the GC percentage while processor time is short. A node's live heap
// is a few megabytes, so a low percentage triggers many collections per second, which
// use up to a third of the processor time available.
const raisedGCPercent = 200

// processGC is shared by all monitors, because the GC percentage is set per process.
var processGC gcPercent

// gcPercent raises the GC percentage while at least one monitor needs it raised, and restores
// it afterwards.
type gcPercent struct {
	mu sync.Mutex
	// users is the number of monitors that need it raised; normal is the percentage to
	// restore.
	users, normal int
}

func (g *gcPercent) raise() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.users++
	if g.users > 1 {
		return
	}
	g.normal = debug.SetGCPercent(raisedGCPercent)
	if g.normal < 0 || g.normal > raisedGCPercent {
		debug.SetGCPercent(g.normal)
	}
}

func (g *gcPercent) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.users--
	if g.users == 0 {
		debug.SetGCPercent(g.normal)
	}
}
