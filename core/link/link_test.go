package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	ms = time.Millisecond
	// tournamentLink is the bandwidth of a host with 11 Mbit/s in bytes per second.
	tournamentLink = 11e6 / 8
)

// releasedUntil returns the bytes of the chunks that each transfer gets until the given time,
// with a timer that fires as Next asks. Each of them asks for its next chunk at once.
func releasedUntil(s *Scheduler, now, until time.Duration) map[TransferID]int {
	released := map[TransferID]int{}
	for now <= until {
		id, ok, at := s.Next(now)
		switch {
		case ok:
			released[id] += s.Chunk()
			s.Ask(now, id, s.Chunk())
		case at == 0:
			return released
		default:
			now = at
		}
	}
	return released
}

// Guards against chunks that a short response has to wait for longer than 5 ms, and against
// more wake-ups than a small host can afford.
func TestChunksAreLimitedInBytesAndTime(t *testing.T) {
	for _, tc := range []struct {
		bytesPerSecond float64
		chunk          int
	}{{100e6 / 8, 8192}, {tournamentLink, 6875}, {4.2e6 / 8, 2625}, {1000, minChunkBytes}} {
		assert.Equal(t, New(tc.bytesPerSecond).Chunk(), tc.chunk)
	}
}

// Guards against a queue in front of the link: large responses and counted bytes together must
// not take more than their share in any tenth of a second, except for two chunks.
func TestLargeResponsesLeaveRoomForCountedBytes(t *testing.T) {
	for _, short := range []float64{0, 0.2, 0.5} {
		s := New(tournamentLink)
		id := s.Begin(0, 100<<20, time.Second)
		s.Ask(0, id, s.Chunk())
		var released []int
		for step := range 20 {
			now := time.Duration(step) * 100 * ms
			s.Sent(now, int(short*tournamentLink/10))
			released = append(released, releasedUntil(s, now, now+100*ms-1)[id])
		}
		total := 0
		for _, bytes := range released {
			total += bytes
			limit := int((LargeShare-short)*tournamentLink/10) + 2*s.Chunk()
			assert.Assert(t, bytes <= limit, "%d bytes in a tenth of a second, at most %d expected", bytes, limit)
		}
		assert.Assert(t, float64(total) > 0.95*(LargeShare-short)*tournamentLink*2, "only %d bytes in two seconds: the link is left unused", total)
	}
}

// Guards against large responses that never end because counted bytes take the whole link, as
// they do if the bandwidth in the settings is too low.
func TestLargeResponsesKeepAGuaranteedShare(t *testing.T) {
	s := New(tournamentLink)
	id := s.Begin(0, 100<<20, time.Second)
	s.Ask(0, id, s.Chunk())
	total := 0
	for step := range 200 {
		now := time.Duration(step) * 10 * ms
		s.Sent(now, int(3*tournamentLink/100))
		total += releasedUntil(s, now, now+10*ms-1)[id]
	}
	assert.Assert(t, float64(total) > 0.9*minLargeShare*tournamentLink*2, "%d bytes in two seconds", total)
	assert.Assert(t, float64(total) < 1.2*minLargeShare*tournamentLink*2, "%d bytes in two seconds", total)

	// Once nothing is counted any more, the large one has its share again.
	released := releasedUntil(s, 2*time.Second+maxDebt, 3*time.Second+maxDebt)[id]
	assert.Assert(t, float64(released) > 0.95*LargeShare*tournamentLink, "%d bytes in a second", released)
}

// Guards against a receiver that stops reading and holds up all other large responses.
func TestReceiverThatDoesNotReadDelaysNoOther(t *testing.T) {
	s := New(tournamentLink)
	stuck := s.Begin(0, 40<<10, time.Second)
	other := s.Begin(0, 500<<10, 2*time.Second)
	s.Ask(0, stuck, s.Chunk())
	s.Ask(0, other, s.Chunk())
	id, ok, _ := s.Next(0)
	assert.Assert(t, ok && id == stuck, "the shorter one goes first")
	// The stuck one asks no more, since its write blocks.
	released := releasedUntil(s, 0, time.Second)
	assert.Equal(t, released[stuck], 0)
	assert.Assert(t, float64(released[other]) > 0.95*LargeShare*tournamentLink, "%d bytes in a second", released[other])

	// It counts in the backlog for half a second only, since this link does not limit it.
	s.End(0, other)
	assert.Assert(t, s.Backlog(400*ms) > 20*ms)
	assert.Equal(t, s.Backlog(600*ms), time.Duration(0))
	s.Ask(600*ms, stuck, s.Chunk())
	assert.Assert(t, s.Backlog(600*ms) > 20*ms)
}

