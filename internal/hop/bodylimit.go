package hop

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/core/link"
	"cactuspath/internal/logs"
)

const (
	// bodyGrace is how long an exchange waits for parts of a response body after the body was due: for
	// a backend server in total, for another node without a part.
	bodyGrace = 225 * time.Millisecond
	// Parts of a large body may wait for the link of the node that sends it. After largeBodyGrace
	// without one, the node is asked whether it responds at all, within aliveTimeout. If it does, they
	// may pause for largeBodyPause.
	largeBodyGrace = 125 * time.Millisecond
	aliveTimeout   = 250 * time.Millisecond
	largeBodyPause = 5 * time.Second
	// A body that may have no end gets at most maxLateTime after it was due, also if it is its receiver
	// that takes so long. It is a link that holds it up only if the receiver takes no more than
	// lateBytesPerSecond, 13 Mbit/s, besides lateBytes, which are read ahead of it. From another node,
	// which has the same limit for its server and sends what it has read, it gets twice the time.
	maxLateTime        = 5 * time.Second
	lateBytes          = 1 << 20
	lateBytesPerSecond = 1600 << 10
	// maxKnownLength is the length above which a body is not expected to end either.
	maxKnownLength = 64 << 20
	// minOversleep is how much later than its deadline a read returns if the process was stopped. What
	// arrived meanwhile is still read.
	minOversleep = 100 * time.Millisecond
)

// errLateBody is the error of a body whose rest did not arrive in time.
var errLateBody = errors.New("the rest of the response did not arrive in time")

// bodyLimit limits in time how the body of a response is read, whatever its framing. The body is due
// at the deadline of the request; the time of a streamed request body counts from its last part. Until
// then, nothing is limited. After that, only the time is counted in which the exchange waits for its
// peer: a body that its own receiver or the link of this host holds up is not ended for it. A body
// whose end is not in sight is limited in that case as well, or it would be read until its receiver
// leaves.
type bodyLimit struct {
	x   *exchange
	out *Outgoing
	// discardBy is when the body has to be complete that nobody wants; zero if it is wanted.
	discardBy time.Time
	// length is that of the body; negative if unknown.
	length int64
	// received counts the bytes since the head, late those since the body was due.
	received, late int64
	// waited is how long the exchange has waited for the peer since the body was due.
	waited time.Duration
}

// due returns when the body has to be complete.
func (l *bodyLimit) due() time.Time {
	if !l.discardBy.IsZero() {
		return l.discardBy
	}
	s := l.x.sender
	if s == nil || l.out.Deadline.IsZero() {
		return l.out.Deadline
	}
	progress := s.begin.Add(time.Duration(s.progressAt.Load()))
	if due := progress.Add(l.out.Deadline.Sub(l.x.begin)); due.After(l.out.Deadline) {
		return due
	}
	return l.out.Deadline
}

// mayBeEndless reports whether the end of the body is not in sight.
func (l *bodyLimit) mayBeEndless() bool { return l.length < 0 || l.length > maxKnownLength }

// isLate reports whether a body that may be endless has had its time. late is how long ago it was due.
func (l *bodyLimit) isLate(late time.Duration) bool {
	longest := maxLateTime
	if !l.x.pool.toServer {
		longest *= 2
	}
	return late > longest || l.late > lateBytes+int64(late.Seconds()*lateBytesPerSecond)
}

// isLarge reports whether parts of the body may wait for the link of the peer's host. It sends as much
// as link.LargeBytes of a body of unknown length without a wait.
func (l *bodyLimit) isLarge() bool {
	return l.length >= link.LargeBytes || l.length < 0 && l.received >= link.LargeBytes
}

// read reads from the connection within the limits.
func (l *bodyLimit) read(p []byte) (int, error) {
	w := wait{begin: time.Now(), patience: l.patience()}
	for {
		due := l.due()
		if due.IsZero() {
			return l.x.conn.Conn.Read(p)
		}
		from := latest(w.begin, due)
		if w.patience <= 0 || l.mayBeEndless() && l.isLate(from.Sub(due)) {
			return 0, l.end(due)
		}
		until := from.Add(w.patience)
		l.x.setReadDeadline(until)
		n, err := l.x.conn.Conn.Read(p)
		now := time.Now()
		l.account(n, from, due, earliest(now, until))
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || l.x.ctx.Err() != nil || l.x.conn.failed.Load() {
			return n, err
		}
		if !l.extend(&w, due, until, now) {
			return 0, l.end(due)
		}
	}
}

// wait is the wait for one part of a body.
type wait struct {
	// begin is when it began, and patience how long it may last after that and after the body was due.
	begin    time.Time
	patience time.Duration
	// asked is set once the peer was asked whether it responds.
	asked bool
}

// patience returns how long the exchange may wait for the next part after the body was due.
func (l *bodyLimit) patience() time.Duration {
	switch {
	case l.x.pool.toServer:
		return bodyGrace - l.waited
	case l.isLarge():
		return largeBodyGrace
	}
	return bodyGrace
}

// extend reports whether to wait on for a part that had not arrived until the given time. It changes
// the wait accordingly.
func (l *bodyLimit) extend(w *wait, due, until, now time.Time) bool {
	switch {
	case now.Sub(until) > minOversleep:
		l.waited = 0
		*w = wait{begin: now, patience: l.patience()}
	case l.due().After(due):
		w.patience = l.patience()
	case l.x.pool.toServer || !l.isLarge() || w.asked:
		return false
	case l.peerResponds():
		w.asked, w.patience = true, largeBodyPause
	default:
		// What arrived while the peer was asked is still read.
		w.asked, w.patience = true, time.Since(latest(w.begin, due))+time.Millisecond
	}
	return true
}

// account counts n bytes that were read, and the part of the wait after the body was due.
func (l *bodyLimit) account(n int, from, due, to time.Time) {
	l.received += int64(n)
	if to.After(due) {
		l.late += int64(n)
		l.waited += max(0, to.Sub(from))
	}
}

// peerResponds asks another node whether it responds at all.
func (l *bodyLimit) peerResponds() bool {
	if l.out.PeerResponds == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(l.x.ctx, aliveTimeout)
	defer cancel()
	return l.out.PeerResponds(ctx)
}

// end logs that the body ends before it is complete.
func (l *bodyLimit) end(due time.Time) error {
	logs.Decision(true, "Response body is late", "request", l.out.ID, "attempt", FormatID(l.out.Attempt), "from", l.x.conn.RemoteAddr().String(), "backendServer", l.x.pool.toServer,
		"length", l.length, "received", l.received, "late", time.Since(due), "waited", l.waited)
	return errLateBody
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
