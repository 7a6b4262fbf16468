package proxy

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"cactuspath/api/fault"
	"cactuspath/core/retry"
	"cactuspath/internal/hop"
)

// This file drives the order of retries by need. core/retry decides; here is what a node knows
// of a request's need, and when its caller should come back.

// returns tells which requests come back. There is one for all services: the content of a
// request includes its host and path, so that requests of different services do not match.
type returns struct {
	mu    sync.Mutex
	state retry.Returns
}

// cameBack reports whether the caller sends the request again after an earlier try of its own.
func (c *call) cameBack() bool {
	if !c.content.Known() || !c.h.RetryByNeed() {
		return false
	}
	r, now := &c.h.returns, c.h.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.CameBack(now, uint64(c.content.Exact))
}

// recordGivenUp records a request that was given up, if its caller may send it again.
func (c *call) recordGivenUp(kind fault.Kind) {
	if !c.content.Known() || !callerMayRetry(kind) || !c.h.RetryByNeed() {
		return
	}
	r, now := &c.h.returns, c.h.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.GivenUp(now, uint64(c.content.Exact))
}

// callerMayRetry reports whether a request that was given up with this kind of fault did not
// run and may be served if its caller sends it again soon.
func callerMayRetry(kind fault.Kind) bool {
	switch kind {
	case fault.NotRun, fault.Overloaded, fault.DeadlinePassed, fault.NoEndpoint:
		return true
	}
	return false
}

// RetriesRefusedByNeed returns how many retries and hedged requests were refused to leave the
// retry budget to requests of higher need.
func (h *Handler) RetriesRefusedByNeed() (sum uint64) {
	for _, s := range h.allServices() {
		sum += s.retriesRefusedByNeed()
	}
	return sum
}

// next returns what follows an attempt.
func (c *call) next(ended retry.Result) retry.Action {
	if c.h.RetryByNeed() && c.isNestedCall() {
		c.rules.Need = retry.Call
	}
	return c.s.nextAction(&c.rules, ended, c.tried)
}

// countRetry counts a retry.
func (c *call) countRetry() {
	c.h.options.Counters.Retries.Add(1)
	if c.h.RetryByNeed() {
		c.h.options.Counters.RetriesByNeed.Add(c.rules.Need.String(), 1)
	}
}

// isNestedCall reports whether the backend server on this host makes the request for one that
// it runs: the ID of a call is the ID of its parent, a dot and a suffix. The parent must run
// here, so that callers that use dots in their IDs gain nothing.
func (c *call) isNestedCall() bool {
	if c.out.ID == "" || !strings.Contains(c.out.ID, ".") {
		return false
	}
	local := c.h.options.Local.Endpoint(c.h.callerService())
	if local == nil {
		return false
	}
	return local.Runs(func(id string) bool {
		return id != "" && len(c.out.ID) > len(id) && c.out.ID[len(id)] == '.' && strings.HasPrefix(c.out.ID, id)
	})
}

// rejectedRetryAfter returns when the caller of a request that was given up should come back,
// if the last server rejected it although there is room. Ok is false in all other cases: a
// gate that has no room tells when it will.
func (c *call) rejectedRetryAfter(action retry.Action) (after time.Duration, ok bool) {
	if !c.h.RetryByNeed() || action != retry.GiveUpNotRun || c.lastReply.Verdict != hop.Rejected || c.retryAfter > 0 || !c.s.hasRoom(c.h.now()) {
		return 0, false
	}
	return retry.MinRejectedRetryAfter + rand.N(retry.MaxRejectedRetryAfter-retry.MinRejectedRetryAfter), true
}

// needForLog returns the request's need, or "" unless retries go by need.
func (c *call) needForLog() string {
	if !c.h.RetryByNeed() {
		return ""
	}
	return c.rules.Need.String()
}
