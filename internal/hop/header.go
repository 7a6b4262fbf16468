// Package hop sends a request from one node to another, and from a node to its local
// backend server: one exchange at a time on a pooled HTTP/1.1 connection, written and
// read by the calling goroutine. The Transport of net/http passes every request through
// two goroutines of its own, which costs more than the rest of the path
// (docs/design/data-path.md).
package hop

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/core/gate"
	"cactuspath/core/quarantine"
)

const (
	// Header carries a Request to a node and a Reply back. Callers cannot set it: the
	// listener for callers removes it.
	Header = "Cactus-Hop"
	// ServiceHeader names the service of a request.
	ServiceHeader = "Cactus-Service"
	// TimeoutHeader tells the next hop the remaining time in milliseconds. A caller may set
	// it to specify a deadline.
	TimeoutHeader = "Cactus-Timeout-Ms"
	// LimitHeader and LeavingHeader are the fields in which a backend server names its limit
	// and says that it is shutting down, unless the Dialect has other names.
	LimitHeader   = "Cactus-Rate-Limit"
	LeavingHeader = "Cactus-Leaving"
	// AccountHeader names the client account of a request, unless the Dialect has another
	// name. Callers cannot set it.
	AccountHeader = "Cactus-Account"
	// HintHeader is sent in an interim response (102) and names the host that would complete
	// the request sooner.
	HintHeader = "Cactus-Hint"
	// SentHeader carries the time at which a request was sent to another node, in
	// microseconds by the sender's own clock. It reveals how long the request lay unread.
	SentHeader = "Cactus-Sent-Us"
	// AnyHost is the value of a hint that names no particular host, because any other
	// endpoint is suitable.
	AnyHost = "*"

	// limitedByServer is the last field of a reply that refuses a request for the limit that
	// the backend server names.
	limitedByServer = "limited"

	version   = "3"
	separator = ";"

	requestFields = 14
	flagMovable   = 1
	flagLargeBody = 2

	flagRepeatable = 4
)

// Request is the metadata that the node that picked an endpoint sends to the endpoint's node.
type Request struct {
	ID gate.AttemptID
	// Incarnation identifies the process of the endpoint's node to which the attempt is
	// addressed. A node that has restarted since then refuses the attempt, because it has
	// lost its record of earlier attempts.
	Incarnation uint64
	// Timeout is the remaining time of the request. It is relative, so that clocks need not
	// be synchronized.
	Timeout time.Duration
	// Movable means that the gate may move the request to another endpoint.
	Movable bool
	// Repeatable means that the request may run twice. While it runs, the gate may then hint
	// at a sibling that would complete it sooner. To another node, the hint is sent in an
	// interim response.
	Repeatable bool
	// Revision is the newest configuration revision known to the sender.
	Revision uint64
	// From is the data centre where the request originated. LargeBody is set if the request
	// has a large body.
	From      string
	LargeBody bool
	// Class is the route's name. Requests of one class need similar amounts of work.
	Class string
	// Priority ranks the request; 0 is served first.
	Priority int
	// Aim is the target latency, within which a response is worth most. AimLeft is what
	// remains of it, which may be negative. Both are 0 without a target.
	Aim, AimLeft time.Duration
	// Content identifies the request's content for quarantine; zero while the body is not
	// known.
	Content quarantine.Content
	// Caller identifies the sender, for fair sharing between callers.
	Caller string
}

// Encode formats the request as a value of Header.
func (r Request) Encode() string {
	flags := uint64(0)
	if r.Movable {
		flags |= flagMovable
	}
	if r.LargeBody {
		flags |= flagLargeBody
	}
	if r.Repeatable {
		flags |= flagRepeatable
	}
	b := make([]byte, 0, 128)
	b = append(b, version+separator...)
	b = appendID(b, r.ID)
	b = appendField(b, r.Incarnation)
	b = appendField(b, uint64(max(0, r.Timeout.Microseconds())))
	b = appendField(b, flags)
	b = appendField(b, r.Revision)
	b = appendField(b, uint64(max(0, r.Priority)))
	b = appendField(b, uint64(max(0, r.Aim.Microseconds())))
	b = append(b, separator...)
	b = strconv.AppendInt(b, r.AimLeft.Microseconds(), 10)
	b = appendKey(b, r.Content.Exact)
	b = appendKey(b, r.Content.Alike)
	b = append(b, separator...)
	b = append(b, url.QueryEscape(r.Class)...)
	b = append(b, separator...)
	b = append(b, r.From...)
	b = append(b, separator...)
	b = append(b, r.Caller...)
	return string(b)
}

func appendID(b []byte, id gate.AttemptID) []byte {
	b = strconv.AppendUint(b, id.Request[0], 16)
	b = append(b, '-')
	b = strconv.AppendUint(b, id.Request[1], 16)
	b = append(b, '-')
	return strconv.AppendUint(b, uint64(id.Attempt), 10)
}

func appendField(b []byte, v uint64) []byte {
	b = append(b, separator...)
	return strconv.AppendUint(b, v, 10)
}

func appendKey(b []byte, k quarantine.Key) []byte {
	b = append(b, separator...)
	return strconv.AppendUint(b, uint64(k), 16)
}

var errMalformedHeader = errors.New("malformed " + Header + " header; both nodes must run the same release")

// splitFields splits a header into exactly n fields; the last may contain separators.
func splitFields(value string, n int) ([]string, error) {
	f := strings.SplitN(value, separator, n)
	if len(f) != n || f[0] != version {
		return nil, errMalformedHeader
	}
	return f, nil
}

