package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// These tests model servers whose hosts are seven times slower for half a second to two
// seconds, a quarter of the time, and where a request's speed is fixed at its start. On
// such servers, 43 in 100 of 1,080 calls that started in a slow period reached their
// timeout of six times their service time, against 1 in 100 of the calls that started
// outside one (logs of 195 nodes).

// serveRequest runs one request to completion, with the given slowdowns reported for
// its first 25 ms and for the rest.
func serveRequest(g *Gate, now time.Duration, h Handle, first, rest float64, took time.Duration) time.Duration {
	g.ObserveSlowdown(now, first)
	r := classRequest(h, "work", 4*time.Second, now)
	r.Movable = false
	g.Arrive(now, r)
	g.ObserveSlowdown(now+ms, first)
	g.ObserveSlowdown(now+25*ms, rest)
	g.Finish(now+took, h, Completed)
	return now + took
}

// variableSpeedGate returns a gate that has learned that the speed of running requests
// follows the server's speed.
func variableSpeedGate(slots int) (*Gate, time.Duration) {
	g, now := gateWithReports(slots)
	for i := range 10 {
		// After a quarter of the demand, the server and the running request become
		// seven times slower.
		now = serveRequest(g, now, Handle(2000+i), 1, 7, 550*ms)
	}
	g.ObserveSlowdown(now, 1)
	return g, now
}

// Whether the speed of requests is fixed at their start determines which requests wait
// and which get a second attempt. A gate learns this from requests that were running
// when the speed changed, and learns it anew when the server is replaced by one of the
// other kind.
func TestGateLearnsWhetherSpeedIsFixedAtStart(t *testing.T) {
	g, now := gateWithReports(10)
	assert.Assert(t, g.speed.speedFixedAtStart(), "a fixed speed is assumed initially")
	for i := range 10 {
		now = serveRequest(g, now, Handle(2000+i), 1, 7, 550*ms)
	}
	assert.Assert(t, !g.speed.speedFixedAtStart())
	for i := range 20 {
		now = serveRequest(g, now, Handle(3000+i), 1, 7, 100*ms)
	}
	assert.Assert(t, g.speed.speedFixedAtStart())
}

// A request that ran at constant speed is no evidence for either model.
func TestSteadySpeedIsNoEvidenceForSpeedModel(t *testing.T) {
	g, now := gateWithReports(10)
	before := g.speed.speedModel
	for i := range 20 {
		now = serveRequest(g, now, Handle(2000+i), 1, 1, 100*ms)
	}
	assert.Equal(t, g.speed.speedModel, before)
}

// A request arrives in a slow period and there is no sibling. If it started now, it
// would occupy its slot for 700 ms. It waits for the end of the slow period and then
// takes 100 ms.
func TestNothingStartsInAShortSlowPeriod(t *testing.T) {
	g, now := gateWithReports(10)
	g.ObserveSlowdown(now, 7)
	assert.Equal(t, len(kinds(g.Arrive(now, classRequest(1, "work", 400*ms, now)))), 0, "the request waits")
	now += 200 * ms
	assert.DeepEqual(t, startedHandles(g.ObserveSlowdown(now, 1)), []Handle{1})
}

// A call of 10 ms finishes sooner if it starts at a seventh of the normal speed than if
// it waits for the end of the slow period, so it starts.
func TestShortRequestStartsInASlowPeriod(t *testing.T) {
	g, now := gateWithReports(10)
	g.ObserveSlowdown(now, 7)
	assert.DeepEqual(t, kinds(g.Arrive(now, classRequest(1, "call", 30*ms, now))), []EventKind{Started})
}

// A request that cannot wait for the end of the slow period, but can meet its deadline
// at the current speed, starts.
func TestRequestWithoutTimeToWaitStartsInASlowPeriod(t *testing.T) {
	g, now := gateWithReports(10)
	for i := range 5 {
		// The slow periods so far lasted two seconds.
		g.ObserveSlowdown(now, 7)
		now += 2 * time.Second
		g.ObserveSlowdown(now, 1)
		now += time.Duration(i+1) * 100 * ms
	}
	g.ObserveSlowdown(now, 7)
	r := classRequest(1, "work", 800*ms, now)
	r.Deadline = now + 900*ms
	assert.DeepEqual(t, kinds(g.Arrive(now, r)), []EventKind{Started})
}

// Guards against judging a sibling by its mean service time: a call that belongs to a
// running request arrives at a slow server, and the mean request at a fast sibling
// takes nine times as long as the call. Judged by that mean, the sibling looks no
// better: the call would start here and time out, and its parent request would fail.
func TestShortCallMovesToASiblingOfLongRequests(t *testing.T) {
	g, now := gateWithReports(10)
	g.ObserveSlowdown(now, 7)
	setSibling(g, now, "b", Load{Slots: 10, Running: 2, Service: 900 * ms, Slowdown: 1})
	assert.DeepEqual(t, kinds(g.Arrive(now, classRequest(1, "work", 400*ms, now))), []EventKind{Moved})
}

// The server turns slow after a request has started. The request is not slowed, so its
// caller gets no hint: a second attempt would waste budget and a slot.
func TestRequestStartedBeforeSlowPeriodIsNotHinted(t *testing.T) {
	g, now := gateWithReports(10)
	setSibling(g, now, "b", Load{Slots: 10, Service: 100 * ms, Slowdown: 1})
	r := classRequest(1, "work", 400*ms, now)
	r.Repeatable = true
	g.Arrive(now, r)
	g.ObserveSlowdown(now+ms, 1)
	assert.Equal(t, len(hintedHandles(g.ObserveSlowdown(now+50*ms, 7))), 0)
}

