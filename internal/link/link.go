// Package link paces large responses on the link of this host, so that short ones do not
// queue behind them. One Link serves all responses that leave the host, those to other nodes
// as well as those to callers, since they share its bandwidth.
package link

import (
	"expvar"
	"sync"
	"time"

	corelink "cactuspath/core/link"
	"cactuspath/internal/latency"
)

// Link is the link of this host. It is safe for concurrent use. A nil Link has an unknown
// bandwidth: it is disabled, and all its methods do nothing.
type Link struct {
	// Transfers counts the large responses that were begun. Waited is the time that each of
	// them waited for its chunks.
	Transfers expvar.Int
	Waited    *latency.Histogram

	bytesPerSecond float64
	start          time.Time

	mu        sync.Mutex
	scheduler *corelink.Scheduler
	// generation changes when the scheduler is replaced; transfers of an earlier one begin
	// anew.
	generation int
	active     int
	waiting    map[corelink.TransferID]*Writer
	timer      *time.Timer
	disabled   bool
}

// New returns the link of a host with the given bandwidth, or nil if it is 0.
func New(bytesPerSecond float64) *Link {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Link{Waited: latency.New(), bytesPerSecond: bytesPerSecond, start: time.Now(), scheduler: corelink.New(bytesPerSecond), waiting: map[corelink.TransferID]*Writer{}}
}

// SetDisabled switches pacing off or on. Responses that wait when it is switched off are sent
// without further waits.
func (l *Link) SetDisabled(disabled bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.disabled == disabled {
		return
	}
	l.disabled = disabled
	l.scheduler = corelink.New(l.bytesPerSecond)
	l.generation++
	for _, w := range l.waiting {
		w.granted <- struct{}{}
	}
	clear(l.waiting)
}

// Enabled reports whether large responses are paced.
func (l *Link) Enabled() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.disabled
}

// Count records bytes that are written to the link without being paced.
func (l *Link) Count(bytes int) {
	if l == nil || bytes <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Sent(l.now(), bytes)
}

// Backlog returns how long the link needs for the rest of the large responses in progress.
func (l *Link) Backlog() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.disabled {
		return 0
	}
	return l.scheduler.Backlog(l.now())
}

// Active returns the number of large responses in progress.
func (l *Link) Active() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active
}

func (l *Link) now() time.Duration { return time.Since(l.start) }

// ask registers the writer's next chunk, and returns how many of the given bytes it may have.
// The chunk may be written once w.granted has a value, or at once if granted is true.
func (l *Link) ask(w *Writer, bytes int) (chunk int, granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.disabled {
		return bytes, true
	}
	now := l.now()
	l.begin(w, now)
	chunk = min(bytes, l.scheduler.Chunk())
	l.scheduler.Ask(now, w.id, chunk)
	l.waiting[w.id] = w
	l.release(now)
	select {
	case <-w.granted:
		return chunk, true
	default:
		return chunk, false
	}
}

// begin begins the writer's transfer, unless the scheduler knows it. The caller holds mu.
func (l *Link) begin(w *Writer, now time.Duration) {
	if !w.counted {
		w.counted = true
		l.active++
		l.Transfers.Add(1)
	}
	if w.id != 0 && w.generation == l.generation {
		return
	}
	left := int64(-1)
	if w.response.Length >= 0 {
		left = w.response.Length - w.sent
	}
	w.generation = l.generation
	w.id = l.scheduler.Begin(now, left, w.response.Due.Sub(l.start))
}

// release lets the writers go on whose chunks may be sent now, and sets the timer for the next
// one. The caller holds mu.
func (l *Link) release(now time.Duration) {
	for {
		id, ok, at := l.scheduler.Next(now)
		if ok {
			l.waiting[id].granted <- struct{}{}
			delete(l.waiting, id)
			continue
		}
		if at > 0 {
			l.setTimer(at - now)
		}
		return
	}
}

func (l *Link) setTimer(after time.Duration) {
	if l.timer == nil {
		l.timer = time.AfterFunc(after, l.tick)
		return
	}
	l.timer.Reset(after)
}

func (l *Link) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(l.now())
}

// end ends the writer's transfer, and reports whether it had begun one.
func (l *Link) end(w *Writer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !w.counted {
		return false
	}
	w.counted = false
	l.active--
	if w.generation == l.generation {
		l.scheduler.End(l.now(), w.id)
		delete(l.waiting, w.id)
	}
	return true
}
