package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func config(slots, queue int) Config { return Config{Slots: slots, Queue: queue} }

func request(h Handle) Request {
	return Request{Handle: h, ID: AttemptID{Request: [2]uint64{1, uint64(h)}, Attempt: 1}, Caller: "c", Deadline: time.Hour, Movable: true}
}

func kinds(events []Event) []EventKind {
	var out []EventKind
	for _, e := range events {
		if e.Kind != Send {
			out = append(out, e.Kind)
		}
	}
	return out
}

func TestAdmission(t *testing.T) {
	g := New("a", config(1, 1), 0)
	assert.DeepEqual(t, kinds(g.Arrive(0, request(1))), []EventKind{Started})
	assert.Equal(t, len(kinds(g.Arrive(0, request(2)))), 0)
	full := g.Arrive(0, request(3))
	assert.DeepEqual(t, kinds(full), []EventKind{Refused})
	assert.Equal(t, full[0].Reason, QueueFull)
	assert.Assert(t, full[0].RetryAfter > 0)
	next := g.Finish(5*ms, 1, Completed)
	assert.DeepEqual(t, kinds(next), []EventKind{Started})
	assert.Equal(t, next[0].Handle, Handle(2))
}

// Guards against running a request twice: after a lost response, the gate tells the
// caller that a waiting attempt never started, and the caller runs the request
// elsewhere. If the attempt arrives again late, it must be refused.
func TestRevokedAttemptNeverRuns(t *testing.T) {
	g := New("a", config(1, 5), 0)
	g.Arrive(0, request(1))
	g.Arrive(0, request(2))
	answer, events := g.Revoke(ms, request(2).ID, ms)
	assert.Equal(t, answer, RevokeNeverStarted)
	assert.Equal(t, events[0].Reason, Revoked)
	late := request(9)
	late.ID = request(2).ID
	refused := g.Arrive(2*ms, late)
	assert.Equal(t, refused[0].Reason, Fenced)
	assert.Equal(t, len(kinds(g.Finish(3*ms, 1, Completed))), 0)
}

// Guards against running an attempt that arrives after the revoke for it because the
// revoke overtook it in transit: the fence that the revoke left must refuse the
// attempt.
func TestRevokeThatOvertakesTheAttempt(t *testing.T) {
	g := New("a", config(1, 5), 0)
	answer, _ := g.Revoke(0, request(1).ID, ms)
	assert.Equal(t, answer, RevokeNeverStarted)
	assert.Equal(t, g.Arrive(ms, request(1))[0].Reason, Fenced)
}

// A running or finished attempt must never be reported as never started.
func TestRevokeReportsRunningAndFinished(t *testing.T) {
	g := New("a", config(1, 5), 0)
	g.Arrive(0, request(1))
	answer, _ := g.Revoke(0, request(1).ID, 0)
	assert.Equal(t, answer, RevokeRunning)
	g.Finish(ms, 1, Completed)
	answer, _ = g.Revoke(2*ms, request(1).ID, 2*ms)
	assert.Equal(t, answer, RevokeFinished)
}

// A gate remembers a limited number of finished attempts. An attempt whose record may
// have been discarded must not be reported as never started.
func TestForgottenAttemptIsUnknown(t *testing.T) {
	g := New("a", config(10, 5), 0)
	for h := Handle(1); h <= maxFinished+10; h++ {
		g.Arrive(0, request(h))
		g.Finish(ms, h, Completed)
	}
	answer, _ := g.Revoke(ms, request(1).ID, ms)
	assert.Equal(t, answer, RevokeUnknown)
	answer, _ = g.Revoke(time.Minute, AttemptID{Request: [2]uint64{7, 7}}, ms)
	assert.Equal(t, answer, RevokeNeverStarted)
}

// Guards against unfair queueing: one caller sends far more than its share and fills
// the queue. A single request of another caller must neither wait behind all requests
// of the first caller nor be refused.
func TestNoisyCallerDoesNotStarveAQuietOne(t *testing.T) {
	g := New("a", config(1, 20), 0)
	for h := Handle(1); h <= 21; h++ {
		g.Arrive(0, request(h))
	}
	quiet := request(100)
	quiet.Caller = "quiet"
	events := g.Arrive(ms, quiet)
	assert.Equal(t, events[0].Kind, Refused)
	assert.Equal(t, events[0].Handle, Handle(21))
	g.Finish(2*ms, 1, Completed)
	started := g.Finish(3*ms, 2, Completed)
	assert.Equal(t, started[0].Handle, Handle(100))
}

// During a drain nothing new starts, waiting requests are immediately refused as not
// run, and running requests finish.
func TestDrainStartsNothingNew(t *testing.T) {
	g := New("a", config(1, 5), 0)
	g.Arrive(0, request(1))
	g.Arrive(0, request(2))
	events := g.SetDraining(ms, true)
	assert.Equal(t, events[0].Handle, Handle(2))
	assert.Equal(t, events[0].Reason, Draining)
	assert.Equal(t, g.Arrive(ms, request(3))[0].Reason, Draining)
	assert.Equal(t, len(kinds(g.Finish(2*ms, 1, Completed))), 0)
	assert.Equal(t, g.InFlight(), 0)
}