// Guards against a burst after a timer that fired late, for example because the process had
// no processor time: at most two chunks may go at once. The time of the second one is made up
// for, or each late timer would leave the link unused.
func TestLateTimerReleasesTwoChunksAtMost(t *testing.T) {
	s := New(tournamentLink)
	var ids []TransferID
	for range 5 {
		id := s.Begin(0, 500<<10, time.Second)
		s.Ask(0, id, s.Chunk())
		ids = append(ids, id)
	}
	atOnce := func(now time.Duration) (chunks int) {
		for {
			id, ok, _ := s.Next(now)
			if !ok {
				return chunks
			}
			chunks++
			s.Ask(now, id, s.Chunk())
		}
	}
	assert.Equal(t, atOnce(0), 1, "an idle link starts with one chunk")
	assert.Equal(t, atOnce(300*ms), 2)
	assert.Equal(t, atOnce(301*ms), 0)
	for _, id := range ids {
		s.End(300*ms, id)
	}
	// After a pause without transfers there is nothing to make up for.
	s.Ask(time.Second, s.Begin(time.Second, 500<<10, time.Second), s.Chunk())
	assert.Equal(t, atOnce(time.Second), 1)
}

// Guards against a fast link that is left unused because each timer fires later than a chunk
// takes, and against a burst of more than 5 ms after one that is very late.
func TestLateTimersDoNotSlowAFastLink(t *testing.T) {
	for _, bandwidth := range []float64{1e9 / 8, 10e9 / 8} {
		s := New(bandwidth)
		id := s.Begin(0, 100<<30, time.Hour)
		s.Ask(0, id, s.Chunk())
		released := func(now time.Duration) (bytes int) {
			for {
				if _, ok, _ := s.Next(now); !ok {
					return bytes
				}
				bytes += s.Chunk()
				s.Ask(now, id, s.Chunk())
			}
		}
		total, now := 0, time.Duration(0)
		for now < time.Second {
			total += released(now)
			_, _, at := s.Next(now)
			now = at + ms
		}
		assert.Assert(t, float64(total) > 0.98*LargeShare*bandwidth, "%d bytes in a second", total)
		assert.Assert(t, float64(total) < 1.02*LargeShare*bandwidth, "%d bytes in a second", total)

		burst := released(now + 300*ms)
		assert.Assert(t, float64(burst) <= LargeShare*bandwidth*maxChunkTime.Seconds()+float64(s.Chunk()), "%d bytes at once", burst)
	}
}

// Guards against an event of a long stream that waits for as long as downloads keep the link
// busy, and against a download of unknown length that passes for events because chunks are
// small on a slow link.
func TestEventOfAStreamGoesFirst(t *testing.T) {
	for _, bandwidth := range []float64{tournamentLink, 100e3} {
		s := New(bandwidth)
		stream := s.Begin(0, -1, time.Hour)
		now := time.Duration(0)
		for sent := 0; sent < 200<<10; sent += s.Chunk() {
			s.Ask(now, stream, s.Chunk())
			for {
				if _, ok, at := s.Next(now); !ok {
					now = at
					continue
				}
				break
			}
		}
		download := s.Begin(now, 90<<10, now+time.Second)
		s.Ask(now, download, s.Chunk())
		s.Ask(now, stream, s.Chunk())
		released := releasedUntil(s, now, now+50*ms)
		assert.Assert(t, released[download] > 0 && released[stream] == 0, "the longer transfer goes first")
		s.End(now, stream)

		now += 50 * ms
		events := s.Begin(now, -1, time.Hour)
		s.Ask(now, events, 200)
		released = releasedUntil(s, now, now+20*ms)
		assert.Assert(t, released[events] > 0, "the event waits")
	}
}

