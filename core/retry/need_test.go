package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rejectingService models nodes that call one service whose servers reject a share of all
// requests during a wave, whatever their load. Each try of a caller may reach two servers.
type rejectingService struct {
	nodes        int
	perSecond    float64
	rejected     float64
	wave         time.Duration
	ratio, slack float64
	// returning is the share of requests that their callers send again, once, after they were
	// given up.
	returning float64
	// popular is the share of requests with one of popularContents contents; the others have
	// each their own.
	popular float64
	// streamed states that the contents are not known.
	streamed bool
	// comeBack draws the time until callers come back.
	comeBack func(*rand.Rand) time.Duration
	byNeed   bool
}

const (
	modelStep   = 10 * time.Millisecond
	modelWindow = 10 * time.Second
	// modelWarmUp is the time before the wave. The budgets are then at their usual level.
	modelWarmUp = 30 * time.Second
	// modelTook is the time from sending a request until it is given up, without waiting.
	modelTook = 10 * time.Millisecond
	// popularContents is the number of contents that several callers send. With 20 of them and
	// a fifth of the requests, each is sent to all nodes together 6.5 times a second.
	popularContents = 20
)

// rejectedOutcome is the outcome of a run: the requests first sent during the wave, those of
// them that no server ran, and the largest number of retries in a window over what is allowed.
type rejectedOutcome struct {
	asked, unserved  int
	spentOfAllowed   float64
	retries          [needs]int
	misjudged, tries int
}

func (o rejectedOutcome) unservedShare() float64 { return float64(o.unserved) / float64(o.asked) }

// modelTry is one try of a caller.
type modelTry struct {
	first   time.Duration
	later   bool
	node    int
	content uint64
}

// modelRun is a run of a rejectingService.
type modelRun struct {
	*rejectingService
	random       *rand.Rand
	budgets      []*Budget
	returns      []Returns
	contents     uint64
	due          map[int64][]modelTry
	spent, calls []int
	at           time.Duration
	rejectedOutcome
}

func (s rejectingService) run(seed uint64) rejectedOutcome {
	r := &modelRun{rejectingService: &s, random: rand.New(rand.NewPCG(seed, 1)), returns: make([]Returns, s.nodes), due: map[int64][]modelTry{}}
	for range s.nodes {
		b := NewBudget(0)
		b.SetRandom(r.random.Float64)
		b.SetShare(s.ratio, s.slack, s.nodes, modelWindow)
		b.SetByNeed(s.byNeed)
		r.budgets = append(r.budgets, b)
	}
	next := time.Duration(0)
	for ; r.at < modelWarmUp+s.wave+modelWindow; r.at += modelStep {
		r.spent, r.calls = append(r.spent, 0), append(r.calls, 0)
		for _, b := range r.budgets {
			b.Refill(modelStep)
		}
		for ; next <= r.at; next += time.Duration(r.random.ExpFloat64() / s.perSecond * float64(time.Second)) {
			r.try(modelTry{first: r.at, node: r.random.IntN(s.nodes), content: r.content()})
		}
		for _, t := range r.due[int64(r.at/modelStep)] {
			r.try(t)
		}
	}
	r.spentOfAllowed = r.mostSpent()
	return r.rejectedOutcome
}

func (r *modelRun) inWave(at time.Duration) bool { return at >= modelWarmUp && at < modelWarmUp+r.wave }

// try sends one try of a caller to up to two servers.
func (r *modelRun) try(t modelTry) {
	b, step := r.budgets[t.node], int(r.at/modelStep)
	b.RecordCall()
	r.calls[step]++
	counted := r.inWave(t.first)
	if counted && !t.later {
		r.asked++
	}
	request := Request{MaxAttempts: 2, Need: r.need(t)}
	for r.inWave(r.at) && r.random.Float64() < r.rejected {
		if request.Next(Rejected, b, true) != RetryOther {
			r.givenUp(t, counted)
			return
		}
		r.spent[step]++
		r.retries[request.Need]++
	}
}

// content draws the content of a request.
func (r *modelRun) content() uint64 {
	if r.streamed {
		return 0
	}
	if r.popular > 0 && r.random.Float64() < r.popular {
		return 1 + r.random.Uint64N(popularContents)
	}
	r.contents++
	return popularContents + r.contents
}

