package gate

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactuspath/core/link"
	"cactuspath/core/mechanism"
)

func downloads(usual, burst float64) simLoad {
	return simLoad{class: "download", perSecond: during(3*time.Second, 10*time.Second, usual, burst), work: 130 * ms, bytes: 90_000, maxBytes: 540_000, aim: 1500 * ms, limit: 2500 * ms}
}

func lives(usual, burst float64) simLoad {
	return simLoad{class: "live", perSecond: during(3*time.Second, 10*time.Second, usual, burst), work: 64 * ms, bytes: 5_000, maxBytes: 30_000, aim: 200 * ms, limit: 1000 * ms}
}

// deployment is a service of ten endpoints with 43 downloads per second, at two and a
// half times the rate for seven seconds, and 126 short requests. Three of the endpoints
// are in the data centre of 58 % of the callers.
func deployment() simOptions {
	return simOptions{seed: 1, bandwidth: simLinkBytes, loads: []simLoad{downloads(43, 107), lives(126, 126)}, length: 12 * time.Second, reports: 60, nearShare: 0.58, comeBack: true}
}

// burstOf is the deployment with the given rate of downloads during a burst of the given
// length.
func burstOf(rate float64, length time.Duration) simOptions {
	o := deployment()
	o.loads[0].perSecond = during(3*time.Second, 3*time.Second+length, 43, rate)
	return o
}

func withoutLink(o simOptions) simOptions {
	o.disabled |= mechanism.Link
	return o
}

// Guards against downloads that fill the links of the nearest three hosts while the other
// seven have room: the gates have free slots, so that nothing moves by slots alone, and a
// quarter of the downloads in the run miss their aim.
func TestDownloadsMoveFromFullLinks(t *testing.T) {
	for _, slow := range []float64{0, 0.25} {
		o := deployment()
		o.slowShare = slow
		before, after := newSimulation(withoutLink(o)).run().results["download"], newSimulation(o).run().results["download"]
		t.Logf("in aim: %.3f without, %.3f with; lost %d and %d; refused %d; moved to other data centres %.3f", before.share(before.inAim), after.share(after.inAim), before.timedOut, after.timedOut, after.refused, after.share(after.crossed))
		assert.Assert(t, before.share(before.inAim) < 0.85)
		assert.Assert(t, after.share(after.inAim) > 0.97)
		assert.Assert(t, after.share(after.timedOut) < 0.002)
		assert.Assert(t, after.share(after.refused) < 0.005)
	}
}

// Guards against gates that send downloads to other data centres although they meet their
// aim where they are: transfers between data centres are paid for.
func TestDownloadsStayNearWhileTheyMeetTheirAim(t *testing.T) {
	o := deployment()
	o.loads[0] = downloads(43, 43)
	r := newSimulation(o).run().results["download"]
	t.Logf("in aim %.3f, moved to other data centres %.3f", r.share(r.inAim), r.share(r.crossed))
	assert.Assert(t, r.share(r.inAim) > 0.99)
	assert.Assert(t, r.share(r.crossed) < 0.01)
}

// Guards against downloads that are accepted although no link can send them in time,
// during a burst of 1.7 times what all links can send: they use bandwidth and are given
// up by their callers, or make all others late. They must be refused when they arrive, and
// the links must send as much within the aim as without.
func TestBurstBeyondAllLinksIsRefusedEarly(t *testing.T) {
	o := deployment()
	o.loads[0] = downloads(43, 200)
	before, after := newSimulation(withoutLink(o)).run().results["download"], newSimulation(o).run().results["download"]
	t.Logf("served before the deadline: %.3f without, %.3f with; in aim %.3f and %.3f; lost %.3f and %.3f; refused %.3f", before.share(before.inAim+before.late), after.share(after.inAim+after.late),
		before.share(before.inAim), after.share(after.inAim), before.share(before.timedOut), after.share(after.timedOut), after.share(after.refused))
	assert.Assert(t, after.share(after.inAim+after.late) > before.share(before.inAim+before.late)+0.1)
	assert.Assert(t, after.share(after.inAim) >= before.share(before.inAim))
	assert.Assert(t, after.share(after.timedOut) < 0.005)
	assert.Assert(t, after.refusedAfter == 0, "a request was refused %v after its arrival", after.refusedAfter)
	for _, wait := range after.retryAfter {
		assert.Assert(t, wait >= shortestRetryAfter && wait <= time.Second, "Retry-After is %v", wait)
	}
}

