package link

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// message is something that a host sends in a scenario: a large response, or bytes that are
// sent without asking.
type message struct {
	at    time.Duration
	bytes int
	// counted marks short responses and request bodies.
	counted bool
	due     time.Duration

	id   TransferID
	left int
	// done is when its last byte has left the link, waited how long that took beyond the
	// time for its own bytes. left stays above 0 if its caller disconnected before.
	done, waited time.Duration
}

// wire is a link that sends what it gets in order.
type wire struct {
	bytesPerSecond float64
	freeAt         time.Duration
}

func (w *wire) duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / w.bytesPerSecond * float64(time.Second))
}

func (w *wire) send(now time.Duration, bytes int) (done time.Duration) {
	w.freeAt = max(w.freeAt, now) + w.duration(bytes)
	return w.freeAt
}

// sendUnpaced sends all messages as they come.
func sendUnpaced(messages []*message) {
	link := &wire{bytesPerSecond: tournamentLink}
	for _, m := range messages {
		m.done = link.send(m.at, m.bytes)
		m.waited = m.done - m.at - link.duration(m.bytes)
	}
}

// sendPaced sends large responses as a scheduler with the given order allows. Callers disconnect
// when their time limit has passed.
func sendPaced(messages []*message, before func(a, b *transfer) bool) {
	link, s := &wire{bytesPerSecond: tournamentLink}, New(tournamentLink)
	s.before = before
	transfers := map[TransferID]*message{}
	arrived, now := 0, time.Duration(0)
	for arrived < len(messages) || len(transfers) > 0 {
		for ; arrived < len(messages) && messages[arrived].at <= now; arrived++ {
			m := messages[arrived]
			if m.counted {
				s.Sent(now, m.bytes)
				m.done = link.send(now, m.bytes)
				m.waited = m.done - m.at - link.duration(m.bytes)
				continue
			}
			m.id, m.left = s.Begin(now, int64(m.bytes), m.due), m.bytes
			transfers[m.id] = m
			s.Ask(now, m.id, min(m.left, s.Chunk()))
		}
		for id, m := range transfers {
			if m.due < now {
				s.End(now, id)
				delete(transfers, id)
			}
		}
		id, ok, at := s.Next(now)
		if !ok {
			now = nextEvent(messages, arrived, at)
			continue
		}
		m := transfers[id]
		chunk := min(m.left, s.Chunk())
		m.left -= chunk
		m.done = link.send(now, chunk)
		if m.left > 0 {
			s.Ask(now, id, min(m.left, s.Chunk()))
			continue
		}
		m.waited = m.done - m.at - link.duration(m.bytes)
		s.End(now, id)
		delete(transfers, id)
	}
}

func nextEvent(messages []*message, arrived int, at time.Duration) time.Duration {
	if arrived == len(messages) {
		return at
	}
	if at == 0 {
		return messages[arrived].at
	}
	return min(at, messages[arrived].at)
}

// downloadBurst is what one of three hosts of a data centre with 58 % of the requests sends in
// 15 s: 24 short responses of 5 KB per second, and 8 downloads of 90 KB on average per second,
// more between 3 and 9 s. Callers of a third of the downloads allow 1.5 s, the others 2.5 s.
// Some of the downloads go to the host's own callers and were received from other hosts; the
// link is the same for both.
func downloadBurst(seed uint64, burstRate float64) []*message {
	const length = 15 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	next := func(now time.Duration, perSecond float64) time.Duration {
		return now + time.Duration(random.ExpFloat64()/perSecond*float64(time.Second))
	}
	var messages []*message
	for now := next(0, 24); now < length; now = next(now, 24) {
		messages = append(messages, &message{at: now, bytes: 5 << 10, counted: true})
	}
	for now := next(0, 8); now < length; {
		bytes := int(min(540e3, 54e3+random.ExpFloat64()*36e3))
		limit := 2500 * ms
		if random.IntN(3) == 0 {
			limit = 1500 * ms
		}
		messages = append(messages, &message{at: now, bytes: bytes, due: now + limit})
		rate := 8.0
		if now > 3*time.Second && now < 9*time.Second {
			rate = burstRate
		}
		now = next(now, rate)
	}
	slices.SortFunc(messages, func(a, b *message) int { return cmp.Compare(a.at, b.at) })
	return messages
}

// outcome summarizes how long messages of one kind took.
type outcome struct {
	p50, p99  time.Duration
	inTime, n int
}

func summarize(messages []*message, counted bool) outcome {
	var waits []time.Duration
	var o outcome
	for _, m := range messages {
		if m.counted != counted {
			continue
		}
		o.n++
		if !counted && (m.left > 0 || m.done > m.due) {
			continue
		}
		o.inTime++
		waits = append(waits, m.waited)
	}
	slices.Sort(waits)
	o.p50, o.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	return o
}

// Guards against short responses that wait on the link behind downloads, also while more
// downloads come than the link can send.
func TestShortResponsesDoNotWaitBehindDownloads(t *testing.T) {
	for seed := range uint64(5) {
		before := downloadBurst(seed, 20)
		sendUnpaced(before)
		unpaced := summarize(before, true)
		after := downloadBurst(seed, 20)
		sendPaced(after, fewestBytesLeft)
		paced := summarize(after, true)
		t.Logf("seed %d: short responses wait %v at p50, %v at p99; unpaced %v and %v", seed, paced.p50.Round(ms/10), paced.p99.Round(ms/10), unpaced.p50.Round(ms), unpaced.p99.Round(ms))
		assert.Assert(t, unpaced.p99 > 300*ms, "the scenario does not fill the link")
		assert.Assert(t, paced.p99 < 20*ms, "p99 of the wait is %v", paced.p99)
		assert.Assert(t, paced.p50 < 5*ms, "p50 of the wait is %v", paced.p50)
	}
}

// Guards against an order of transfers that ends fewer downloads in time than others, on a full
// link and on one that has room. The figures of this test are in docs/design/host-link.md.
func TestOrdersOfTransfers(t *testing.T) {
	orders := []struct {
		name   string
		before func(a, b *transfer) bool
	}{
		{"fewest bytes left", fewestBytesLeft},
		{"first come", func(a, b *transfer) bool { return a.id < b.id }},
		{"earliest due", func(a, b *transfer) bool { return a.due < b.due }},
	}
	for _, burst := range []struct {
		name      string
		perSecond float64
		// maxLoss is how many of 100 downloads the order that is kept may lose against others:
		// a few of the longest ones wait too long behind shorter ones.
		maxLoss float64
	}{{"a full link", 20, 0}, {"a link with room", 11, 1}} {
		var kept outcome
		for i, order := range orders {
			var sum outcome
			for seed := range uint64(20) {
				messages := downloadBurst(seed, burst.perSecond)
				sendPaced(messages, order.before)
				o := summarize(messages, false)
				sum.inTime += o.inTime
				sum.n += o.n
				sum.p50 += o.p50 / 20
				sum.p99 += o.p99 / 20
			}
			t.Logf("%s, %s: %.1f %% in time; these wait %v at p50, %v at p99", burst.name, order.name, 100*float64(sum.inTime)/float64(sum.n), sum.p50.Round(ms), sum.p99.Round(ms))
			if i == 0 {
				kept = sum
				continue
			}
			assert.Assert(t, float64(kept.inTime) >= float64(sum.inTime)-burst.maxLoss/100*float64(sum.n))
			assert.Assert(t, 2*kept.p50 < sum.p50, "p50 of the wait is %v, %v with %s", kept.p50, sum.p50, order.name)
		}
	}
}
