package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// get returns the content of a GET request without a body.
func get(uri string) Content { return getFrom("shop", uri) }

func getFrom(caller, uri string) Content {
	return ContentOf(Target{Method: "GET", Host: "h", URI: uri, Caller: caller}, SumOf(nil))
}

func put(uri, body string) Content {
	return ContentOf(Target{Method: "PUT", Host: "h", URI: uri, Caller: "shop"}, SumOf([]byte(body)))
}

var nextCrashID CrashID

func newCrash(contents ...Content) Crash {
	nextCrashID++
	return Crash{ID: nextCrashID, Contents: contents}
}

// TestThirdCrashQuarantines guards against a retried request that crashes one server
// after the other under new ids. It must be quarantined from the third crash on, and
// the same path with another body must still be served.
func TestThirdCrashQuarantines(t *testing.T) {
	l := NewLedger()
	fatal := put("/list", "kill")
	for i := range quarantineThreshold {
		assert.Equal(t, l.QuarantinedFor(time.Second, fatal), time.Duration(0), "before crash %d", i+1)
		l.RecordCrash(time.Second, newCrash(fatal))
	}
	assert.Equal(t, l.QuarantinedFor(2*time.Second, fatal), crashRetention-time.Second)
	assert.Equal(t, l.QuarantinedFor(2*time.Second, put("/list", "keep")), time.Duration(0))
	assert.Equal(t, l.QuarantinedFor(2*time.Second, Content{}), time.Duration(0))
}

// TestQuarantineExpiresAndOneCrashRenewsIt guards against a quarantine that never ends,
// since the fault may have been fixed, and against one that takes three more crashes to
// return.
func TestQuarantineExpiresAndOneCrashRenewsIt(t *testing.T) {
	l := NewLedger()
	fatal := get("/fatal")
	for i := range quarantineThreshold {
		l.RecordCrash(time.Duration(i)*time.Minute, newCrash(fatal))
	}
	assert.Assert(t, l.QuarantinedFor(crashRetention-1, fatal) > 0)
	now := crashRetention + time.Second
	l.Tick(now)
	assert.Equal(t, l.QuarantinedFor(now, fatal), time.Duration(0))
	l.RecordCrash(now, newCrash(fatal))
	assert.Assert(t, l.QuarantinedFor(now, fatal) > 0)
}

// TestPopularRequestIsNotQuarantined guards against the quarantine of a request that
// servers run all the time and that is therefore recorded with every crash. Shortly
// before, it completed on another host, whose ledger remembers the completion.
func TestPopularRequestIsNotQuarantined(t *testing.T) {
	here, elsewhere := NewLedger(), NewLedger()
	popular, fatal := get("/popular"), get("/fatal")
	assert.Assert(t, elsewhere.Completed(time.Second, popular).Empty(), "the content is not suspected yet")
	for range quarantineThreshold {
		news := here.RecordCrash(2*time.Second, newCrash(popular, fatal))
		forward, _ := elsewhere.Learn(2*time.Second, news)
		for _, e := range forward.Crashes {
			assert.DeepEqual(t, e.Contents, []Content{fatal})
		}
		here.Learn(2*time.Second, forward)
	}
	for _, l := range []*Ledger{here, elsewhere} {
		assert.Equal(t, l.QuarantinedFor(2*time.Second, popular), time.Duration(0))
		assert.Assert(t, l.QuarantinedFor(2*time.Second, fatal) > 0)
		assert.Equal(t, l.Digest(), here.Digest())
	}
}