// Guards against a Retry-After at which the links are still full: at the end of a burst of
// three seconds, at least half of the refused downloads are served when they come back
// with a new time limit. All others come back at the same time.
func TestRefusedDownloadsAreServedWhenTheyComeBack(t *testing.T) {
	cameBack, served := 0, 0
	for seed := range uint64(4) {
		o := burstOf(200, 3*time.Second)
		o.seed, o.freshLimit = seed, true
		r := newSimulation(o).run().results["download"]
		cameBack += r.cameBack
		served += r.backServed
	}
	t.Logf("came back %d, served then %d", cameBack, served)
	assert.Assert(t, cameBack > 50 && served*2 > cameBack)
}

// Guards against herding: all gates know the same reports and move downloads to the
// sibling with the smallest wait, whose link is then fuller than those that they come
// from. The gates have a sixth of the usual number of reports.
func TestGatesDoNotFillOneLinkTogether(t *testing.T) {
	o := deployment()
	o.reports = 10
	s := newSimulation(o).run()
	r := s.results["download"]
	t.Logf("in aim %.3f, moves by target %v, longest backlogs %v", r.share(r.inAim), s.movedTo, s.peakLink)
	assert.Assert(t, r.share(r.inAim) > 0.95)
	for host, backlog := range s.peakLink {
		assert.Assert(t, backlog < 2*time.Second, "%s: %v", host, backlog)
	}
}

// Guards against decisions on old reports: no report arrives from the middle of the burst
// on. A gate without reports keeps its requests, and refuses those that its own link
// cannot send in time.
func TestOldReportsOfLinksAreNotUsed(t *testing.T) {
	o := deployment()
	o.loseReports = 6 * time.Second
	r := newSimulation(o).run().results["download"]
	t.Logf("last move %v, in aim %.3f, lost %.3f, refused %.3f", r.lastMove, r.share(r.inAim), r.share(r.timedOut), r.share(r.refused))
	assert.Assert(t, r.lastMove <= o.loseReports+reportTTL+50*ms)
	assert.Assert(t, r.share(r.timedOut) < 0.01)
}

// Guards against gates that flood full links after a restart: the three gates of the
// nearest data centre restart in the middle of the burst and know no sizes until five
// responses have been seen.
func TestRestartedGatesLearnSizesWithinTheBurst(t *testing.T) {
	o := deployment()
	o.restartAt = 6 * time.Second
	r := newSimulation(o).run().results["download"]
	t.Logf("in aim %.3f, lost %.3f", r.share(r.inAim), r.share(r.timedOut))
	assert.Assert(t, r.share(r.inAim) > 0.95)
	assert.Assert(t, r.share(r.timedOut) < 0.01)
}

// Guards against moving or refusing short requests because of a link: the driver paces
// large responses so that short ones pass. The links of three hosts have ten seconds of
// large responses of other services ahead of them.
func TestShortRequestsIgnoreTheLink(t *testing.T) {
	o := deployment()
	o.loads = []simLoad{lives(126, 220)}
	o.slowShare = 0.25
	// Load reports differ by the link's wait, and the decisions must not.
	decisions := func(o simOptions) []string { return newSimulation(o).run().decisions() }
	free := decisions(withoutLink(o))
	o.otherTransfers = 10 * time.Second
	o.reports = 1000
	full := decisions(o)
	o.otherTransfers = 0
	same := decisions(o)
	assert.DeepEqual(t, full, same)
	assert.Assert(t, len(free) > 1000)
}

