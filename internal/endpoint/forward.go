package endpoint

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/core/gate"
	"cactuspath/internal/hangup"
	"cactuspath/internal/hop"
	"cactuspath/internal/logs"
)

// Forwards one request to the backend server and its response back.

// forward sends a request that the gate has started to the backend server and returns the
// response.
func (e *Endpoint) forward(ctx context.Context, handle gate.Handle, req hop.Request, out *hop.Outgoing, reply hop.Reply) (*http.Response, hop.Reply) {
	pool := e.backend.Load()
	if pool == nil {
		e.finish(handle, gate.NeverReached)
		reply.Verdict = hop.Unreachable
		return nil, reply
	}
	buffered, err := e.bufferBody(out)
	if err != nil {
		gone, outcome := hangup.Gone(ctx), gate.NeverReached
		if gone {
			outcome = gate.NotSent
			e.options.Counters.SenderGone.Add(1)
		}
		e.finish(handle, outcome)
		reply.Verdict = hop.Unreachable
		logs.Decision(true, "Body did not come", "request", out.ID, "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "length", out.Length, "callerGone", gone, "err", err)
		return nil, reply
	}
	if buffered != out {
		out = buffered
		if event := e.reconsider(ctx, handle); event.Kind != gate.Started {
			reply.Verdict, reply.Reason, reply.RetryAfter, reply.SiblingsFull = hop.Refused, event.Reason, event.RetryAfter, event.SiblingsFull
			return nil, reply
		}
	}
	run := e.newRun(req, out)
	if left := e.quarantinedFor(run, out); left > 0 {
		e.finish(handle, gate.NeverReached)
		return nil, e.refuseQuarantined(run.content, out, reply, left)
	}
	left := time.Until(out.Deadline)
	if left < time.Millisecond {
		e.finish(handle, gate.NeverReached)
		reply.Verdict, reply.Reason = hop.Refused, gate.TooLate
		return nil, reply
	}
	started := time.Now()
	e.tracker.add(handle, run)
	serverCtx := e.ServerContext()
	exchangeCtx, end := mergeContexts(ctx, serverCtx)
	resp, err := pool.Do(exchangeCtx, e.backendRequest(out, left))
	if errors.Is(err, hop.ErrCallerGone) && ctx.Err() != nil {
		end()
		return nil, e.dropUnsent(handle, out, reply)
	}
	if err != nil {
		end()
		reply = e.handleFailure(ctx, serverCtx, handle, err, reply)
		logs.Decision(true, "Backend server did not answer", "request", out.ID, "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "verdict", reply.Verdict.String(),
			"after", time.Since(started), "callerGone", ctx.Err() != nil, "restarted", serverCtx.Err() != nil, "err", err)
		return nil, reply
	}
	e.dialFailures.Store(0)
	e.markResponsive()
	e.observeLoad(resp.Header)
	if !e.options.Dialect.OtherInstance(resp) {
		e.observeAnswer(pool, resp.Header, false)
	}
	if e.options.Dialect.ReportsNotRun(resp) {
		reply = e.handleRejection(handle, resp, reply)
		end()
		return nil, reply
	}
	outcome := gate.Completed
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = gate.Failed
	} else if out.Method != http.MethodHead {
		// The length that a response to HEAD names is not sent.
		e.observeResponse(handle, resp.ContentLength)
	}
	body := &responseBody{ReadCloser: resp.Body}
	var stalled atomic.Bool
	body.end = func(truncated bool) {
		receiverGone := ctx.Err() != nil || stalled.Load()
		end()
		if !truncated && outcome == gate.Completed && resp.ContentLength < 0 {
			e.observeResponse(handle, body.size)
		}
		switch {
		case truncated && receiverGone, serverCtx.Err() != nil:
			// The caller has disconnected or does not read, or the server has restarted: the
			// gate's estimates are then those of the new process, to which this request does
			// not contribute. A complete response counts even if the caller has disconnected
			// since.
			outcome = gate.Abandoned
		case truncated:
			outcome = gate.Failed
		}
		switch {
		case truncated && !receiverGone:
			e.exchangeBroke(handle)
		case truncated:
			e.tracker.remove(handle, false)
		default:
			e.runCompleted(handle)
		}
		e.finish(handle, outcome)
		e.options.Counters.Ran.Observe(time.Since(started))
		if stalled.Load() {
			logs.Decision(true, "Response ended: its receiver does not read it and other requests wait", "request", out.ID, "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "after", time.Since(started), "length", resp.ContentLength)
		} else if outcome != gate.Completed {
			logs.Decision(true, "Backend server failed", "request", out.ID, "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "status", resp.StatusCode,
				"after", time.Since(started), "cut", truncated, "callerGone", ctx.Err() != nil)
		}
	}
	resp.Body = body
	if isLarge(resp) || resp.ContentLength < 0 {
		resp.Body = newReadAhead(resp.Body, e.readAheadOf(ctx, handle, func() bool {
			stalled.Store(e.Load().Waiting > 0)
			return stalled.Load()
		}))
	}
	return resp, reply
}

// observeResponse passes the size of a response to the gate; a negative size is not known.
func (e *Endpoint) observeResponse(handle gate.Handle, bytes int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gate.ObserveResponse(e.now(), handle, bytes)
}

// mergeContexts returns a copy of ctx that also ends with serverCtx; end releases its
// resources.
func mergeContexts(ctx, serverCtx context.Context) (merged context.Context, end func()) {
	merged, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(serverCtx, cancel)
	return merged, func() {
		stop()
		cancel()
	}
}

// bufferBody returns the request with its body read into memory, if the body is of moderate
// length. Until then the backend server has received nothing of the request. If the sender
// fails within the body, it is therefore certain that the request has not run.
func (e *Endpoint) bufferBody(out *hop.Outgoing) (*hop.Outgoing, error) {
	if out.Stream == nil || out.Length <= 0 || out.Length > maxBuffered {
		return out, nil
	}
	body, err := out.Stream.ReadFull(out.Length, out.Deadline)
	if err != nil {
		return out, err
	}
	buffered := *out
	buffered.Stream, buffered.Buffered = nil, body
	return &buffered, nil
}

// observeLoad passes the load reported in a response header to the gate.
func (e *Endpoint) observeLoad(h http.Header) {
	dialect := e.options.Dialect
	if dialect.Load == "" || dialect.ParseLoad == nil {
		return
	}
	value := h.Get(dialect.Load)
	if value == "" {
		return
	}
	load, ok := dialect.ParseLoad(value)
	if !ok {
		e.options.Counters.LoadMalformed.Add(1)
		return
	}
	e.loadReportedAt.Store(int64(e.now()))
	e.runGate(func(now time.Duration) []gate.Event { return e.gate.ObserveSlowdown(now, load.Slowdown) })
}

// backendRequest returns the request as it is sent to the backend server. Its timeout field
// holds the time left, which no longer includes the time spent waiting at the gate. If the
// dialect has a field for it, the request also names the server instance that must run it.
func (e *Endpoint) backendRequest(out *hop.Outgoing, left time.Duration) *hop.Outgoing {
	request := *out
	dialect := e.options.Dialect
	request.SkipContinue = true
	request.Extra = []hop.Field{{Name: dialect.TimeoutField(), Value: strconv.FormatInt(left.Milliseconds(), 10)}, {Name: hop.ServiceHeader}, {Name: hop.SentHeader}}
	if instance := e.instance.Load(); dialect.ExpectInstance != "" && instance != nil {
		request.Extra = append(request.Extra, hop.Field{Name: dialect.ExpectInstance, Value: *instance})
	}
	return &request
}

// handleRejection discards a response which states that the backend server did not run the
// request, and returns the reply to send instead.
func (e *Endpoint) handleRejection(handle gate.Handle, resp *http.Response, reply hop.Reply) hop.Reply {
	hop.Discard(resp)
	e.tracker.remove(handle, true)
	e.finish(handle, gate.NeverReached)
	reply.Verdict = hop.Rejected
	logs.Decision(true, "Backend server rejected", "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "status", resp.StatusCode,
		"otherInstance", e.options.Dialect.OtherInstance(resp))
	return reply
}

// dropUnsent ends a request that was not sent to the backend server because its sender had
// disconnected.
func (e *Endpoint) dropUnsent(handle gate.Handle, out *hop.Outgoing, reply hop.Reply) hop.Reply {
	e.options.Counters.SenderGone.Add(1)
	e.tracker.remove(handle, false)
	e.finish(handle, gate.NotSent)
	logs.Decision(false, "Sender disconnected before its request was sent to the backend server", "request", out.ID, "attempt", hop.FormatID(reply.ID), "host", e.options.Host)
	reply.Verdict, reply.Reason = hop.Refused, gate.Canceled
	return reply
}

// handleFailure records that the backend server sent no response head, and returns the reply.
func (e *Endpoint) handleFailure(ctx, serverCtx context.Context, handle gate.Handle, err error, reply hop.Reply) hop.Reply {
	var dialErr *hop.DialError
	switch {
	case errors.As(err, &dialErr):
		e.tracker.remove(handle, false)
		e.finish(handle, gate.NeverReached)
		reply.Verdict = hop.Unreachable
		if ctx.Err() == nil && e.dialFailures.Add(1) == maxDialFailures {
			e.setDown(true)
			go e.probe()
		}
	case ctx.Err() != nil, serverCtx.Err() != nil:
		e.tracker.remove(handle, false)
		e.finish(handle, gate.Abandoned)
		reply.Verdict = hop.ConnectionLost
	default:
		e.exchangeBroke(handle)
		e.finish(handle, gate.Failed)
		reply.Verdict = hop.ConnectionLost
	}
	return reply
}

// responseBody is a response body that frees the request's slot once, when it ends.
type responseBody struct {
	io.ReadCloser
	end   func(truncated bool)
	ended bool
	// size is the number of bytes read.
	size int64
}

// Read reads the response body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += int64(n)
	if err != nil {
		b.endOnce(!errors.Is(err, io.EOF))
	}
	return n, err
}

// Close closes the body, and frees the slot if the body was not read to its end.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.endOnce(true)
	return err
}

func (b *responseBody) endOnce(truncated bool) {
	if !b.ended {
		b.ended = true
		b.end(truncated)
	}
}