// TestLaterAnswerEndsQuarantine guards against the lasting quarantine of a rare, harmless
// request that by chance ran on three crashed servers. Once another server, which was
// already running it when it was quarantined, completes it, all nodes must admit it again.
func TestLaterAnswerEndsQuarantine(t *testing.T) {
	l, other := NewLedger(), NewLedger()
	rare := get("/rare")
	for range quarantineThreshold {
		other.Learn(0, l.RecordCrash(0, newCrash(rare)))
	}
	assert.Assert(t, other.QuarantinedFor(0, rare) > 0)
	news := l.Completed(time.Second, rare)
	assert.Equal(t, l.QuarantinedFor(time.Second, rare), time.Duration(0))
	other.Learn(time.Second, news)
	assert.Equal(t, other.QuarantinedFor(time.Second, rare), time.Duration(0))
	assert.Assert(t, l.Completed(2*time.Second, rare).Empty(), "the content is not suspected any more")
}

// TestOldAnswerDoesNotPreventQuarantine guards against serving a request that completed
// normally in the past and crashes servers now.
func TestOldAnswerDoesNotPreventQuarantine(t *testing.T) {
	l := NewLedger()
	fatal := get("/turned")
	l.Completed(0, fatal)
	for range quarantineThreshold {
		l.RecordCrash(completionWindow+time.Second, newCrash(fatal))
	}
	assert.Assert(t, l.QuarantinedFor(completionWindow+time.Second, fatal) > 0)
}

// TestSenderIsCorrected guards against a node that keeps suspecting a content because it
// did not receive the completion that clears it. When the node sends the crash to another
// node that knows of the completion, that node must send the completion back.
func TestSenderIsCorrected(t *testing.T) {
	l, late := NewLedger(), NewLedger()
	popular := get("/popular")
	l.Learn(0, News{Completions: []Completion{{Key: popular.Exact}, {Key: popular.Alike}}})
	late.RecordCrash(0, newCrash(popular))
	forward, correction := l.Learn(0, News{Crashes: late.SelectCrashes(0, func(uint64) bool { return true })})
	assert.Assert(t, forward.Empty())
	late.Learn(0, correction)
	assert.Equal(t, late.Digest(), l.Digest())
}

// TestVaryingRequestIsRecognised guards against a request that evades the quarantine
// because each retry has another query or comes from another service. It must be
// quarantined once two of its variants have crashed servers. As long as the crashing
// request is the same each time, variants of it must be served.
func TestVaryingRequestIsRecognised(t *testing.T) {
	for _, c := range []struct {
		desc        string
		crashing    []Content
		other       Content
		quarantined bool
	}{
		{"another query each time", []Content{get("/a?1"), get("/a?2"), get("/a")}, get("/a?4"), true},
		{"from other services", []Content{getFrom("x", "/a"), getFrom("y", "/a"), getFrom("x", "/a")}, getFrom("z", "/a"), true},
		{"the same each time", []Content{get("/a?1"), get("/a?1"), get("/a?1")}, get("/a?2"), false},
		{"another path each time", []Content{get("/a"), get("/b"), get("/c")}, get("/d"), false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			l := NewLedger()
			for _, content := range c.crashing {
				l.RecordCrash(0, newCrash(content))
			}
			assert.Equal(t, l.QuarantinedFor(0, c.other) > 0, c.quarantined)
		})
	}
}

// TestAnswersToSimilarRequestsDoNotPreventQuarantine guards against completions of similar
// requests that clear a request which is the same in each crash.
func TestAnswersToSimilarRequestsDoNotPreventQuarantine(t *testing.T) {
	l := NewLedger()
	for range quarantineThreshold {
		l.Completed(0, getFrom("y", "/a"))
		l.RecordCrash(0, newCrash(getFrom("x", "/a")))
	}
	assert.Assert(t, l.QuarantinedFor(0, getFrom("x", "/a")) > 0)
	assert.Equal(t, l.QuarantinedFor(0, getFrom("y", "/a")), time.Duration(0))
}

