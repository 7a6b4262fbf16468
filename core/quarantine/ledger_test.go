package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// get is the content of a GET without a body.
func get(uri string) Content { return from("shop", uri) }

func from(caller, uri string) Content {
	return ContentOf(Target{Method: "GET", Host: "h", URI: uri, Caller: caller}, SumOf(nil))
}

func put(uri, body string) Content {
	return ContentOf(Target{Method: "PUT", Host: "h", URI: uri, Caller: "shop"}, SumOf([]byte(body)))
}

var nextEnd EndID

func ended(contents ...Content) End {
	nextEnd++
	return End{ID: nextEnd, Contents: contents}
}

// A caller sees one service after the other refuse. Its request crashes each server
// that runs it and comes again under a new id. From the third end on no server gets
// it; the same path with another body is served.
func TestThirdEndBars(t *testing.T) {
	l := NewLedger()
	fatal := put("/list", "kill")
	for i := range endsToBar {
		assert.Equal(t, l.Barred(time.Second, fatal), time.Duration(0), "before end %d", i+1)
		l.Ended(time.Second, ended(fatal))
	}
	assert.Equal(t, l.Barred(2*time.Second, fatal), keepEnds-time.Second)
	assert.Equal(t, l.Barred(2*time.Second, put("/list", "keep")), time.Duration(0))
	assert.Equal(t, l.Barred(2*time.Second, Content{}), time.Duration(0))
}

// A request that is kept away is let through once its ends are old, since whatever
// crashed under it may have been mended. If not, one more end is enough.
func TestBarIsLiftedAndOneEndRenewsIt(t *testing.T) {
	l := NewLedger()
	fatal := get("/fatal")
	for i := range endsToBar {
		l.Ended(time.Duration(i)*time.Minute, ended(fatal))
	}
	assert.Assert(t, l.Barred(keepEnds-1, fatal) > 0)
	now := keepEnds + time.Second
	l.Tick(now)
	assert.Equal(t, l.Barred(now, fatal), time.Duration(0))
	l.Ended(now, ended(fatal))
	assert.Assert(t, l.Barred(now, fatal) > 0)
}

// What servers run all the time is on each of those that end. A caller of such a
// request must be served: it was answered elsewhere a moment before, on a host whose
// ledger remembers that.
func TestPopularRequestIsCleared(t *testing.T) {
	here, elsewhere := NewLedger(), NewLedger()
	popular, fatal := get("/popular"), get("/fatal")
	assert.Assert(t, elsewhere.Completed(time.Second, popular).Empty(), "nobody suspects it yet")
	for range endsToBar {
		news := here.Ended(2*time.Second, ended(popular, fatal))
		spread, _ := elsewhere.Learn(2*time.Second, news)
		for _, e := range spread.Ends {
			assert.DeepEqual(t, e.Contents, []Content{fatal})
		}
		here.Learn(2*time.Second, spread)
	}
	for _, l := range []*Ledger{here, elsewhere} {
		assert.Equal(t, l.Barred(2*time.Second, popular), time.Duration(0))
		assert.Assert(t, l.Barred(2*time.Second, fatal) > 0)
		assert.Equal(t, l.Digest(), here.Digest())
	}
}

// A rare request ran on three servers that ended, and was answered at last by one that
// had it already. It is served again everywhere.
func TestLaterAnswerClears(t *testing.T) {
	l, other := NewLedger(), NewLedger()
	rare := get("/rare")
	for range endsToBar {
		other.Learn(0, l.Ended(0, ended(rare)))
	}
	assert.Assert(t, other.Barred(0, rare) > 0)
	news := l.Completed(time.Second, rare)
	assert.Equal(t, l.Barred(time.Second, rare), time.Duration(0))
	other.Learn(time.Second, news)
	assert.Equal(t, other.Barred(time.Second, rare), time.Duration(0))
	assert.Assert(t, l.Completed(2*time.Second, rare).Empty(), "nobody suspects it any more")
}

// A request that was answered for long and then begins to crash servers is kept away
// all the same.
func TestOldAnswerDoesNotClear(t *testing.T) {
	l := NewLedger()
	turned := get("/turned")
	l.Completed(0, turned)
	for range endsToBar {
		l.Ended(clearedBy+time.Second, ended(turned))
	}
	assert.Assert(t, l.Barred(clearedBy+time.Second, turned) > 0)
}

// A node that hears late of an end knows of the answer that clears its contents: who
// told it of the end is put right, and need not go on suspecting them.
func TestSenderIsPutRight(t *testing.T) {
	l, late := NewLedger(), NewLedger()
	popular := get("/popular")
	l.Learn(0, News{Completions: []Completion{{Key: popular.Exact}, {Key: popular.Alike}}})
	late.Ended(0, ended(popular))
	spread, correction := l.Learn(0, News{Ends: late.Held(0, func(uint64) bool { return true })})
	assert.Assert(t, spread.Empty())
	late.Learn(0, correction)
	assert.Equal(t, late.Digest(), l.Digest())
}

