package endpoint

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
	"cactuspath/internal/logs"
)

// One request on its way to the backend server, and its answer on the way back.

// forward sends a started request to the backend server.
func (e *Endpoint) forward(ctx context.Context, handle gate.Handle, req hop.Request, out *hop.Outgoing, reply hop.Reply) (*http.Response, hop.Reply) {
	pool := e.backend.Load()
	if pool == nil {
		e.finish(handle, gate.NeverReached)
		reply.Verdict = hop.Unreached
		return nil, reply
	}
	whole, err := e.fetched(out)
	if err != nil {
		e.finish(handle, gate.NeverReached)
		reply.Verdict = hop.Unreached
		logs.Decision(true, "Body did not come", "request", out.ID, "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "length", out.Length, "callerGone", ctx.Err() != nil, "err", err)
		return nil, reply
	}
	if whole != out {
		out = whole
		if event := e.reconsider(ctx, handle); event.Kind != gate.Started {
			reply.Verdict, reply.Reason, reply.RetryAfter, reply.Everywhere = hop.Refused, event.Reason, event.RetryAfter, event.Everywhere
			return nil, reply
		}
	}
	run := e.runOf(req, out)
	if left := e.barred(run, out); left > 0 {
		e.finish(handle, gate.NeverReached)
		return nil, e.keepAway(run.content, out, reply, left)
	}
	left := time.Until(out.Deadline)
	if left < time.Millisecond {
		e.finish(handle, gate.NeverReached)
		reply.Verdict, reply.Reason = hop.Refused, gate.TooLate
		return nil, reply
	}
	started := time.Now()
	e.witness.begin(handle, run)
	life := e.Life()
	exchange, end := within(ctx, life)
	resp, err := pool.Do(exchange, e.toBackend(out, left))
	if err != nil {
		end()
		reply = e.failed(ctx, life, handle, err, reply)
		logs.Decision(true, "Backend server did not answer", "request", out.ID, "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "verdict", reply.Verdict.String(),
			"after", time.Since(started), "callerGone", ctx.Err() != nil, "restarted", life.Err() != nil, "err", err)
		return nil, reply
	}
	e.failures.Store(0)
	e.heard()
	e.observe(resp.Header)
	if e.options.Dialect.SaysNotRun(resp) {
		reply = e.rejected(handle, resp, reply)
		end()
		return nil, reply
	}
	outcome := gate.Completed
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = gate.Failed
	}
	resp.Body = &runningBody{ReadCloser: resp.Body, end: func(cut bool) {
		end()
		switch {
		case cut && ctx.Err() != nil, life.Err() != nil:
			// Also where the server has started again: the gate's figures are those of
			// its new start. An answer that came whole counts, whoever left since.
			outcome = gate.Abandoned
		case cut:
			outcome = gate.Failed
		}
		switch {
		case cut && ctx.Err() == nil:
			e.broke(handle)
		case cut:
			e.witness.end(handle, false)
		default:
			e.completed(handle)
		}
		e.finish(handle, outcome)
		e.options.Counters.Ran.Observe(time.Since(started))
		if outcome != gate.Completed {
			logs.Decision(true, "Backend server failed", "request", out.ID, "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "status", resp.StatusCode,
				"after", time.Since(started), "cut", cut, "callerGone", ctx.Err() != nil)
		}
	}}
	return resp, reply
}

// within is ctx that ends with life as well; end frees what it holds.
func within(ctx, life context.Context) (both context.Context, end func()) {
	both, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(life, cancel)
	return both, func() {
		stop()
		cancel()
	}
}

// fetched is the request with its body in memory, if the body is of moderate length.
// Until it is there the backend server has seen nothing of the request: a sender that
// breaks off leaves it not run, and not in doubt.
func (e *Endpoint) fetched(out *hop.Outgoing) (*hop.Outgoing, error) {
	if out.Stream == nil || out.Length <= 0 || out.Length > maxBuffered {
		return out, nil
	}
	body, err := out.Stream.Fetch(out.Length, out.Deadline)
	if err != nil {
		return out, err
	}
	whole := *out
	whole.Stream, whole.Buffered = nil, body
	return &whole, nil
}

// observe takes in the load that came with an answer.
func (e *Endpoint) observe(h http.Header) {
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
	e.observed.Store(int64(e.now()))
	e.with(func(now time.Duration) []gate.Event { return e.gate.Observe(now, load.Slowdown) })
}

// toBackend is the request as the backend server gets it: with what is left of
// its time now, after it waited, and for the instance that this gate stands for.
func (e *Endpoint) toBackend(out *hop.Outgoing, left time.Duration) *hop.Outgoing {
	sent := *out
	dialect := e.options.Dialect
	sent.Unasked = true
	sent.Extra = []hop.Field{{Name: dialect.TimeoutField(), Value: strconv.FormatInt(left.Milliseconds(), 10)}, {Name: hop.ServiceHeader}}
	if instance := e.instance.Load(); dialect.ExpectInstance != "" && instance != nil {
		sent.Extra = append(sent.Extra, hop.Field{Name: dialect.ExpectInstance, Value: *instance})
	}
	return &sent
}

// rejected takes in an answer which says that the request did not run.
func (e *Endpoint) rejected(handle gate.Handle, resp *http.Response, reply hop.Reply) hop.Reply {
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	e.witness.end(handle, true)
	e.finish(handle, gate.NeverReached)
	reply.Verdict = hop.Rejected
	logs.Decision(true, "Backend server rejected", "attempt", hop.FormatID(reply.ID), "host", e.options.Host, "status", resp.StatusCode,
		"otherInstance", e.options.Dialect.OtherInstance(resp))
	return reply
}

func (e *Endpoint) failed(ctx, life context.Context, handle gate.Handle, err error, reply hop.Reply) hop.Reply {
	var dial *hop.DialError
	switch {
	case errors.As(err, &dial):
		e.witness.end(handle, false)
		e.finish(handle, gate.NeverReached)
		reply.Verdict = hop.Unreached
		if ctx.Err() == nil && e.failures.Add(1) == dialFailures {
			e.setDown(true)
			go e.probe()
		}
	case ctx.Err() != nil, life.Err() != nil:
		e.witness.end(handle, false)
		e.finish(handle, gate.Abandoned)
		reply.Verdict = hop.Broke
	default:
		e.broke(handle)
		e.finish(handle, gate.Failed)
		reply.Verdict = hop.Broke
	}
	return reply
}

// runningBody frees the slot once, when the answer's body ends.
type runningBody struct {
	io.ReadCloser
	end   func(cut bool)
	ended bool
}

// Read reads the answer's body.
func (b *runningBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once(!errors.Is(err, io.EOF))
	}
	return n, err
}

// Close frees the slot if the body was not read to its end.
func (b *runningBody) Close() error {
	err := b.ReadCloser.Close()
	b.once(true)
	return err
}

func (b *runningBody) once(cut bool) {
	if !b.ended {
		b.ended = true
		b.end(cut)
	}
}