// Guards against any change where no bandwidth is set: every event of every gate, load
// reports included, is the same as with the mechanism disabled.
func TestNothingChangesWithoutABandwidth(t *testing.T) {
	o := deployment()
	o.slowShare = 0.25
	disabled := newSimulation(withoutLink(o)).run().log
	o.bandwidth = 0
	assert.DeepEqual(t, newSimulation(o).run().log, disabled)
	assert.Assert(t, len(disabled) > 3000)
}

// linkGate returns a gate of data centre "a" whose server reports normal speed and which
// has seen responses of 100,000 bytes for "download" and 5,000 bytes for "live". Its link
// sends 100,000 bytes of large responses in 100 ms.
func linkGate(siblings ...Sibling) (*Gate, time.Duration) {
	g := New("self", Config{Slots: 9, Queue: 40, Siblings: true, ReportsPerSecond: 1000, BytesPerSecond: 1 << 20, LinkBytesPerSecond: 1e6 / link.LargeShare}, 0)
	g.SetSiblings(siblings)
	now := time.Duration(0)
	for i := range 2 * minClassSamples {
		h, class, bytes := Handle(1000+i), "download", int64(100_000)
		if i%2 == 1 {
			class, bytes = "live", 5_000
		}
		g.ObserveSlowdown(now, 1)
		g.Arrive(now, download(h, class, now))
		now += 100 * ms
		g.ObserveSlowdown(now, 1)
		g.ObserveResponse(now, h, bytes)
		g.Finish(now, h, Completed)
	}
	g.ObserveLink(now, 0)
	return g, now
}

func download(h Handle, class string, now time.Duration) Request {
	r := classRequest(h, class, 1500*ms, now)
	r.Deadline, r.From = now+2500*ms, "a"
	return r
}

var (
	near = Sibling{Host: "near", DataCenter: "a", Near: true, Distance: ms / 5}
	far  = Sibling{Host: "far", DataCenter: "b", Distance: 8 * ms}
)

func report(g *Gate, now time.Duration, host string, linkWait time.Duration) {
	g.ApplyReport(now, Report{Host: host, Incarnation: 1, Sequence: uint64(now) + 1, Load: Load{Slots: 9, Service: 100 * ms, Slowdown: 1, LinkWait: linkWait}})
}

// The decision on a download by the waits of the links here and at a sibling: it stays
// while it meets its aim, moves where that gains more than the transfer costs (250 ms to
// another data centre), and is refused only if every link has a queue longer than its aim.
func TestDownloadByTheWaitsOfLinks(t *testing.T) {
	for _, c := range []struct {
		desc        string
		sibling     Sibling
		here, there time.Duration
		want        EventKind
	}{
		{"both free", near, 0, 0, Started},
		{"meets its aim here, sibling free", near, 800 * ms, 0, Started},
		{"misses its aim here, near sibling free", near, 1000 * ms, 0, Moved},
		{"misses its aim here, far sibling free", far, 1000 * ms, 0, Moved},
		{"misses its aim here, far sibling meets it and gains too little", far, 1000 * ms, 800 * ms, Started},
		{"misses its aim here, near sibling meets it", near, 1000 * ms, 800 * ms, Moved},
		{"misses its aim at both", near, 1100 * ms, 1000 * ms, Started},
		{"too late here, late at the sibling", near, 1450 * ms, 1300 * ms, Moved},
		{"too late here, late at the far sibling", far, 1450 * ms, 1300 * ms, Moved},
		{"too late at both", near, 1450 * ms, 1440 * ms, Refused},
		{"too late at both, far later here", near, 4000 * ms, 2000 * ms, Refused},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g, now := linkGate(c.sibling)
			report(g, now, c.sibling.Host, c.there)
			g.ObserveLink(now, c.here)
			events := g.Arrive(now, download(1, "download", now))
			assert.DeepEqual(t, kinds(events), []EventKind{c.want})
			short := g.Arrive(now, download(2, "live", now))
			assert.DeepEqual(t, kinds(short), []EventKind{Started})
		})
	}
}