// TestRequestBesideTheCauseIsNotQuarantined guards against the quarantine of a request
// that ran only on servers that also ran another request, recorded with more crashes. A
// crash in which the first request runs without the other one must quarantine it.
func TestRequestBesideTheCauseIsNotQuarantined(t *testing.T) {
	l := NewLedger()
	fatal, harmless := get("/fatal"), get("/company")
	l.RecordCrash(0, newCrash(fatal))
	for range quarantineThreshold {
		l.RecordCrash(0, newCrash(fatal, harmless))
	}
	assert.Assert(t, l.QuarantinedFor(0, fatal) > 0)
	assert.Equal(t, l.QuarantinedFor(0, harmless), time.Duration(0))
	l.RecordCrash(0, newCrash(harmless))
	assert.Assert(t, l.QuarantinedFor(0, harmless) > 0)
}

// TestTwoSimultaneousCausesAreQuarantined guards against overlooking two fatal requests
// that crash the same servers.
func TestTwoSimultaneousCausesAreQuarantined(t *testing.T) {
	l := NewLedger()
	one, two := get("/one"), put("/two", "kill")
	for range quarantineThreshold {
		l.RecordCrash(0, newCrash(one, two))
	}
	assert.Assert(t, l.QuarantinedFor(0, one) > 0)
	assert.Assert(t, l.QuarantinedFor(0, two) > 0)
}

// TestPathStaysSuspected guards against streaming a body to a server unread although a
// request with a streamed body and the same path has crashed one. Other requests with
// that path that completed since must not clear the path.
func TestPathStaysSuspected(t *testing.T) {
	l := NewLedger()
	path := PathOf(Target{Method: "POST", Host: "h", URI: "/up?x"})
	assert.Assert(t, !l.Suspected(path))
	l.RecordCrash(0, Crash{ID: 1, Paths: []Key{path}})
	l.Completed(0, put("/up", "other"))
	assert.Assert(t, l.Suspected(path))
	assert.Assert(t, l.Digest() != 0)
}

// TestOrderDoesNotMatter guards against ledgers that derive different quarantines from
// the same news, received in another order, twice or in parts.
func TestOrderDoesNotMatter(t *testing.T) {
	contents := []Content{get("/a?1"), get("/a?2"), get("/b"), put("/c", "1"), put("/c", "2"), getFrom("other", "/a?1")}
	rapid.Check(t, func(t *rapid.T) {
		var news []News
		for id := range rapid.IntRange(1, 8).Draw(t, "ends") {
			age := time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Second
			for _, c := range rapid.SliceOfNDistinct(rapid.SampledFrom(contents), 1, 4, func(c Content) Key { return c.Exact }).Draw(t, "contents") {
				news = append(news, News{Crashes: []Crash{{ID: CrashID(id + 1), Age: age, Contents: []Content{c}}}})
			}
		}
		for range rapid.IntRange(0, 4).Draw(t, "answers") {
			c := rapid.SampledFrom(contents).Draw(t, "answered")
			age := time.Duration(rapid.IntRange(0, 100).Draw(t, "answer's age")) * time.Second
			news = append(news, News{Completions: []Completion{{Key: c.Exact, Age: age}, {Key: c.Alike, Age: age}}})
		}
		const now = 5 * time.Minute
		one, two := NewLedger(), NewLedger()
		for _, n := range news {
			one.Learn(now, n)
		}
		for _, n := range rapid.Permutation(append(news, news[0])).Draw(t, "order") {
			two.Learn(now, n)
		}
		assert.Equal(t, fmt.Sprint(one.quarantinedUntil), fmt.Sprint(two.quarantinedUntil))
		assert.Equal(t, one.Digest(), two.Digest())
	})
}

// TestLedgerIsBounded guards against unlimited memory use.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	for i := range 3 * maxCompletions {
		c := get(fmt.Sprint("/", i))
		l.Learn(0, News{Crashes: []Crash{newCrash(c)}, Completions: []Completion{{Key: Key(i + 1)}}})
	}
	assert.Assert(t, len(l.crashes) <= maxCrashes)
	assert.Assert(t, len(l.completed) <= maxCompletions)
}