// Guards against a long transfer to a slow receiver that counts with all its bytes in the
// backlog, so that downloads which the link sends at once are refused, and against one to a fast
// receiver that counts with less while it waits behind others.
func TestSlowReceiverCountsWithItsShareOfTheLink(t *testing.T) {
	const size = 10_000_000
	for _, c := range []struct {
		pause time.Duration
		// other is the size of another transfer, to a fast receiver; 0 if there is none. A
		// shorter one goes first all the time.
		other int64
		// counted is the share of the link that counted bytes take.
		counted       float64
		atLeast, most float64
	}{
		{0, 0, 0, 0.95, 1},
		{0, 0, 0.4, 0.95, 1},
		{0, size - 1, 0, 0.95, 1},
		{0, 2 * size, 0, 0.95, 1},
		{6 * ms, 0, 0, 0.85, 0.95},
		{80 * ms, 0, 0, 0, 0.1},
		{80 * ms, 2 * size, 0, 0, 0.2},
	} {
		s := New(tournamentLink)
		observed, now, askAt := s.Begin(0, size, time.Hour), time.Duration(0), time.Duration(0)
		if c.other > 0 {
			s.Ask(0, s.Begin(0, c.other, time.Hour), s.Chunk())
		}
		asked := false
		for now < 3*time.Second {
			s.Sent(now, int(c.counted*tournamentLink/1000))
			if !asked && now >= askAt {
				s.Ask(now, observed, s.Chunk())
				asked = true
			}
			for id, ok, _ := s.Next(now); ok; id, ok, _ = s.Next(now) {
				if id == observed {
					asked, askAt = false, now+c.pause
					if c.pause == 0 {
						s.Ask(now, observed, s.Chunk())
						asked = true
					}
					continue
				}
				s.Ask(now, id, s.Chunk())
			}
			now += ms
		}
		share := s.find(observed).share
		assert.Assert(t, share >= c.atLeast && share <= c.most, "%+v: share %.3f", c, share)
		if c.other == 0 {
			assert.Assert(t, s.Backlog(now) <= time.Duration(1.01*share*float64(s.duration(float64(s.find(observed).left), LargeShare)))+10*ms)
		}
	}

	// A stream to a slow receiver counts with its share, too.
	s := New(tournamentLink)
	stream, now := s.Begin(0, -1, time.Hour), time.Duration(0)
	for range 40 {
		s.Ask(now, stream, s.Chunk())
		_, ok, _ := s.Next(now)
		assert.Assert(t, ok)
		now += 80 * ms
	}
	assert.Assert(t, s.Backlog(now) < 5*ms, "backlog %v", s.Backlog(now))
}

// Guards against a transfer whose request has ended and that still takes the link or counts in
// the backlog.
func TestEndedTransferIsReleased(t *testing.T) {
	s := New(tournamentLink)
	ended, other := s.Begin(0, 100<<10, 0), s.Begin(0, 300<<10, 0)
	s.Ask(0, ended, s.Chunk())
	s.Ask(0, other, s.Chunk())
	before := s.Backlog(0)
	s.End(0, ended)
	assert.Assert(t, before-s.Backlog(0) > 80*ms, "backlog %v before, %v after", before, s.Backlog(0))
	id, ok, _ := s.Next(0)
	assert.Assert(t, ok && id == other)
	s.End(0, other)
	_, ok, at := s.Next(time.Second)
	assert.Assert(t, !ok && at == 0, "an idle scheduler wakes nobody")
	assert.Equal(t, s.Backlog(0), time.Duration(0))
	s.Ask(time.Second, ended, 100)
	s.End(time.Second, ended)
	_, ok, _ = s.Next(time.Second)
	assert.Assert(t, !ok, "a transfer that has ended gets a chunk")
}

// Guards against a backlog that differs from the time that the transfers then take.
func TestBacklogIsTheTimeThatTheTransfersTake(t *testing.T) {
	s := New(tournamentLink)
	sizes := map[TransferID]int{}
	for _, size := range []int{90 << 10, 540 << 10, 40 << 10} {
		id := s.Begin(0, int64(size), time.Second)
		sizes[id] = size
		s.Ask(0, id, s.Chunk())
	}
	expected, now := s.Backlog(0), time.Duration(0)
	for len(sizes) > 0 {
		id, ok, at := s.Next(now)
		if !ok {
			now = at
			continue
		}
		if sizes[id] -= s.Chunk(); sizes[id] <= 0 {
			delete(sizes, id)
			s.End(now, id)
			continue
		}
		s.Ask(now, id, min(sizes[id], s.Chunk()))
	}
	assert.Assert(t, now > expected-15*ms && now < expected+15*ms, "took %v, backlog %v", now, expected)

	// A stream of unknown length counts as the shortest large response, however long it is.
	stream := s.Begin(now, -1, time.Hour)
	for range 100 {
		s.Ask(now, stream, s.Chunk())
		_, _, _ = s.Next(now)
		now += 10 * ms
	}
	assert.Assert(t, s.Backlog(now) < 40*ms)
}

// Guards against decisions that allocate memory on each chunk.
func TestChunksDoNotAllocate(t *testing.T) {
	s := New(tournamentLink)
	id, now := s.Begin(0, 1<<40, time.Hour), time.Duration(0)
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		now += 10 * ms
		s.Ask(now, id, s.Chunk())
		_, _, _ = s.Next(now)
		s.Sent(now, 100)
		_ = s.Backlog(now)
	}), 0.0)
}
