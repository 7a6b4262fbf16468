package proxy

import (
	"errors"
	"io"
	"sync/atomic"
)

// States of a bodyTurn.
const (
	bodyUnread int32 = iota
	bodyRead
	bodyWithdrawn
)

// bodyTurn lends a caller's streamed body to one attempt. The goroutine that sends
// the body may begin, or go on, after its attempt has ended: without the turn it
// would take bytes that belong to the next attempt, whose endpoint then gets a body
// with a hole in it. Only an attempt that has read nothing gives its turn back; from
// then on its reads fail. Safe for concurrent use.
type bodyTurn struct {
	source io.Reader
	state  atomic.Int32
}

var errBodyWithdrawn = errors.New("the attempt ended before its body was sent")

// Read reads the body, unless the turn was withdrawn.
func (b *bodyTurn) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodyWithdrawn {
		return 0, errBodyWithdrawn
	}
	return b.source.Read(p)
}

// withdraw ends the turn. It reports whether nothing was read, so that another
// attempt may have the body.
func (b *bodyTurn) withdraw() bool {
	return b == nil || b.state.CompareAndSwap(bodyUnread, bodyWithdrawn)
}