func slowGate(t *testing.T) *Gate {
	t.Helper()
	g := New("a", Config{Slots: 4, Queue: 40, Siblings: true, ReportsPerSecond: 1000, BytesPerSecond: 1 << 20}, 0)
	g.SetSiblings([]Sibling{{Host: "b", Distance: ms / 4}})
	now := time.Duration(0)
	for h := Handle(1000); h < 1040; h++ {
		g.Arrive(now, request(h))
		now += 50 * ms
		g.Finish(now, h, Completed)
	}
	return g
}

// A request moves, before it runs, to a sibling that is free and far faster, but not to
// one that reported itself as full, draining or failing.
func TestRequestMovesToAFasterSibling(t *testing.T) {
	fast := Load{Slots: 4, Service: ms}
	cases := []struct {
		desc  string
		load  Load
		moved bool
	}{
		{"free and fast", fast, true},
		{"draining", Load{Slots: 4, Service: ms, Draining: true}, false},
		{"full", Load{Slots: 4, Service: ms, Full: true}, false},
		{"failing", Load{Slots: 4, Service: ms, Failing: true}, false},
		{"equally slow", Load{Slots: 4, Service: 50 * ms}, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			g := slowGate(t)
			now := 2 * time.Second
			g.ApplyReport(now, Report{Host: "b", Incarnation: 1, Sequence: 1, Load: c.load})
			got := kinds(g.Arrive(now, request(1)))
			want := Started
			if c.moved {
				want = Moved
			}
			assert.DeepEqual(t, got, []EventKind{want})
		})
	}
}

// Reports may arrive out of order. An older one must not replace a newer one, or
// requests would move to a sibling that has become busy since the older report.
func TestOlderReportChangesNothing(t *testing.T) {
	g := slowGate(t)
	now := 2 * time.Second
	g.ApplyReport(now, Report{Host: "b", Incarnation: 1, Sequence: 9, Load: Load{Slots: 4, Service: 50 * ms}})
	g.ApplyReport(now, Report{Host: "b", Incarnation: 1, Sequence: 3, Load: Load{Slots: 4, Service: ms}})
	assert.DeepEqual(t, kinds(g.Arrive(now, request(1))), []EventKind{Started})
	g.ApplyReport(now, Report{Host: "b", Incarnation: 2, Sequence: 1, Load: Load{Slots: 4, Service: ms}})
	assert.DeepEqual(t, kinds(g.Arrive(now, request(2))), []EventKind{Moved})
}

// A request that has moved as often as allowed stays, however fast a sibling is.
func TestRequestThatMovedStays(t *testing.T) {
	g := slowGate(t)
	now := 2 * time.Second
	g.ApplyReport(now, Report{Host: "b", Incarnation: 1, Sequence: 1, Load: Load{Slots: 4, Service: ms}})
	r := request(1)
	r.Movable = false
	assert.DeepEqual(t, kinds(g.Arrive(now, r)), []EventKind{Started})
}

// Guards against a server that fails fast: it responds to every request immediately
// with an error, so it looks idle and attracts requests. Its gate compares the server's
// failure ratio with those of the siblings and moves requests to the siblings, except
// for occasional trials.
func TestRequestsMoveAwayFromFailFastServer(t *testing.T) {
	g := New("a", Config{Slots: 4, Queue: 40, Siblings: true, ReportsPerSecond: 1000, BytesPerSecond: 1 << 20}, 0)
	g.SetSiblings([]Sibling{{Host: "b"}})
	g.ApplyReport(0, Report{Host: "b", Incarnation: 1, Sequence: 1, Load: Load{Slots: 4, Service: 20 * ms}})
	moved := 0
	for h := Handle(1); h <= 100; h++ {
		now := time.Duration(h) * ms
		for _, e := range g.Arrive(now, request(h)) {
			switch e.Kind {
			case Started:
				g.Finish(now+ms/10, h, Failed)
			case Moved:
				moved++
			}
		}
	}
	assert.Assert(t, moved >= 80, "moved %d of 100 requests", moved)
}