// The server turned slow just before a request started, and the gate did not know yet.
// The next slowdown report together with the time the request has taken shows it, and
// the caller is told of a sibling long before the request would finish or time out.
func TestRequestThatBeganAsTheServerTurnedSlowIsHinted(t *testing.T) {
	g, now := gateWithReports(10)
	setSibling(g, now, "b", Load{Slots: 10, Service: 100 * ms, Slowdown: 1})
	r := classRequest(1, "work", 400*ms, now)
	r.Repeatable = true
	g.Arrive(now, r)
	assert.Equal(t, len(hintedHandles(g.ObserveSlowdown(now+30*ms, 7))), 0, "it may have started before the server turned slow")
	assert.DeepEqual(t, hintedHandles(g.ObserveSlowdown(now+160*ms, 7)), []Handle{1})
}

// A request takes much longer than expected although the server reports normal speed: a
// call that it makes may be stuck, or its server may be. After twice the request's
// expected service time, its caller is told of a sibling.
func TestOverdueRequestIsHinted(t *testing.T) {
	g, now := gateWithReports(10)
	r := classRequest(1, "work", 400*ms, now)
	r.Repeatable = true
	g.Arrive(now, r)
	for range 4 {
		now += 60 * ms
		setSibling(g, now, "b", Load{Slots: 10, Service: 100 * ms, Slowdown: 1})
		events := hintedHandles(g.ObserveSlowdown(now, 1))
		if len(events) > 0 {
			assert.Assert(t, now-g.items[1].started > 200*ms)
			return
		}
	}
	t.Fatal("no hint after 240 ms for a request of 100 ms")
}

// A request that started at an unknown speed must not change the mean demand.
func TestUncertainStartSpeedIsExcludedFromMean(t *testing.T) {
	g, now := gateWithReports(10)
	meanDemand := g.speed.meanDemand()
	g.Arrive(now, classRequest(1, "work", 400*ms, now))
	g.ObserveSlowdown(now+10*ms, 7)
	g.ObserveSlowdown(now+700*ms, 7)
	g.Finish(now+700*ms, 1, Completed)
	assert.Equal(t, g.speed.meanDemand(), meanDemand)
}

// The estimated wait for a slot is at least the time until the first running request
// ends, and at most the time that all running and waiting requests would take one after
// the other.
func TestWaitForASlotIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		g := New("a", Config{Slots: slots, Queue: 100}, 0)
		g.ObserveSlowdown(0, 1)
		sum, first := time.Duration(0), time.Hour
		now := time.Second
		running := rapid.IntRange(0, slots).Draw(t, "running")
		for h := range Handle(running) {
			r := classRequest(h+1, "work", 300*ms, now)
			it := &item{Request: r, state: stateRunning, started: now - rapid.SampledFrom([]time.Duration{0, 10 * ms, 90 * ms}).Draw(t, "ago"), startSpeed: speedAtStart{factor: rapid.SampledFrom([]float64{1, 7}).Draw(t, "pace")}}
			g.items[h+1] = it
			g.running++
			sum, first = sum+g.remaining(now, it), min(first, g.remaining(now, it))
		}
		g.ObserveSlowdown(now, 1)
		ahead := rapid.IntRange(0, 20).Draw(t, "ahead")
		work := float64(ahead) * float64(100*ms)
		got := g.estimateFixedSpeedSlotWait(now, ahead, work)
		if running < g.slots(now) {
			first = 0
		}
		assert.Assert(t, got >= first, "wait %v ends before the first running request, at %v", got, first)
		assert.Assert(t, got <= sum+time.Duration(work)+ms, "wait %v exceeds the sum of all requests", got)
	})
}

func hintedHandles(events []Event) []Handle {
	var list []Handle
	for _, e := range events {
		if e.Kind == Hint {
			list = append(list, e.Handle)
		}
	}
	return list
}

// Guards against starting an upload on a server that turned slow while the body
// arrived: a body of 60 KB takes 150 ms on a slow link, and a request that starts then
// takes seven times its demand. The request must wait, with its body already here, for
// the end of the slow period; it must not move, and its measured service time must
// exclude the transfer of the body.
func TestUploadIsReconsideredOnceItsBodyArrived(t *testing.T) {
	g, now := gateWithReports(10)
	setSibling(g, now, "b", Load{Slots: 10, Service: 100 * ms, Slowdown: 1})
	meanDemand := g.speed.meanDemand()
	assert.DeepEqual(t, startedHandles(g.Arrive(now, classRequest(1, "work", 400*ms, now))), []Handle{1})
	now += 150 * ms
	g.ObserveSlowdown(now, 7)
	assert.Equal(t, len(kinds(g.ReconsiderAfterBody(now, 1))), 0, "the request waits")
	assert.Equal(t, g.running, 0)
	now += 100 * ms
	assert.DeepEqual(t, startedHandles(g.ObserveSlowdown(now, 1)), []Handle{1})
	g.ObserveSlowdown(now+100*ms, 1)
	g.Finish(now+100*ms, 1, Completed)
	assert.Assert(t, g.speed.meanDemand() < 1.02*meanDemand)
}

// If the server stayed fast, or is draining, an admitted upload runs once its body has
// arrived.
func TestUploadRunsOnceItsBodyArrived(t *testing.T) {
	g, now := gateWithReports(10)
	g.Arrive(now, classRequest(1, "work", 400*ms, now))
	assert.DeepEqual(t, startedHandles(g.ReconsiderAfterBody(now+150*ms, 1)), []Handle{1})
	g.Arrive(now, classRequest(2, "work", 400*ms, now))
	g.ObserveSlowdown(now+150*ms, 7)
	g.SetDraining(now+150*ms, true)
	assert.DeepEqual(t, startedHandles(g.ReconsiderAfterBody(now+150*ms, 2)), []Handle{2})
}