// need returns the need of a try as its node sees it.
func (r *modelRun) need(t modelTry) Need {
	need := First
	if r.returns[t.node].CameBack(r.at, t.content) {
		need = CameBack
	}
	r.tries++
	if (need == CameBack) != t.later {
		r.misjudged++
	}
	return need
}

func (r *modelRun) givenUp(t modelTry, counted bool) {
	r.returns[t.node].GivenUp(r.at, t.content)
	if t.later || r.random.Float64() >= r.returning {
		if counted {
			r.unserved++
		}
		return
	}
	t.later = true
	at := int64((r.at + modelTook + r.comeBack(r.random)) / modelStep)
	r.due[at] = append(r.due[at], t)
}

// mostSpent returns the largest ratio, over all windows, of the retries to those allowed. The
// calls of a window are those of the window itself or of the previous one, whichever are more.
func (r *modelRun) mostSpent() (most float64) {
	width := int(modelWindow / modelStep)
	for end := width; end <= len(r.spent); end++ {
		calls := max(sum(r.calls[end-width:end]), sum(r.calls[max(0, end-2*width):end-width]))
		most = max(most, float64(sum(r.spent[end-width:end]))/(r.ratio*float64(calls)+r.slack))
	}
	return most
}

// rejectingBackends is a service whose 38 servers reject 55 of 100 requests for 8.5 s, called
// by 67 nodes.
func rejectingBackends() rejectingService {
	return rejectingService{nodes: 67, perSecond: 650, rejected: 0.55, wave: 8500 * time.Millisecond, ratio: 0.2, slack: 174, comeBack: soon, returning: 1}
}

// soon is the time until callers come back that are told to wait MinRejectedRetryAfter to
// MaxRejectedRetryAfter.
func soon(random *rand.Rand) time.Duration {
	return MinRejectedRetryAfter + time.Duration(random.Int64N(int64(MaxRejectedRetryAfter-MinRejectedRetryAfter)))
}

// soonOrLater is the time until callers come back of which half do within a tenth of a second
// and the others within 0.6 s.
func soonOrLater(random *rand.Rand) time.Duration {
	if random.IntN(2) == 0 {
		return soon(random)
	}
	return time.Duration(random.Int64N(int64(600 * time.Millisecond)))
}

// runs adds up runs with different seeds; spentOfAllowed is the largest of them.
func (s rejectingService) runs(byNeed bool) (sum rejectedOutcome) {
	s.byNeed = byNeed
	for seed := range uint64(6) {
		o := s.run(seed + 1)
		sum.asked, sum.unserved = sum.asked+o.asked, sum.unserved+o.unserved
		sum.tries, sum.misjudged = sum.tries+o.tries, sum.misjudged+o.misjudged
		sum.spentOfAllowed = max(sum.spentOfAllowed, o.spentOfAllowed)
		for need := range o.retries {
			sum.retries[need] += o.retries[need]
		}
	}
	return sum
}

// Load: the 38 servers of a service reject 55 of 100 requests for 8.5 s; 67 nodes share the
// retry budget, and callers come back once. Guards against a budget that is spent on requests
// whose callers come back anyway while those that have come back end, and against telling first
// tries and later ones apart wrongly.
func TestRetriesGoFirstToRequestsWithoutAnotherChance(t *testing.T) {
	s := rejectingBackends()
	firstCome, byNeed := s.runs(false), s.runs(true)
	t.Logf("unserved: %.3f first-come, %.3f by need; retries %v and %v; at most %.2f and %.2f of the budget", firstCome.unservedShare(), byNeed.unservedShare(),
		firstCome.retries, byNeed.retries, firstCome.spentOfAllowed, byNeed.spentOfAllowed)
	assert.Assert(t, firstCome.unservedShare() > 0.21)
	assert.Assert(t, byNeed.unservedShare() < 0.2)
	assert.Assert(t, byNeed.retries[CameBack] > 2*firstCome.retries[CameBack])
	assert.Assert(t, byNeed.spentOfAllowed <= 1)
	assert.Equal(t, byNeed.misjudged, 0, "of %d", byNeed.tries)
}

