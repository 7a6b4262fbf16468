package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	usualLimit = 2500 * time.Millisecond
	// limitStep is the time between two requests of a route.
	limitStep = 100 * time.Millisecond
)

// learned returns Limits that have seen the limits returned by draw, and the time of the last.
func learned(count int, step time.Duration, draw func(i int) time.Duration) (l *Limits, now time.Duration) {
	l = &Limits{}
	for i := range count {
		now += step
		l.Observe(now, draw(i))
	}
	return l, now
}

func always(limit time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return limit }
}

// Load: callers state 2,500 ms first, and what is left of it when they come back 20 to 60 ms
// after they were given up. Guards against a margin so wide that only callers that have waited
// long are recognized, and one so narrow that a first try sent some milliseconds late is not.
func TestCallersThatComeBackSoonAreRecognized(t *testing.T) {
	for _, c := range []struct {
		spent time.Duration
		want  bool
	}{
		{0, false}, {alikeSpread, false}, {MinRejectedRetryAfter, true}, {MaxRejectedRetryAfter, true}, {700 * time.Millisecond, true}, {-time.Second, false},
	} {
		l, now := learned(limitsKept, limitStep, always(usualLimit))
		assert.Equal(t, l.Observe(now, usualLimit-c.spent), c.want, "%v spent", c.spent)
	}
}

// Load: all servers reject more than half of the requests, so that more than a third of the
// requests of a route are later tries. Guards against later tries that become the usual limit.
func TestLaterTriesDoNotBecomeTheUsualLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l, now := learned(limitsKept, limitStep, always(usualLimit))
	wrong := 0
	for range 2000 {
		now += limitStep
		later, limit := random.IntN(100) < 36, usualLimit
		if later {
			limit -= 25*time.Millisecond + time.Duration(random.IntN(50))*time.Millisecond
		}
		if l.Observe(now, limit) != later {
			wrong++
		}
	}
	assert.Assert(t, wrong <= 2, "%d of 2000 misjudged", wrong)
}

// Load: callers state limits between 1,000 and 1,100 ms. Guards against taking the shorter of
// various limits for those of callers that come back.
func TestVariousLimitsNeedAWiderMargin(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	draw := func(int) time.Duration { return time.Second + time.Duration(random.IntN(100))*time.Millisecond }
	l, now := learned(limitsKept, limitStep, draw)
	for i := range 1000 {
		now += limitStep
		assert.Assert(t, !l.Observe(now, draw(i)))
	}
	assert.Assert(t, l.Observe(now, 850*time.Millisecond))
}

// Guards against misjudging the callers of a node or route that has just started: until 20
// limits were seen, all requests are first tries.
func TestFirstLimitsOfARouteAreFirstTries(t *testing.T) {
	l := &Limits{}
	for i := range limitsKept {
		assert.Assert(t, !l.Observe(time.Duration(i), usualLimit/time.Duration(1+i%2)))
	}
	assert.Assert(t, l.Observe(limitsKept, usualLimit/2))
}

// Guards against taking the callers of a route for ones that come back for good, after all of
// them have begun to allow less time.
func TestChangedLimitIsLearnedWithin20Requests(t *testing.T) {
	for _, step := range []time.Duration{time.Millisecond, limitStep, time.Second, time.Minute} {
		l, now := learned(2*limitsKept, step, always(usualLimit))
		for range limitsKept {
			now += step
			l.Observe(now, time.Second)
		}
		assert.Assert(t, !l.Observe(now+step, time.Second), "%v", step)
	}
}

// Guards against limits that count long after they were seen: ten seconds later, a few newer
// ones count alone.
func TestOldLimitsLoseTheirWeight(t *testing.T) {
	l, now := learned(2*limitsKept, limitStep, always(usualLimit))
	now += limitsMaxAge
	for range minLimitsCounted {
		l.Observe(now, time.Second)
	}
	assert.Assert(t, !l.Observe(now, time.Second))
}

// Load: a route with a request in three seconds. Guards against forgetting what callers allow
// before enough of them were seen.
func TestSeldomUsedRouteIsLearned(t *testing.T) {
	l, now := learned(limitsKept, 3*time.Second, always(usualLimit))
	assert.Assert(t, l.Observe(now+3*time.Second, usualLimit-MinRejectedRetryAfter))
	assert.Assert(t, !l.Observe(now+6*time.Second, usualLimit))
}

// Guards against one caller whose much longer limit makes all others look like they came back.
func TestOneCallerWithALongLimitChangesNothing(t *testing.T) {
	l, now := learned(limitsKept, limitStep, func(i int) time.Duration {
		if i%10 == 0 {
			return time.Hour
		}
		return usualLimit
	})
	assert.Assert(t, !l.Observe(now, usualLimit))
}

func BenchmarkObserveLimit(b *testing.B) {
	l, now := learned(limitsKept, limitStep, always(usualLimit))
	b.ReportAllocs()
	for b.Loop() {
		l.Observe(now, usualLimit)
	}
}
