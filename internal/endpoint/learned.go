package endpoint

import (
	"time"

	"cactuspath/core/gate"
)

// Learned returns what the gate has measured of the backend server's program.
func (e *Endpoint) Learned() gate.Learned {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gate.Learned()
}

// Seed gives the gate the profile of its service.
func (e *Endpoint) Seed(profile gate.Learned) {
	e.runGate(func(now time.Duration) []gate.Event { return e.gate.Seed(now, profile) })
}
