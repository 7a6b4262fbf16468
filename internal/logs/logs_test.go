package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuck is an output that is not read until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Nobody reads standard output. Whoever logs must not wait: the requests that
// the lines tell of would stand still. What does not fit is dropped whole, and
// once the output is read again a line says how much was lost.
func TestWriterNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	start := time.Now()
	for range 3 * bufferBytes / len(line) {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, time.Since(start) < time.Second, "writing lines waited for the output")
	assert.Assert(t, w.Dropped.Load() > 0)
	close(out.release)
	w.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.got.String()
	assert.Assert(t, strings.Contains(text, "lines dropped"), "no line tells of the loss")
	for _, l := range strings.Split(strings.TrimSpace(text), "\n") {
		assert.Assert(t, len(l) == 999 || strings.Contains(l, "dropped"), "half a line was written")
	}
}

func TestWriterDeliversInOrder(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	close(out.release)
	w := NewWriter(out)
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		_, _ = w.Write([]byte(l))
	}
	w.Close(5 * time.Second)
	assert.Equal(t, out.got.String(), "a\nb\nc\n")
}

// A flood of requests that go well must not hide the lines of those that fail.
func TestFailuresHaveABoundOfTheirOwn(t *testing.T) {
	l := &limiter{usual: bucket{perSecond: 5}, failures: bucket{perSecond: 3}, start: time.Now()}
	passed := func(failure bool, n int) int {
		count := 0
		for range n {
			if ok, _ := l.allow(failure); ok {
				count++
			}
		}
		return count
	}
	assert.Equal(t, passed(false, 100), 5)
	assert.Equal(t, passed(true, 100), 3)
	assert.Equal(t, l.skipped.Load(), int64(192))
	l.usual.second = -1
	ok, skipped := l.allow(false)
	assert.Assert(t, ok)
	assert.Equal(t, skipped, int64(97), "95 were told of with the first failure")
}