// ParseRequest parses a value of Header in a request.
func ParseRequest(value string) (Request, error) {
	f, err := splitFields(value, requestFields)
	if err != nil {
		return Request{}, err
	}
	p := parser{}
	r := Request{ID: p.id(f[1]), Incarnation: p.uint(f[2]), Timeout: time.Duration(p.uint(f[3])) * time.Microsecond,
		Revision: p.uint(f[5]), Priority: int(p.uint(f[6])), Aim: time.Duration(p.uint(f[7])) * time.Microsecond, AimLeft: p.micros(f[8]),
		Content: quarantine.Content{Exact: p.key(f[9]), Alike: p.key(f[10])}, Class: p.unescape(f[11]), From: f[12], Caller: f[13]}
	flags := p.uint(f[4])
	r.Movable, r.LargeBody, r.Repeatable = flags&flagMovable != 0, flags&flagLargeBody != 0, flags&flagRepeatable != 0
	return r, p.err
}

// FormatID formats an attempt's ID as in Header and in the log.
func FormatID(id gate.AttemptID) string { return string(appendID(nil, id)) }

// parser parses fields and keeps the first error.
type parser struct{ err error }

func (p *parser) uint(s string) uint64 { return p.uintBase(s, 10) }

// micros parses a duration that may be negative.
func (p *parser) micros(s string) time.Duration {
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil && p.err == nil {
		p.err = errMalformedHeader
	}
	return time.Duration(v) * time.Microsecond
}

func (p *parser) key(s string) quarantine.Key { return quarantine.Key(p.uintBase(s, 16)) }

// unescape decodes a name that may contain any character.
func (p *parser) unescape(s string) string {
	v, err := url.QueryUnescape(s)
	if err != nil && p.err == nil {
		p.err = errMalformedHeader
	}
	return v
}

func (p *parser) uintBase(s string, base int) uint64 {
	v, err := strconv.ParseUint(s, base, 64)
	if err != nil && p.err == nil {
		p.err = errMalformedHeader
	}
	return v
}

func (p *parser) id(s string) gate.AttemptID {
	parts := strings.Split(s, "-")
	if len(parts) != 3 {
		p.err = errMalformedHeader
		return gate.AttemptID{}
	}
	return gate.AttemptID{Request: [2]uint64{p.uintBase(parts[0], 16), p.uintBase(parts[1], 16)}, Attempt: uint32(p.uintBase(parts[2], 10))}
}

// Verdict is the outcome of an attempt at the endpoint's node.
type Verdict int

// The outcomes of an attempt.
const (
	// Ran means that the response is that of the backend server.
	Ran Verdict = iota
	// Refused means that the gate refused the attempt, so it did not run.
	Refused
	// Moved means that the attempt did not run here, and that the gate names a sibling to
	// which the request should be sent instead.
	Moved
	// Restarted means that the node has restarted since the incarnation to which the attempt
	// was addressed; the attempt did not run.
	Restarted
	// Unreachable means that the backend server accepted no connection; the attempt did not
	// run.
	Unreachable
	// ConnectionLost means that the connection to the backend server was lost before the
	// response; the attempt may have run.
	ConnectionLost
	// Rejected means that the backend server reported that it did not run the request.
	Rejected
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"ran", "refused", "moved", "restarted", "unreached", "broke", "rejected"}[v]
}

// Reply is the metadata that the endpoint's node returns with the response.
type Reply struct {
	ID      gate.AttemptID
	Verdict Verdict
	Reason  gate.Reason
	// RetryAfter is the recommended delay before a refused request is sent again.
	RetryAfter time.Duration
	// SiblingsFull means that the service's other endpoints would refuse the request as well,
	// so it should not be retried there.
	SiblingsFull bool
	// To is the sibling's host if the verdict is Moved.
	To string
	// Incarnation identifies the process of the responding node, Revision is the newest
	// configuration revision known to it.
	Incarnation, Revision uint64
}

// Encode formats the reply as a value of Header.
func (r Reply) Encode() string {
	siblingsFull := uint64(0)
	if r.SiblingsFull {
		siblingsFull = 1
	}
	b := make([]byte, 0, 128)
	b = append(b, version+separator...)
	b = appendID(b, r.ID)
	b = appendField(b, uint64(r.Verdict))
	reason, last := r.Reason, r.To
	if r.Verdict == Refused && reason == gate.Limited {
		// Releases that do not know this reason take the request for one refused by a
		// full queue, and ignore the last field.
		reason, last = gate.QueueFull, limitedByServer
	}
	b = appendField(b, uint64(reason))
	b = appendField(b, uint64(max(0, r.RetryAfter.Milliseconds())))
	b = appendField(b, siblingsFull)
	b = appendField(b, r.Incarnation)
	b = appendField(b, r.Revision)
	b = append(b, separator...)
	b = append(b, last...)
	return string(b)
}

// ParseReply parses a value of Header in a response.
func ParseReply(value string) (Reply, error) {
	f, err := splitFields(value, 9)
	if err != nil {
		return Reply{}, err
	}
	p := parser{}
	r := Reply{ID: p.id(f[1]), Verdict: Verdict(p.uint(f[2])), Reason: gate.Reason(p.uint(f[3])),
		RetryAfter: time.Duration(p.uint(f[4])) * time.Millisecond, SiblingsFull: f[5] == "1",
		Incarnation: p.uint(f[6]), Revision: p.uint(f[7]), To: f[8]}
	if r.Verdict == Refused && r.To == limitedByServer {
		r.Reason, r.To = gate.Limited, ""
	}
	return r, p.err
}