// The caller adds another query each time, or its requests come through hosts of other
// services. That they are one request shows once two of them have ended servers. As
// long as it is the same each time, those with another query are not blamed for it.
func TestVaryingRequestIsRecognised(t *testing.T) {
	for _, c := range []struct {
		desc  string
		ends  []Content
		other Content
		bars  bool
	}{
		{"another query each time", []Content{get("/a?1"), get("/a?2"), get("/a")}, get("/a?4"), true},
		{"through other hosts", []Content{from("x", "/a"), from("y", "/a"), from("x", "/a")}, from("z", "/a"), true},
		{"the same each time", []Content{get("/a?1"), get("/a?1"), get("/a?1")}, get("/a?2"), false},
		{"another path each time", []Content{get("/a"), get("/b"), get("/c")}, get("/d"), false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			l := NewLedger()
			for _, content := range c.ends {
				l.Ended(0, ended(content))
			}
			assert.Equal(t, l.Barred(0, c.other) > 0, c.bars)
		})
	}
}

// Answers to others like it do not clear a request that is the same each time.
func TestAnswersToOthersLikeItDoNotClear(t *testing.T) {
	l := NewLedger()
	for range endsToBar {
		l.Completed(0, from("y", "/a"))
		l.Ended(0, ended(from("x", "/a")))
	}
	assert.Assert(t, l.Barred(0, from("x", "/a")) > 0)
	assert.Equal(t, l.Barred(0, from("y", "/a")), time.Duration(0))
}

// A request that merely was on servers beside one that stands on more ends is its
// company. If it ends servers by itself, the next end tells.
func TestCompanyIsNotBlamed(t *testing.T) {
	l := NewLedger()
	fatal, company := get("/fatal"), get("/company")
	l.Ended(0, ended(fatal))
	for range endsToBar {
		l.Ended(0, ended(fatal, company))
	}
	assert.Assert(t, l.Barred(0, fatal) > 0)
	assert.Equal(t, l.Barred(0, company), time.Duration(0))
	l.Ended(0, ended(company))
	assert.Assert(t, l.Barred(0, company) > 0)
}

// Two fatal requests come at once and end the same servers. Both are kept away.
func TestTwoAtOnceAreBothKeptAway(t *testing.T) {
	l := NewLedger()
	one, two := get("/one"), put("/two", "kill")
	for range endsToBar {
		l.Ended(0, ended(one, two))
	}
	assert.Assert(t, l.Barred(0, one) > 0)
	assert.Assert(t, l.Barred(0, two) > 0)
}

// Streamed bodies have to be looked at where one ended a server, whatever else was
// answered on that path since.
func TestPathStaysSuspected(t *testing.T) {
	l := NewLedger()
	path := PathOf(Target{Method: "POST", Host: "h", URI: "/up?x"})
	assert.Assert(t, !l.Suspected(path))
	l.Ended(0, End{ID: 1, Paths: []Key{path}})
	l.Completed(0, put("/up", "other"))
	assert.Assert(t, l.Suspected(path))
	assert.Assert(t, l.Digest() != 0)
}

// Whatever is heard in whatever order, twice or cut in pieces: ledgers that heard the
// same keep the same requests away.
func TestOrderDoesNotMatter(t *testing.T) {
	contents := []Content{get("/a?1"), get("/a?2"), get("/b"), put("/c", "1"), put("/c", "2"), from("other", "/a?1")}
	rapid.Check(t, func(t *rapid.T) {
		var news []News
		for id := range rapid.IntRange(1, 8).Draw(t, "ends") {
			age := time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Second
			for _, c := range rapid.SliceOfNDistinct(rapid.SampledFrom(contents), 1, 4, func(c Content) Key { return c.Exact }).Draw(t, "contents") {
				news = append(news, News{Ends: []End{{ID: EndID(id + 1), Age: age, Contents: []Content{c}}}})
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
		assert.Equal(t, fmt.Sprint(one.barred), fmt.Sprint(two.barred))
		assert.Equal(t, one.Digest(), two.Digest())
	})
}

// However much is told, what a ledger holds is bounded.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	for i := range 3 * mostCompletions {
		c := get(fmt.Sprint("/", i))
		l.Learn(0, News{Ends: []End{ended(c)}, Completions: []Completion{{Key: Key(i + 1)}}})
	}
	assert.Assert(t, len(l.ends) <= mostEnds)
	assert.Assert(t, len(l.completed) <= mostCompletions)
}