// Invariants under any order of events: every request gets exactly one of started,
// moved or refused; no more requests run than there are slots; a started request is
// never moved or refused; and an attempt does not start after Revoke has returned
// RevokeNeverStarted for it.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		g := New("a", Config{Slots: slots, Queue: rapid.IntRange(0, 6).Draw(t, "queue"), Siblings: true, ReportsPerSecond: 50, BytesPerSecond: 1 << 20}, 0)
		g.SetSiblings([]Sibling{{Host: "b"}, {Host: "c"}})
		decision := map[Handle]EventKind{}
		revoked := map[AttemptID]bool{}
		ids := map[Handle]AttemptID{}
		running := map[Handle]bool{}
		now := time.Duration(0)
		next := Handle(0)
		take := func(events []Event) {
			for _, e := range events {
				if e.Kind == Send {
					continue
				}
				if decision[e.Handle] != 0 {
					t.Fatalf("request %d got event %d after event %d", e.Handle, e.Kind, decision[e.Handle])
				}
				decision[e.Handle] = e.Kind
				if e.Kind == Started {
					if revoked[ids[e.Handle]] {
						t.Fatalf("request %d runs although its revoke answered never-started", e.Handle)
					}
					running[e.Handle] = true
				}
			}
			if len(running) > slots {
				t.Fatalf("%d requests run on %d slots", len(running), slots)
			}
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 8).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				next++
				r := request(next)
				r.Deadline = now + time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline"))*ms
				r.Caller = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller")
				r.ID.Request[1] = uint64(rapid.IntRange(1, 60).Draw(t, "id"))
				ids[next] = r.ID
				take(g.Arrive(now, r))
			case 3:
				for h := range running {
					delete(running, h)
					take(g.Finish(now, h, Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))))
					break
				}
			case 4:
				id := AttemptID{Request: [2]uint64{1, uint64(rapid.IntRange(1, 60).Draw(t, "id"))}, Attempt: 1}
				answer, events := g.Revoke(now, id, ms)
				if answer == RevokeNeverStarted {
					revoked[id] = true
					for h := range running {
						if ids[h] == id {
							t.Fatalf("request %d runs although its revoke answered never-started", h)
						}
					}
				}
				take(events)
			case 5:
				host := rapid.SampledFrom([]string{"b", "c"}).Draw(t, "host")
				g.ApplyReport(now, Report{Host: host, Incarnation: 1, Sequence: uint64(now + 1), Load: Load{Slots: 2, Service: time.Duration(rapid.IntRange(1, 40).Draw(t, "service")) * ms}})
			case 6:
				take(g.Tick(now))
			case 7:
				take(g.SetDraining(now, rapid.IntRange(0, 3).Draw(t, "draining") == 0))
			}
		}
		take(g.SetDraining(now, true))
		for h := Handle(1); h <= next; h++ {
			if decision[h] == 0 {
				t.Fatalf("request %d was neither started, moved nor refused", h)
			}
		}
	})
}

// If the server stalls, the estimated service time must rise within a few service
// times, although no request ends.
func TestEstimateShowsAStall(t *testing.T) {
	g := New("a", config(4, 10), 0)
	now := time.Duration(0)
	for h := Handle(1); h <= 100; h++ {
		g.Arrive(now, request(h))
		now += 5 * ms
		g.Finish(now, h, Completed)
	}
	before := g.Load(now).Service
	for h := Handle(201); h <= 204; h++ {
		g.Arrive(now, request(h))
	}
	after := g.Load(now + 20*ms).Service
	assert.Assert(t, after > 2*before, "service time estimate %v before the stall, %v during it", before, after)
}

// The same attempt arrives again while it runs, and once more after it has finished. It
// must not run twice.
func TestSameAttemptDoesNotRunTwice(t *testing.T) {
	g := New("a", config(2, 5), 0)
	g.Arrive(0, request(1))
	again := request(2)
	again.ID = request(1).ID
	assert.Equal(t, g.Arrive(ms, again)[0].Reason, Duplicate)
	g.Finish(2*ms, 1, Completed)
	again.Handle = 3
	assert.Equal(t, g.Arrive(3*ms, again)[0].Reason, Duplicate)
}

// Guards against avoiding a server that crashed and restarted because of failures
// before the restart. The gate still remembers which attempts ran there.
func TestRestartForgetsFailuresAndKeepsFinishedAttempts(t *testing.T) {
	g := New("a", Config{Slots: 2, Queue: 2, Siblings: true}, 0)
	g.SetSiblings([]Sibling{{Host: "b"}})
	g.ApplyReport(0, Report{Host: "b", Incarnation: 1, Sequence: 1, Load: Load{Slots: 2}})
	for i := range 10 {
		at := time.Duration(i) * time.Millisecond
		g.Arrive(at, Request{Handle: Handle(i + 1), ID: AttemptID{Attempt: uint32(i + 1)}, Deadline: time.Minute})
		g.Finish(at, Handle(i+1), Failed)
	}
	assert.Assert(t, g.Load(10*time.Millisecond).Failing)
	g.ServerRestarted(10 * time.Millisecond)
	assert.Assert(t, !g.Load(10*time.Millisecond).Failing)
	answer, _ := g.Revoke(11*time.Millisecond, AttemptID{Attempt: 3}, time.Millisecond)
	assert.Equal(t, answer, RevokeFinished)
}

// Guards against taking a request whose caller left before it was sent for one that ran, or for
// a failure of the server.
func TestRequestThatWasNotSentLeavesNoTrace(t *testing.T) {
	g := New("a", Config{Slots: 1, Queue: 1}, 0)
	id := AttemptID{Request: [2]uint64{1, 1}, Attempt: 1}
	g.Arrive(0, Request{Handle: 1, ID: id, Caller: "c", Deadline: time.Second})
	g.Finish(0, 1, NotSent)
	assert.Equal(t, g.Load(0).FailRatio, 0.0)
	answer, _ := g.Revoke(0, id, 0)
	assert.Equal(t, answer, RevokeNeverStarted)
}