// Guards against a Retry-After that is too early or longer than needed: the caller must
// come back when the link can send a download within its aim. Proxies must not try other
// gates that cannot meet the deadline either, and must try them if one can.
func TestRefusalNamesWhenTheLinkHasRoom(t *testing.T) {
	for _, there := range []time.Duration{2100 * ms, 0} {
		g, now := linkGate(near)
		report(g, now, near.Host, there)
		g.ObserveLink(now, 2000*ms)
		r := download(1, "download", now)
		r.Movable = there > 0
		e := g.Arrive(now, r)[0]
		assert.Equal(t, e.Kind, Refused)
		assert.Equal(t, e.Reason, TooLate)
		assert.Equal(t, e.SiblingsFull, there > 0)
		if there > 0 {
			// 2,000 ms ahead and 100 ms of its own, of which 1,000 ms are within its aim.
			assert.Equal(t, e.RetryAfter, 1100*ms)
		}
		later := now + 1100*ms
		g.ObserveLink(later, 2000*ms-1100*ms)
		assert.DeepEqual(t, kinds(g.Arrive(later, download(2, "download", later))), []EventKind{Started})
	}
}

// A sibling without fresh reports gets no downloads, however full the own link is.
func TestNoMoveWithoutFreshLinkReport(t *testing.T) {
	g, now := linkGate(near)
	report(g, now, near.Host, 0)
	later := now + reportTTL + ms
	g.ObserveLink(later, 1200*ms)
	assert.DeepEqual(t, kinds(g.Arrive(later, download(1, "download", later))), []EventKind{Started})
}

// Guards against herding by one gate: it must count the responses of the downloads that
// it has moved since the sibling's report, until the next report includes them.
func TestMovedBytesCountUntilTheNextReport(t *testing.T) {
	g, now := linkGate(near)
	report(g, now, near.Host, 0)
	moved := func(at time.Duration) (n int) {
		for h := Handle(1); h <= 10; h++ {
			g.ObserveLink(at, 1200*ms)
			r := download(h+Handle(at), "download", at)
			r.Deadline = time.Hour
			for _, e := range g.Arrive(at, r) {
				if e.Kind == Moved {
					n++
				}
			}
		}
		return n
	}
	// Each move counts as 100 ms on the sibling's link. 900 ms are within the aim, 1,000 ms
	// and the way there are not.
	assert.Equal(t, moved(now), 9)
	now += 10 * ms
	report(g, now, near.Host, 0)
	assert.Equal(t, moved(now), 9)
}

// Guards against accepting more downloads than the link can send while their responses
// are being prepared: nothing of them is on the link yet.
func TestRunningDownloadsCountAsWorkOfTheLink(t *testing.T) {
	g, now := linkGate(near)
	report(g, now, near.Host, 0)
	started := 0
	for h := Handle(1); h <= 12; h++ {
		started += len(kinds(g.Arrive(now, download(h, "live", now)))) // short ones do not count
		g.Cancel(now, h)
	}
	assert.Equal(t, g.Load(now).LinkWait, time.Duration(0))
	g, now = linkGate(near)
	for h := Handle(1); h <= 6; h++ {
		g.Arrive(now, download(h, "download", now))
	}
	assert.Equal(t, g.Load(now).LinkWait, 600*ms)
	g.ObserveResponse(now, 1, 200_000) // on its way to the link
	assert.Equal(t, g.Load(now).LinkWait, 700*ms)
	g.Finish(now, 2, Failed)
	assert.Equal(t, g.Load(now).LinkWait, 600*ms)
	g.ObserveLink(now, 100*ms)
	assert.Equal(t, g.Load(now).LinkWait, 500*ms)
	assert.Equal(t, g.Load(now+50*ms).LinkWait, 450*ms)
}

// Guards against a response of unknown length that counts twice while it is sent: as
// expected, and in the backlog that the driver observes.
func TestBegunResponseOfUnknownLengthIsNotExpected(t *testing.T) {
	g, now := linkGate()
	assert.DeepEqual(t, kinds(g.Arrive(now, download(1, "download", now))), []EventKind{Started})
	assert.Assert(t, g.link.expected > 0)
	g.ObserveResponse(now, 1, -1)
	assert.Equal(t, g.link.expected, int64(0))

	// Its size counts when it is known, at its end.
	seen := g.speed.class("download").responseSize.seen
	g.ObserveResponse(now, 1, 200_000)
	assert.Equal(t, g.speed.class("download").responseSize.seen, seen+1)
}

