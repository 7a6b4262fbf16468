package transit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	sender  = 7
	offset  = -40 * time.Second
	network = 2 * time.Millisecond
)

// observe passes a message that was held up for the given time to the estimator.
func observe(e *Estimator, sent, held time.Duration) time.Duration {
	delay, _ := e.Observe(sender, sent, sent+offset+network+held)
	return delay
}

// TestHeldUpMessagesAreRecognized guards against serving a request for the full time that its
// sender allowed, although it lay unread for longer.
func TestHeldUpMessagesAreRecognized(t *testing.T) {
	e := NewEstimator()
	assert.Equal(t, observe(e, time.Second, 0), time.Duration(0), "the first message tells nothing")
	assert.Equal(t, observe(e, 2*time.Second, 600*time.Millisecond), 600*time.Millisecond)
	assert.Equal(t, observe(e, 3*time.Second, 0), time.Duration(0))
	_, known := e.Observe(sender+1, time.Second, time.Hour)
	assert.Assert(t, !known, "another sender has another clock")
}

// TestMessagesAfterAPauseAreRecognized guards against forgetting the offset of a sender whose
// messages are rare.
func TestMessagesAfterAPauseAreRecognized(t *testing.T) {
	e := NewEstimator()
	observe(e, 0, 0)
	assert.Equal(t, observe(e, time.Minute, time.Second), time.Second)
	assert.Equal(t, observe(e, time.Minute+time.Millisecond, 500*time.Millisecond), 500*time.Millisecond)
}

// TestSuspendedClockIsForgotten guards against refusing all requests of a sender whose clock
// stood still while its machine was suspended.
func TestSuspendedClockIsForgotten(t *testing.T) {
	e := NewEstimator()
	observe(e, 0, 0)
	const suspended = 5 * time.Second
	for sent := time.Second; sent < 3*window; sent += time.Second {
		delay := observe(e, sent, suspended)
		assert.Assert(t, delay == suspended || sent >= window, "sent at %v: %v", sent, delay)
		assert.Assert(t, delay == 0 || sent <= 2*window, "sent at %v: %v", sent, delay)
	}
}

// TestFasterMessageCorrectsTheEstimate guards against an estimate that starts with a message
// that was held up itself.
func TestFasterMessageCorrectsTheEstimate(t *testing.T) {
	e := NewEstimator()
	observe(e, 0, time.Second)
	assert.Equal(t, observe(e, time.Second, 0), time.Duration(0))
	assert.Equal(t, observe(e, 2*time.Second, time.Second), time.Second)
}

// TestMemoryIsBounded guards against keeping an entry for each process that ever sent
// something.
func TestMemoryIsBounded(t *testing.T) {
	e := NewEstimator()
	for id := range uint64(3 * maxSenders) {
		e.Observe(id, 0, 0)
	}
	assert.Assert(t, len(e.senders) <= maxSenders)
}