// Load: the same with callers that come back at various times, within 0.6 s. Guards against
// recognizing only those that come back at once.
func TestCallersThatComeBackLaterGetRetriesToo(t *testing.T) {
	s := rejectingBackends()
	s.comeBack = soonOrLater
	firstCome, byNeed := s.runs(false), s.runs(true)
	t.Logf("unserved: %.3f first-come, %.3f by need; retries %v and %v", firstCome.unservedShare(), byNeed.unservedShare(), firstCome.retries, byNeed.retries)
	assert.Assert(t, byNeed.unservedShare() < firstCome.unservedShare()-0.015)
	assert.Assert(t, byNeed.spentOfAllowed <= 1)
	assert.Equal(t, byNeed.misjudged, 0, "of %d", byNeed.tries)
}

// Load: the same, where several callers send the same contents. Guards against first tries of
// such contents that take the retries of requests without another chance.
func TestContentsOfSeveralCallersLeaveTheOrderInPlace(t *testing.T) {
	for _, popular := range []float64{0.05, 0.2, 0.5} {
		t.Run(fmt.Sprint(popular), func(t *testing.T) {
			s := rejectingBackends()
			s.popular = popular
			firstCome, byNeed := s.runs(false), s.runs(true)
			t.Logf("unserved: %.3f first-come, %.3f by need; misjudged %d of %d; retries %v and %v", firstCome.unservedShare(), byNeed.unservedShare(), byNeed.misjudged, byNeed.tries, firstCome.retries, byNeed.retries)
			assert.Assert(t, byNeed.unservedShare() < 0.2)
			assert.Assert(t, byNeed.spentOfAllowed <= 1)
			assert.Assert(t, float64(byNeed.misjudged) < 0.02*popular*float64(byNeed.tries), "%d of %d", byNeed.misjudged, byNeed.tries)
		})
	}
}

// Load: the same, but callers do not come back, or few do. Guards against first tries that
// starve although nobody else needs the budget, or only a small part of it.
func TestFirstTriesGetWhatNobodyElseNeeds(t *testing.T) {
	for _, returning := range []float64{0, 0.05, 0.2} {
		t.Run(fmt.Sprint(returning), func(t *testing.T) {
			s := rejectingBackends()
			s.returning = returning
			firstCome, byNeed := s.runs(false), s.runs(true)
			t.Logf("unserved: %.3f first-come, %.3f by need; retries %v and %v", firstCome.unservedShare(), byNeed.unservedShare(), firstCome.retries, byNeed.retries)
			assert.Assert(t, byNeed.unservedShare() < firstCome.unservedShare()+0.01)
			if returning == 0 {
				assert.DeepEqual(t, byNeed.retries, firstCome.retries)
			}
			assert.Assert(t, byNeed.spentOfAllowed <= 1)
		})
	}
}

// Load: the same at a request a second and node. Guards against estimates over so few requests
// that a node holds nothing back, or everything.
func TestOrderHoldsAtARequestASecond(t *testing.T) {
	s := rejectingBackends()
	s.perSecond = float64(s.nodes)
	firstCome, byNeed := s.runs(false), s.runs(true)
	t.Logf("unserved: %.3f first-come, %.3f by need; retries %v and %v", firstCome.unservedShare(), byNeed.unservedShare(), firstCome.retries, byNeed.retries)
	assert.Assert(t, byNeed.unservedShare() < firstCome.unservedShare())
	assert.Assert(t, byNeed.retries[CameBack]*10 > 13*firstCome.retries[CameBack])
	assert.Assert(t, byNeed.spentOfAllowed <= 1)
}

// Load: the same with streamed bodies. Guards against other decisions than without the order
// by need where nothing is known of the requests.
func TestOrderIsFirstComeForStreamedBodies(t *testing.T) {
	s := rejectingBackends()
	s.streamed = true
	assert.DeepEqual(t, s.runs(true).retries, s.runs(false).retries)
}

// Guards against any other decision while the order by need is off: the need of a request
// must not matter.
func TestNeedDoesNotMatterFirstCome(t *testing.T) {
	spend := func(need func(i int) Need) (took []bool) {
		b := NewBudget(0)
		b.SetRandom(rand.New(rand.NewPCG(1, 1)).Float64)
		b.SetShare(0.2, 174, 67, modelWindow)
		for i := range 400 {
			b.Refill(100 * time.Millisecond)
			b.RecordCall()
			took = append(took, b.Take(need(i)))
		}
		assert.Equal(t, b.RefusedByNeed, uint64(0))
		return took
	}
	assert.DeepEqual(t, spend(func(i int) Need { return Need(i % int(needs)) }), spend(func(int) Need { return First }))
}