// Guards against a slow receiver that is taken for a slow server, and against its request
// being taken for a failed one.
func TestWaitForTheReceiverIsNotTheServers(t *testing.T) {
	for _, reported := range []bool{false, true} {
		g := New("self", Config{Slots: 9, Queue: 40}, 0)
		now := time.Duration(0)
		run := func(h Handle, took time.Duration, receiver bool) {
			g.Arrive(now, download(h, "download", now))
			now += 100 * ms
			if receiver {
				g.ObserveReceiverWait(now, h)
				g.ObserveReceiverWait(now+ms, h)
			}
			now += took - 100*ms
			if reported {
				g.ObserveSlowdown(now, 1)
			}
			g.Finish(now, h, Completed)
		}
		for h := Handle(1); h <= 20; h++ {
			run(h, 100*ms, false)
		}
		before, failures := g.Load(now).Service, g.outlier
		for h := Handle(21); h <= 30; h++ {
			run(h, 2*time.Second, true)
		}
		after := g.Load(now).Service
		assert.Assert(t, after < before+20*ms, "service time %v before, %v after", before, after)
		assert.Assert(t, g.outlier.ratio <= failures.ratio)
		assert.Equal(t, g.estimate.running, 0)
	}
}

// Guards against refusing every request of a class because the settings name too low a
// bandwidth: a response that would take longer than the time limit is sent as long as the
// link is idle.
func TestIdleLinkRefusesNothing(t *testing.T) {
	g, now := linkGate(near)
	g.config.LinkBytesPerSecond = 20_000
	for h := Handle(1); h <= 3; h++ {
		g.ObserveLink(now, 0)
		assert.DeepEqual(t, kinds(g.Arrive(now, download(h, "download", now))), []EventKind{Started})
		assert.DeepEqual(t, kinds(g.Arrive(now, download(h+10, "download", now))), []EventKind{Started}) // one response may be ahead
		assert.DeepEqual(t, kinds(g.Arrive(now, download(h+20, "download", now))), []EventKind{Refused})
		g.Finish(now, h+10, Abandoned)
		now += 100 * ms
		g.ObserveResponse(now, h, 100_000)
		g.Finish(now, h, Completed)
	}
}

// Guards against refusing a class whose mean response takes longer than its time limit as
// soon as anything is on the link, and against a Retry-After beyond the time when the link is
// idle and takes such a response.
func TestResponseLongerThanItsLimitMayWaitForOne(t *testing.T) {
	for _, c := range []struct {
		here, aim, retryAfter time.Duration
		want                  EventKind
	}{
		{0, 0, 0, Started},
		{ms, 0, 0, Started},
		{ms, 1500 * ms, 0, Started},
		{1900 * ms, 1500 * ms, 0, Started},
		{2100 * ms, 0, 1600 * ms, Refused},
		{2100 * ms, 1500 * ms, 2100 * ms, Refused},
	} {
		g, now := linkGate(near)
		for h := Handle(3000); h < 3000+minClassSamples; h++ {
			g.Arrive(now, download(h, "big", now))
			g.ObserveResponse(now, h, 2_000_000)
			g.Finish(now, h, Completed)
		}
		report(g, now, near.Host, 2200*ms)
		g.ObserveLink(now, c.here)
		r := download(1, "big", now)
		r.Aim, r.AimAt = c.aim, now+c.aim
		if c.aim == 0 {
			r.AimAt = 0
		}
		events := slices.DeleteFunc(g.Arrive(now, r), func(e Event) bool { return e.Kind == Send })
		assert.Equal(t, len(events), 1)
		assert.Equal(t, events[0].Kind, c.want, "backlog %v, aim %v", c.here, c.aim)
		assert.Equal(t, events[0].RetryAfter, c.retryAfter)
	}
}

