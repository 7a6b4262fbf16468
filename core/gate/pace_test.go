package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The load that these tests answer: servers whose hosts are seven times slower for half
// a second or two, a quarter of the time, and whose requests keep the pace of their
// start. Of 1,080 calls that began in such a time 43 in 100 reached their timeout of
// six times their work, of those that began outside one 1 in 100 (logs of 195 nodes).

// serve runs one request to its end at the gate and tells it the figures that hold in
// the first 25 ms of it and afterwards.
func serve(g *Gate, now time.Duration, h Handle, first, rest float64, took time.Duration) time.Duration {
	g.Observe(now, first)
	r := classed(h, "work", 4*time.Second, now)
	r.Movable = false
	g.Arrive(now, r)
	g.Observe(now+ms, first)
	g.Observe(now+25*ms, rest)
	g.Finish(now+took, h, Completed)
	return now + took
}

// followingGate is a gate that has learned that its server's running requests follow
// the server's speed.
func followingGate(slots int) (*Gate, time.Duration) {
	g, now := toldGate(slots)
	for i := range 10 {
		// After a quarter of its work the server turns seven times slower, and so does it.
		now = serve(g, now, Handle(2000+i), 1, 7, 550*ms)
	}
	g.Observe(now, 1)
	return g, now
}

// Which kind of server it is decides who is sent a second time and who waits. A gate
// finds out from requests during which the speed changed, either way, and again when
// the server is replaced by one of the other kind.
func TestGateLearnsWhetherRequestsKeepTheirPace(t *testing.T) {
	g, now := toldGate(10)
	assert.Assert(t, g.slow.keepsPace(), "the belief whose error costs less comes first")
	for i := range 10 {
		now = serve(g, now, Handle(2000+i), 1, 7, 550*ms)
	}
	assert.Assert(t, !g.slow.keepsPace())
	for i := range 20 {
		now = serve(g, now, Handle(3000+i), 1, 7, 100*ms)
	}
	assert.Assert(t, g.slow.keepsPace())
}

// A request that ran at one speed from its start to its end says nothing.
func TestSteadySpeedTellsNothingOfPace(t *testing.T) {
	g, now := toldGate(10)
	before := g.slow.pace
	for i := range 20 {
		now = serve(g, now, Handle(2000+i), 1, 1, 100*ms)
	}
	assert.Equal(t, g.slow.pace, before)
}

// A caller's request comes in a slow time and there is nobody else. Started now it
// would take 700 ms of its slot; it waits for the end of the slow time and takes 100.
func TestNothingStartsInASlowTimeThatIsSoonOver(t *testing.T) {
	g, now := toldGate(10)
	g.Observe(now, 7)
	assert.Equal(t, len(kinds(g.Arrive(now, classed(1, "work", 400*ms, now)))), 0, "it waits")
	now += 200 * ms
	assert.DeepEqual(t, started(g.Observe(now, 1)), []Handle{1})
}

// A call of 10 ms ends sooner at a seventh of the speed than after the slow time.
func TestShortRequestStartsInASlowTime(t *testing.T) {
	g, now := toldGate(10)
	g.Observe(now, 7)
	assert.DeepEqual(t, kinds(g.Arrive(now, classed(1, "call", 30*ms, now))), []EventKind{Started})
}

// A request that cannot wait for the end of the slow time, but can make its deadline
// at this pace, starts.
func TestRequestWithoutTimeToWaitStartsInASlowTime(t *testing.T) {
	g, now := toldGate(10)
	for i := range 5 {
		// Slow times of two seconds have been seen.
		g.Observe(now, 7)
		now += 2 * time.Second
		g.Observe(now, 1)
		now += time.Duration(i+1) * 100 * ms
	}
	g.Observe(now, 7)
	r := classed(1, "work", 800*ms, now)
	r.Deadline = now + 900*ms
	assert.DeepEqual(t, kinds(g.Arrive(now, r)), []EventKind{Started})
}

// A call of a running request comes to a slow server. Its fast sibling's usual request
// takes nine times the call's work. Judged by that, the sibling looked no better, the
// call began here, reached its timeout and took its parent with it.
func TestShortCallMovesToASiblingOfLongRequests(t *testing.T) {
	g, now := toldGate(10)
	g.Observe(now, 7)
	siblingAt(g, now, "b", Load{Slots: 10, Running: 2, Service: 900 * ms, Slowdown: 1})
	assert.DeepEqual(t, kinds(g.Arrive(now, classed(1, "work", 400*ms, now))), []EventKind{Moved})
}

// The server turns slow while a request runs that began before. It is not slowed, and a
// second attempt would cost budget and a slot for nothing.
func TestRequestThatBeganInTimeIsNotHinted(t *testing.T) {
	g, now := toldGate(10)
	siblingAt(g, now, "b", Load{Slots: 10, Service: 100 * ms, Slowdown: 1})
	r := classed(1, "work", 400*ms, now)
	r.Repeatable = true
	g.Arrive(now, r)
	g.Observe(now+ms, 1)
	assert.Equal(t, len(hinted(g.Observe(now+50*ms, 7))), 0)
}

