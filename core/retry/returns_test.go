package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Load: callers send requests again 20 ms to 3 s after they were given up. Guards against
// callers that are not recognized, and against taking other contents for theirs.
func TestCallersThatComeBackAreRecognized(t *testing.T) {
	for _, after := range []time.Duration{MinRejectedRetryAfter, MaxRejectedRetryAfter, 600 * time.Millisecond, returnsMaxAge} {
		var r Returns
		assert.Assert(t, !r.CameBack(time.Second, 7), "it is a first try")
		r.GivenUp(time.Second, 7)
		assert.Assert(t, !r.CameBack(time.Second+after, 8), "another content")
		assert.Assert(t, r.CameBack(time.Second+after, 7), "%v", after)
	}
}

// Guards against records that count for good: a content that comes again later is a new
// request.
func TestRecordsOfRequestsGivenUpExpire(t *testing.T) {
	var r Returns
	r.GivenUp(0, 7)
	r.GivenUp(time.Second, 7)
	assert.Assert(t, r.CameBack(returnsMaxAge+1, 7), "the second record")
	assert.Assert(t, !r.CameBack(returnsMaxAge+1, 7), "the first record")
	r.GivenUp(10*time.Second, 7)
	assert.Assert(t, !r.CameBack(10*time.Second+returnsMaxAge+1, 7))
}

// Load: many callers send the same content. Guards against first tries that count as having
// come back although no more requests were given up.
func TestContentCountsOnceForEachRequestGivenUp(t *testing.T) {
	var r Returns
	const given = 3
	for range given {
		r.GivenUp(0, 7)
	}
	for range given {
		assert.Assert(t, r.CameBack(time.Second, 7))
	}
	assert.Assert(t, !r.CameBack(time.Second, 7))
}

// Load: requests with bodies that are not read before they are sent. Guards against taking all
// of them for the same request.
func TestUnknownContentNeverComesBack(t *testing.T) {
	var r Returns
	r.GivenUp(0, 0)
	assert.Assert(t, !r.CameBack(0, 0))
	r.GivenUp(0, 7)
	assert.Assert(t, r.CameBack(0, 7))
	assert.Assert(t, !r.CameBack(0, 0))
}

// Load: more requests are given up within seconds than records are kept. Guards against memory
// that grows with the load, and against losing the newest records.
func TestOldestRecordsGoFirst(t *testing.T) {
	var r Returns
	for content := range uint64(3 * maxReturns) {
		r.GivenUp(0, content+1)
		assert.Assert(t, len(r.contents) <= maxReturns && len(r.ring) <= maxReturns)
	}
	assert.Assert(t, !r.CameBack(0, 2*maxReturns))
	for content := range uint64(maxReturns) {
		assert.Assert(t, r.CameBack(0, 2*maxReturns+content+1), "%d", content)
	}
	assert.Equal(t, len(r.contents), 0)
}

// Guards against records that are lost, counted twice or kept too long in any order of events,
// compared with a list that is searched.
func TestReturnsAreThoseOfASearchedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Returns
		var list []givenUp
		now := time.Duration(0)
		for range rapid.IntRange(0, 400).Draw(t, "events") {
			now += rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 300 * time.Millisecond, returnsMaxAge}).Draw(t, "step")
			content := rapid.Uint64Range(0, 5).Draw(t, "content")
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				r.GivenUp(now, content)
				list = append(list, givenUp{content: content, at: now})
				continue
			}
			want := false
			for i, g := range list {
				if want = content != 0 && g.content == content && now-g.at <= returnsMaxAge; want {
					list[i].content = 0
					break
				}
			}
			assert.Equal(t, r.CameBack(now, content), want)
		}
	})
}

// Guards against allocations for each request on a node that gives up many.
func TestReturnsDoNotAllocateInSteadyState(t *testing.T) {
	var r Returns
	now, content := time.Duration(0), uint64(0)
	step := func() {
		now += time.Millisecond
		content++
		r.GivenUp(now, content)
		r.CameBack(now, content/2)
	}
	for range 4 * maxReturns {
		step()
	}
	assert.Equal(t, testing.AllocsPerRun(4*maxReturns, step), 0.0)
}

func BenchmarkReturns(b *testing.B) {
	var r Returns
	now, content := time.Duration(0), uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		content++
		r.GivenUp(now, content*0x9e3779b97f4a7c15)
		r.CameBack(now, (content-50)*0x9e3779b97f4a7c15)
	}
}

func BenchmarkFirstTryReturns(b *testing.B) {
	var r Returns
	for i := range uint64(1000) {
		r.GivenUp(0, i+1)
	}
	content := uint64(10_000)
	b.ReportAllocs()
	for b.Loop() {
		content++
		r.CameBack(0, content)
	}
}