// Guards against requests that only ask for the head of a download and are moved, refused or
// counted as work of the link, or learned from as downloads of no size.
func TestRequestsForHeadsIgnoreTheLink(t *testing.T) {
	g, now := linkGate(near)
	report(g, now, near.Host, 0)
	g.ObserveLink(now, 3*time.Second)
	for i, class := range []string{"download", "new"} {
		head := Handle(i + 1)
		r := download(head, class, now)
		r.NoBody = true
		assert.DeepEqual(t, kinds(g.Arrive(now, r)), []EventKind{Started})
		assert.Equal(t, g.link.expected, int64(0))
		for h := Handle(10); class == "new" && h < 10+minClassSamples; h++ {
			g.Arrive(now, download(h, class, now))
			g.ObserveResponse(now, h, 200_000)
			g.Finish(now, h, Completed)
		}
		assert.Equal(t, g.link.expected, int64(0), "class %s", class)
		seen := g.speed.class(class).responseSize.seen
		g.ObserveResponse(now, head, 0)
		assert.Equal(t, g.speed.class(class).responseSize.seen, seen)
		g.Finish(now, head, Completed)
	}
}

// A gate that has just started treats a class as short until five responses have been
// seen, and then counts the requests of the class that run already.
func TestClassIsShortUntilFiveResponses(t *testing.T) {
	g := New("self", Config{Slots: 9, Queue: 40, Siblings: true, LinkBytesPerSecond: 1e6 / link.LargeShare}, 0)
	for h := Handle(11); h <= 13; h++ {
		g.Arrive(0, download(h, "download", 0))
	}
	for h := Handle(1); h <= minClassSamples; h++ {
		assert.Equal(t, g.link.expected, int64(0))
		g.ObserveLink(0, 5*time.Second)
		assert.DeepEqual(t, kinds(g.Arrive(0, download(h, "download", 0))), []EventKind{Started})
		g.ObserveResponse(0, h, 100_000)
	}
	assert.Equal(t, g.link.expected, int64(300_000))
	g.ObserveLink(0, 5*time.Second)
	assert.DeepEqual(t, kinds(g.Arrive(0, download(9, "download", 0))), []EventKind{Refused})
}

// A gate that was given the size of a class's responses decides by it from the first request,
// and by its own measurement once it has one. Guards against gates that restart together and
// fill their links, and against counting a request twice when the measurement replaces the
// profile.
func TestSizeFromProfileIsUsedUntilMeasured(t *testing.T) {
	g := New("self", Config{Slots: 9, Queue: 40, Siblings: true, LinkBytesPerSecond: 1e6 / link.LargeShare}, 0)
	g.Seed(0, Learned{Classes: map[string]ClassLearned{"download": {ResponseBytes: 50_000}}})
	for h := Handle(1); h <= 8; h++ {
		assert.DeepEqual(t, kinds(g.Arrive(0, download(h, "download", 0))), []EventKind{Started})
	}
	assert.Equal(t, g.link.expected, int64(8*50_000))
	for h := Handle(1); h <= minClassSamples; h++ {
		g.ObserveResponse(0, h, 100_000)
	}
	assert.Equal(t, g.link.expected, int64(3*100_000))
	assert.Equal(t, g.Learned().Classes["download"].ResponseBytes, int64(0), "a class without demand samples is not reported")

	g = New("self", Config{Slots: 9, Queue: 40, LinkBytesPerSecond: 1e6 / link.LargeShare, Disabled: mechanism.Profile}, 0)
	g.Seed(0, Learned{Classes: map[string]ClassLearned{"download": {ResponseBytes: 50_000}}})
	g.Arrive(0, download(1, "download", 0))
	assert.Equal(t, g.link.expected, int64(0))
}

// Guards against measured sizes that other gates never get.
func TestLearnedHoldsSizes(t *testing.T) {
	g, _ := linkGate()
	assert.Equal(t, g.Learned().Classes["download"].ResponseBytes, int64(100_000))
	assert.Equal(t, g.Learned().Classes["live"].ResponseBytes, int64(5_000))
}