// The server turned slow just before a request began, and the gate did not know yet.
// The next figure and the time it takes tell; its caller hears of a sibling long before
// the request would end, or reach its timeout.
func TestRequestThatBeganAsTheServerTurnedSlowIsHinted(t *testing.T) {
	g, now := toldGate(10)
	siblingAt(g, now, "b", Load{Slots: 10, Service: 100 * ms, Slowdown: 1})
	r := classed(1, "work", 400*ms, now)
	r.Repeatable = true
	g.Arrive(now, r)
	assert.Equal(t, len(hinted(g.Observe(now+30*ms, 7))), 0, "it may have begun before")
	assert.DeepEqual(t, hinted(g.Observe(now+160*ms, 7)), []Handle{1})
}

// Nothing shows why a request takes so long: a call of its own is stuck, or its server
// is. At twice its time its caller hears of a sibling.
func TestRequestFarOverItsTimeIsHinted(t *testing.T) {
	g, now := toldGate(10)
	r := classed(1, "work", 400*ms, now)
	r.Repeatable = true
	g.Arrive(now, r)
	for range 4 {
		now += 60 * ms
		siblingAt(g, now, "b", Load{Slots: 10, Service: 100 * ms, Slowdown: 1})
		events := hinted(g.Observe(now, 1))
		if len(events) > 0 {
			assert.Assert(t, now-g.items[1].started > 200*ms)
			return
		}
	}
	t.Fatal("not hinted at 240 ms of a work of 100 ms")
}

// Work that began at an unknown pace says nothing of how long such work takes.
func TestDoubtfulPaceDoesNotSpoilTheMean(t *testing.T) {
	g, now := toldGate(10)
	usual := g.slow.usual()
	g.Arrive(now, classed(1, "work", 400*ms, now))
	g.Observe(now+10*ms, 7)
	g.Observe(now+700*ms, 7)
	g.Finish(now+700*ms, 1, Completed)
	assert.Equal(t, g.slow.usual(), usual)
}

// When a slot is free follows from what runs: no sooner than the first of it ends, and
// no later than all of it and all that waits ahead, one after the other.
func TestWaitForASlotIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		g := New("a", Config{Slots: slots, Queue: 100}, 0)
		g.Observe(0, 1)
		sum, first := time.Duration(0), time.Hour
		now := time.Second
		running := rapid.IntRange(0, slots).Draw(t, "running")
		for h := range Handle(running) {
			r := classed(h+1, "work", 300*ms, now)
			it := &item{Request: r, state: stateRunning, started: now - rapid.SampledFrom([]time.Duration{0, 10 * ms, 90 * ms}).Draw(t, "ago"), pace: startPace{factor: rapid.SampledFrom([]float64{1, 7}).Draw(t, "pace")}}
			g.items[h+1] = it
			g.running++
			sum, first = sum+g.remaining(now, it), min(first, g.remaining(now, it))
		}
		g.Observe(now, 1)
		ahead := rapid.IntRange(0, 20).Draw(t, "ahead")
		work := float64(ahead) * float64(100*ms)
		got := g.waitForSlot(now, ahead, work)
		if running < g.slots(now) {
			first = 0
		}
		assert.Assert(t, got >= first, "%v before the first of what runs ends, %v", got, first)
		assert.Assert(t, got <= sum+time.Duration(work)+ms, "%v", got)
	})
}

func hinted(events []Event) []Handle {
	var list []Handle
	for _, e := range events {
		if e.Kind == Hint {
			list = append(list, e.Handle)
		}
	}
	return list
}

// An upload of 60 KB was let in while its server was fast; its body took 150 ms on a
// narrow link, and the server turned slow meanwhile. Sent now it would take seven times
// its work. It waits with its body for the end of the slow time, is not sent on, and its
// time does not count the body's way.
func TestUploadWhoseBodyCameIsDecidedOnAnew(t *testing.T) {
	g, now := toldGate(10)
	siblingAt(g, now, "b", Load{Slots: 10, Service: 100 * ms, Slowdown: 1})
	usual := g.slow.usual()
	assert.DeepEqual(t, started(g.Arrive(now, classed(1, "work", 400*ms, now))), []Handle{1})
	now += 150 * ms
	g.Observe(now, 7)
	assert.Equal(t, len(kinds(g.Reconsider(now, 1))), 0, "it waits")
	assert.Equal(t, g.running, 0)
	now += 100 * ms
	assert.DeepEqual(t, started(g.Observe(now, 1)), []Handle{1})
	g.Observe(now+100*ms, 1)
	g.Finish(now+100*ms, 1, Completed)
	assert.Assert(t, g.slow.usual() < 1.02*usual)
}

// The server stayed fast, or is leaving: what was let in runs when its body is there.
func TestUploadRunsOnceItsBodyCame(t *testing.T) {
	g, now := toldGate(10)
	g.Arrive(now, classed(1, "work", 400*ms, now))
	assert.DeepEqual(t, started(g.Reconsider(now+150*ms, 1)), []Handle{1})
	g.Arrive(now, classed(2, "work", 400*ms, now))
	g.Observe(now+150*ms, 7)
	g.SetDraining(now+150*ms, true)
	assert.DeepEqual(t, started(g.Reconsider(now+150*ms, 2)), []Handle{2})
}
