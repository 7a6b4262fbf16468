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
	// time for its own bytes.
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

// sendPaced sends large responses as a scheduler with the given order allows.
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
// 15 s: short responses of 5 KB, and downloads of 90 KB on average whose rate is 2.5 times as
// high between 3 and 9 s. Half of the downloads go to the host's own callers and were received
// from other hosts; the link is the same for both.
func downloadBurst(seed uint64) []*message {
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
		messages = append(messages, &message{at: now, bytes: bytes, due: now + 2500*ms})
		rate := 8.0
		if now > 3*time.Second && now < 9*time.Second {
			rate = 20
		}
		now = next(now, rate)
	}
	slices.SortFunc(messages, func(a, b *message) int { return cmp.Compare(a.at, b.at) })
	return messages
}

// outcome summarizes how long messages of one kind took.
type outcome struct {
	p50, p99         time.Duration
	mean             time.Duration
	inAim, inTime, n int
}

func summarize(messages []*message, counted bool) outcome {
	var waits []time.Duration
	var o outcome
	for _, m := range messages {
		if m.counted != counted {
			continue
		}
		took := m.done - m.at
		waits = append(waits, m.waited)
		o.mean += took
		o.n++
		if took <= 1500*ms {
			o.inAim++
		}
		if took <= 2500*ms {
			o.inTime++
		}
	}
	slices.Sort(waits)
	o.p50, o.p99, o.mean = waits[len(waits)/2], waits[len(waits)*99/100], o.mean/time.Duration(o.n)
	return o
}

// Guards against short responses that wait on the link behind downloads, also while more
// downloads come than the link can send.
func TestShortResponsesDoNotWaitBehindDownloads(t *testing.T) {
	for seed := range uint64(5) {
		before := downloadBurst(seed)
		sendUnpaced(before)
		unpaced := summarize(before, true)
		after := downloadBurst(seed)
		sendPaced(after, fewestBytesLeft)
		paced := summarize(after, true)
		t.Logf("seed %d: short responses wait %v at p50, %v at p99; unpaced %v and %v", seed, paced.p50.Round(ms/10), paced.p99.Round(ms/10), unpaced.p50.Round(ms), unpaced.p99.Round(ms))
		assert.Assert(t, unpaced.p99 > 300*ms, "the scenario does not fill the link")
		assert.Assert(t, paced.p99 < 20*ms, "p99 of the wait is %v", paced.p99)
		assert.Assert(t, paced.p50 < 5*ms, "p50 of the wait is %v", paced.p50)
	}
}

// Guards against an order of transfers that ends fewer downloads in time than others. The
// figures of this test are in docs/design/host-link.md.
func TestOrdersOfTransfers(t *testing.T) {
	orders := []struct {
		name   string
		before func(a, b *transfer) bool
	}{
		{"first come", func(a, b *transfer) bool { return a.id < b.id }},
		{"fewest bytes left", fewestBytesLeft},
		{"earliest due", func(a, b *transfer) bool { return a.due < b.due }},
	}
	results := make([]outcome, len(orders))
	for i, order := range orders {
		for seed := range uint64(20) {
			messages := downloadBurst(seed)
			sendPaced(messages, order.before)
			o := summarize(messages, false)
			results[i].inAim += o.inAim
			results[i].inTime += o.inTime
			results[i].n += o.n
			results[i].mean += o.mean / 20
			results[i].p99 += o.p99 / 20
		}
		r := results[i]
		t.Logf("%-18s mean %v, wait p99 %v, within 1.5 s %.1f %%, within 2.5 s %.1f %%", order.name, r.mean.Round(ms), r.p99.Round(ms), 100*float64(r.inAim)/float64(r.n), 100*float64(r.inTime)/float64(r.n))
	}
	kept := results[1]
	for _, other := range []outcome{results[0], results[2]} {
		assert.Assert(t, kept.mean < other.mean && kept.inAim >= other.inAim && kept.inTime >= other.inTime)
	}
}