// A waiting download whose link fills up moves to a sibling that can still finish it
// before its deadline, and is refused if there is none. Guards against refusing it while
// another gate has room.
func TestWaitingDownloadLeavesAFullLink(t *testing.T) {
	for _, c := range []struct {
		there time.Duration
		want  EventKind
	}{{100 * ms, Moved}, {2200 * ms, Refused}} {
		g, now := linkGate(near)
		report(g, now, near.Host, 2200*ms)
		for h := Handle(1); g.queue.size == 0; h++ {
			g.Arrive(now, download(h, "live", now))
		}
		assert.Equal(t, len(kinds(g.Arrive(now, download(20, "download", now)))), 0)
		assert.Equal(t, g.link.expected, int64(100_000))
		report(g, now+ms, near.Host, c.there)
		g.ObserveLink(now+ms, 2400*ms)
		var got []EventKind
		for _, e := range g.Tick(now + ms) {
			if e.Handle == 20 {
				got = append(got, e.Kind)
			}
		}
		assert.DeepEqual(t, got, []EventKind{c.want})
		assert.Equal(t, g.link.expected, int64(0))
	}
}

// Guards against a waiting download that moves although its deadline has passed, and against
// a refusal which does not tell that no sibling can take it.
func TestExpiredDownloadDoesNotMove(t *testing.T) {
	for _, c := range []struct {
		wait         time.Duration
		down         bool
		want         EventKind
		siblingsFull bool
	}{{300 * ms, false, Moved, false}, {710 * ms, false, Refused, true}, {710 * ms, true, Refused, true}} {
		g, now := linkGate(near)
		last := Handle(0)
		for g.queue.size == 0 {
			last++
			g.Arrive(now, download(last, "live", now))
		}
		r := download(50, "download", now)
		r.Deadline = now + 700*ms
		assert.Equal(t, len(kinds(g.Arrive(now, r))), 0)
		g.Cancel(now, last)
		now += c.wait
		report(g, now, near.Host, 0)
		g.link.backlog, g.link.observedAt = 800*ms, now
		g.down = c.down
		for _, e := range g.Tick(now) {
			if e.Handle == 50 {
				assert.Equal(t, e.Kind, c.want)
				assert.Equal(t, e.SiblingsFull, c.siblingsFull)
			}
		}
		assert.Assert(t, g.items[50] == nil)
	}
}

// Guards against the refusal of a request that was accepted and waits, because of large
// requests that arrived later and are served after it.
func TestLaterRequestsDoNotMakeAnAcceptedOneTooLate(t *testing.T) {
	for _, aim := range []time.Duration{8 * time.Second, 1500 * ms} {
		g, now := linkGate()
		for h := Handle(3000); h < 3000+minClassSamples; h++ {
			g.Arrive(now, download(h, "big", now))
			g.ObserveResponse(now, h, 400_000)
			g.Finish(now, h, Completed)
		}
		g.ObserveLink(now, 0)
		last := Handle(0)
		for g.queue.size == 0 {
			last++
			g.Arrive(now, download(last, "live", now))
		}
		assert.Equal(t, len(kinds(g.Arrive(now, download(500, "download", now)))), 0)
		assert.Equal(t, len(kinds(g.Arrive(now, download(501, "download", now)))), 0)
		for h := Handle(600); h < 605; h++ {
			r := download(h, "big", now)
			r.Aim, r.AimAt, r.Deadline = aim, now+8*time.Second, now+20*time.Second
			g.Arrive(now, r)
		}
		assert.Assert(t, g.Load(now).LinkWait > time.Second)
		// Of two requests of one rank, the first is served before the second.
		assert.Equal(t, g.linkWait(now, g.items[500]), time.Duration(0))
		assert.Equal(t, g.linkWait(now, g.items[501]), 100*ms)
		// One whose turn has come is served before all that wait.
		g.queue.remove(g.items[501])
		assert.Equal(t, g.linkWait(now, g.items[501]), time.Duration(0))
		g.queue.push(g.items[501])
		var started []Handle
		for h := Handle(1); h <= last; h++ {
			now += 10 * ms
			for _, e := range append(g.Tick(now), g.Finish(now, h, Completed)...) {
				assert.Assert(t, e.Kind != Refused || e.Handle >= 600, "%d is refused", e.Handle)
				if e.Kind == Started {
					started = append(started, e.Handle)
				}
			}
		}
		assert.Assert(t, slices.Contains(started, 500) && slices.Contains(started, 501))
	}
}

