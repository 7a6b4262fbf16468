// Package hop carries a request from one node to another, and from a node to
// the backend server beside it: one exchange at a time on a pooled HTTP/1.1
// connection, written and read by the calling goroutine. net/http's Transport
// hands every request to two goroutines of its own, which costs more than the
// rest of the path (docs/design/data-path.md).
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
	// Header carries a Request to a node and a Reply back. Callers cannot set it:
	// the callers' listener drops it.
	Header = "Cactus-Hop"
	// ServiceHeader names the service of a request.
	ServiceHeader = "Cactus-Service"
	// TimeoutHeader tells the next layer how many milliseconds are left. A caller
	// may set it to name a deadline.
	TimeoutHeader = "Cactus-Timeout-Ms"
	// HintHeader stands in an interim answer (102) and names the host that would end
	// the request sooner.
	HintHeader = "Cactus-Hint"
	// AnyHost is a hint that names no host: any other endpoint will do.
	AnyHost = "*"

	version   = "3"
	separator = ";"

	requestFields = 14
	flagMovable   = 1
	flagBulky     = 2

	flagRepeatable = 4
)

// Request is what the picking node tells the node of the picked endpoint.
type Request struct {
	ID gate.AttemptID
	// Incarnation of the node that the attempt is meant for. A node that
	// restarted since refuses it: it lost what it knew of earlier attempts.
	Incarnation uint64
	// Timeout is what is left of the request's time. It is relative, so that no
	// two clocks need to agree.
	Timeout time.Duration
	Movable bool
	// Repeatable: it may run twice; the gate then tells of a sibling that would end
	// it sooner than this one, by OnHint or an interim answer.
	Repeatable bool
	// Revision is the newest configuration that the sender knows of.
	Revision uint64
	// From is the data centre where the request began, Bulky marks a large body.
	From  string
	Bulky bool
	// Class is the route's name; its requests have like demands.
	Class string
	// Priority ranks the request; 0 is served first.
	Priority int
	// Aim is the time within which an answer is worth most, and AimLeft what is
	// left of it, which may be less than nothing. Both are 0 without an aim.
	Aim, AimLeft time.Duration
	// Content identifies what the request asks for; zero while its body is not known.
	Content quarantine.Content
	// Caller identifies who sends, for fair shares between callers.
	Caller string
}

// Encode renders the header's value.
func (r Request) Encode() string {
	flags := uint64(0)
	if r.Movable {
		flags |= flagMovable
	}
	if r.Bulky {
		flags |= flagBulky
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

var errHeader = errors.New("malformed " + Header + " header; both nodes must run the same release")

// fields splits a header into exactly n fields; the last keeps separators.
func fields(value string, n int) ([]string, error) {
	f := strings.SplitN(value, separator, n)
	if len(f) != n || f[0] != version {
		return nil, errHeader
	}
	return f, nil
}

// ParseRequest reads the header's value.
func ParseRequest(value string) (Request, error) {
	f, err := fields(value, requestFields)
	if err != nil {
		return Request{}, err
	}
	p := parser{}
	r := Request{ID: p.id(f[1]), Incarnation: p.uint(f[2]), Timeout: time.Duration(p.uint(f[3])) * time.Microsecond,
		Revision: p.uint(f[5]), Priority: int(p.uint(f[6])), Aim: time.Duration(p.uint(f[7])) * time.Microsecond, AimLeft: p.micros(f[8]),
		Content: quarantine.Content{Exact: p.key(f[9]), Alike: p.key(f[10])}, Class: p.text(f[11]), From: f[12], Caller: f[13]}
	flags := p.uint(f[4])
	r.Movable, r.Bulky, r.Repeatable = flags&flagMovable != 0, flags&flagBulky != 0, flags&flagRepeatable != 0
	return r, p.err
}

// FormatID renders an attempt's id.
func FormatID(id gate.AttemptID) string { return string(appendID(nil, id)) }

// parser reads fields and keeps the first error.
type parser struct{ err error }

func (p *parser) uint(s string) uint64 { return p.base(s, 10) }

// micros reads a time that may be negative.
func (p *parser) micros(s string) time.Duration {
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil && p.err == nil {
		p.err = errHeader
	}
	return time.Duration(v) * time.Microsecond
}

func (p *parser) key(s string) quarantine.Key { return quarantine.Key(p.base(s, 16)) }

// text reads a name that may hold any character.
func (p *parser) text(s string) string {
	v, err := url.QueryUnescape(s)
	if err != nil && p.err == nil {
		p.err = errHeader
	}
	return v
}

func (p *parser) base(s string, base int) uint64 {
	v, err := strconv.ParseUint(s, base, 64)
	if err != nil && p.err == nil {
		p.err = errHeader
	}
	return v
}

func (p *parser) id(s string) gate.AttemptID {
	parts := strings.Split(s, "-")
	if len(parts) != 3 {
		p.err = errHeader
		return gate.AttemptID{}
	}
	return gate.AttemptID{Request: [2]uint64{p.base(parts[0], 16), p.base(parts[1], 16)}, Attempt: uint32(p.base(parts[2], 10))}
}

// Verdict tells what became of an attempt at the endpoint's node.
type Verdict int

// Verdicts.
const (
	// Ran: the answer is the backend server's own.
	Ran Verdict = iota
	// Refused: the gate refused it before it ran.
	Refused
	// Moved: the gate names a sibling; it did not run here.
	Moved
	// Restarted: the node is another incarnation than the one addressed.
	Restarted
	// Unreached: the backend server accepted no connection; it did not run.
	Unreached
	// Broke: the connection to the backend server broke before its answer; it may have run.
	Broke
	// Rejected: the backend server said that it did not run the request.
	Rejected
)

// String names the verdict.
func (v Verdict) String() string {
	return [...]string{"ran", "refused", "moved", "restarted", "unreached", "broke", "rejected"}[v]
}

// Reply is what the endpoint's node tells back, beside the answer.
type Reply struct {
	ID      gate.AttemptID
	Verdict Verdict
	Reason  gate.Reason
	// RetryAfter is when to come back after a refusal.
	RetryAfter time.Duration
	// Everywhere: the siblings are as full.
	Everywhere bool
	// To is the sibling's host of a Moved verdict.
	To string
	// Incarnation and Revision are the answering node's.
	Incarnation, Revision uint64
}

// Encode renders the header's value.
func (r Reply) Encode() string {
	everywhere := uint64(0)
	if r.Everywhere {
		everywhere = 1
	}
	b := make([]byte, 0, 128)
	b = append(b, version+separator...)
	b = appendID(b, r.ID)
	b = appendField(b, uint64(r.Verdict))
	b = appendField(b, uint64(r.Reason))
	b = appendField(b, uint64(max(0, r.RetryAfter.Milliseconds())))
	b = appendField(b, everywhere)
	b = appendField(b, r.Incarnation)
	b = appendField(b, r.Revision)
	b = append(b, separator...)
	b = append(b, r.To...)
	return string(b)
}

// ParseReply reads the header's value.
func ParseReply(value string) (Reply, error) {
	f, err := fields(value, 9)
	if err != nil {
		return Reply{}, err
	}
	p := parser{}
	r := Reply{ID: p.id(f[1]), Verdict: Verdict(p.uint(f[2])), Reason: gate.Reason(p.uint(f[3])),
		RetryAfter: time.Duration(p.uint(f[4])) * time.Millisecond, Everywhere: f[5] == "1",
		Incarnation: p.uint(f[6]), Revision: p.uint(f[7]), To: f[8]}
	return r, p.err
}