// shortBudget returns a budget by need that earns less than requests of a higher need ask for.
func shortBudget(need Need) *Budget {
	b := NewBudget(0)
	b.SetRandom(rand.New(rand.NewPCG(1, 1)).Float64)
	b.SetShare(0.2, 0, 1, modelWindow)
	b.SetByNeed(true)
	for range 100 {
		b.Refill(100 * time.Millisecond)
		b.RecordCall()
		b.Take(need)
	}
	return b
}

// Guards against hedged requests, whose first attempt still runs, that take what requests
// need whose callers do not come back once more.
func TestHedgeLeavesTheBudgetToHigherNeeds(t *testing.T) {
	const hedges = 20
	hedge := func(b *Budget) (sent int) {
		for range hedges {
			b.earned = 1
			r := Request{Idempotent: true, MaxAttempts: 2, Need: CameBack}
			if r.Hedge(b) {
				sent++
			}
		}
		return sent
	}
	assert.Equal(t, hedge(shortBudget(First)), hedges)
	assert.Equal(t, hedge(shortBudget(CameBack)), 0)
}

// Guards against a lower need that takes from a higher one, or a higher one that is held back.
func TestEachNeedLeavesTheBudgetToHigherOnes(t *testing.T) {
	for _, c := range []struct {
		asking, need Need
		want         bool
	}{
		{CameBack, First, false}, {CameBack, CameBack, true}, {CameBack, Call, true},
		{Call, First, false}, {Call, CameBack, false}, {Call, Call, true},
		{First, First, true}, {First, CameBack, true}, {First, Call, true},
	} {
		b := shortBudget(c.asking)
		b.earned = 1
		assert.Equal(t, b.Take(c.need), c.want, "%v after %v", c.need, c.asking)
	}
}

// Guards against first tries that wait for a wave that is over: ten seconds after the last
// request of a higher need, nothing is held back.
func TestNothingIsHeldBackAfterAWave(t *testing.T) {
	b := shortBudget(Call)
	b.Refill(needBuckets * needBucket)
	b.earned = 1
	assert.Assert(t, b.Take(First))
}

// Load: a node with a request a second, of which one in four has come back and asks for a
// retry. Guards against a budget that first tries take whenever no request of a higher need has
// asked in the last two seconds.
func TestFewRequestsAreJudgedOverALongerTime(t *testing.T) {
	b := NewBudget(0)
	b.SetRandom(rand.New(rand.NewPCG(1, 1)).Float64)
	b.SetShare(0.2, 0, 1, modelWindow)
	b.SetByNeed(true)
	for second := range 16 {
		b.Refill(time.Second)
		b.RecordCall()
		if second%4 == 0 {
			b.Take(CameBack)
		}
	}
	b.earned = 1
	assert.Assert(t, !b.Take(First))
}

// Load: a service that is called for the first time in an hour, by requests of a higher need.
// Guards against counting what was refilled in the idle time as if it were earned all the time.
func TestIdleTimeDoesNotCountAsEarned(t *testing.T) {
	b := NewBudget(0)
	b.SetRandom(rand.New(rand.NewPCG(1, 1)).Float64)
	b.SetShare(0.2, 174, 67, modelWindow)
	b.SetByNeed(true)
	b.Refill(time.Hour)
	for range 5 {
		b.Take(CameBack)
	}
	b.earned = 1
	assert.Assert(t, !b.Take(First))
}

// Guards against an order that lasts after it was switched off, or that begins with what was
// counted before it was switched off.
func TestOrderCanBeSwitchedWhileRunning(t *testing.T) {
	b := shortBudget(CameBack)
	for _, byNeed := range []bool{false, true} {
		b.SetByNeed(byNeed)
		b.earned = 1
		assert.Assert(t, b.Take(First))
	}
}

func BenchmarkTakeByNeed(b *testing.B) {
	budget := shortBudget(CameBack)
	b.ReportAllocs()
	for b.Loop() {
		budget.Take(First)
	}
}