// Guards against a sibling that learns too late that a link has become full or free, and
// against reports of small changes and of each download, which would use up the measuring
// budget.
func TestChangeOfTheLinkIsReported(t *testing.T) {
	for _, c := range []struct {
		from, to time.Duration
		reported bool
	}{
		{0, 49 * ms, false},
		{0, 50 * ms, true},
		{100 * ms, 149 * ms, false},
		{100 * ms, 150 * ms, true},
		{800 * ms, 1100 * ms, false},
		{800 * ms, 1200 * ms, true},
		{1200 * ms, 850 * ms, false},
		{1200 * ms, 800 * ms, true},
	} {
		g, now := linkGate(near)
		send := func(at, wait time.Duration) int {
			g.ObserveLink(at, wait)
			return len(reports(g.Tick(at)))
		}
		now += refreshInterval
		assert.Equal(t, send(now, c.from), 1)
		assert.Equal(t, send(now+linkReportInterval-ms, c.to), 0, "%v to %v, early", c.from, c.to)
		assert.Equal(t, send(now+linkReportInterval, c.to) == 1, c.reported, "%v to %v", c.from, c.to)
	}
}

// The cost of a move to another data centre grows with the response as with a body:
// 150 ms for 60 KB, and at least 15 ms.
func TestTransferCostGrowsWithTheResponse(t *testing.T) {
	var s siblings
	sib := &sibling{Sibling: far}
	for _, c := range []struct {
		bytes int64
		body  bool
		want  time.Duration
	}{{0, false, 15 * ms}, {5_000, false, 15 * ms}, {20_000, false, 50 * ms}, {90_000, false, 225 * ms}, {0, true, 150 * ms}, {60_000, true, 300 * ms}} {
		it := &item{Request: Request{From: "a", LargeBody: c.body}, responseBytes: c.bytes}
		assert.Equal(t, s.transferCost(sib, it), c.want)
	}
}

// Guards against work of the link that is counted for ever, which would make a gate refuse
// all downloads: the expected bytes are those of the requests that run or wait here, in
// any order of events.
func TestExpectedBytesMatchTheRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := linkGate(near, far)
		for step := range 60 {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * ms
			h := Handle(rapid.IntRange(1, max(1, step)).Draw(t, "handle"))
			switch rapid.IntRange(0, 8).Draw(t, "action") {
			case 0, 1, 2, 3:
				class := rapid.SampledFrom([]string{"download", "live", "new"}).Draw(t, "class")
				g.Arrive(now, download(Handle(step+1), class, now))
			case 4:
				g.ObserveResponse(now, h, int64(rapid.IntRange(-1, 200_000).Draw(t, "bytes")))
			case 5:
				g.Finish(now, h, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
			case 6:
				g.Cancel(now, h)
				g.ReconsiderAfterBody(now, h)
				g.ObserveReceiverWait(now, h)
			case 7:
				g.ObserveLink(now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "backlog"))*ms)
				report(g, now, near.Host, time.Duration(rapid.IntRange(0, 3000).Draw(t, "there"))*ms)
			case 8:
				g.ObserveSlowdown(now, float64(rapid.IntRange(1, 7).Draw(t, "slowdown")))
				g.Tick(now)
			}
			sum := int64(0)
			for _, it := range g.items {
				sum += it.expectedBytes
			}
			assert.Equal(t, g.link.expected, sum)
			assert.Equal(t, g.estimate.running, countRunning(g))
			if len(g.items) == 0 {
				assert.Equal(t, g.link.expected, int64(0))
			}
		}
	})
}

// countRunning is the number of running requests whose durations count.
func countRunning(g *Gate) (n int) {
	for _, it := range g.items {
		if it.state == stateRunning && !it.receiverWaits {
			n++
		}
	}
	return n
}
