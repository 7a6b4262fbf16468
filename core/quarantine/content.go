// Package quarantine keeps requests away from backend servers under which servers
// keep ending.
//
// A request may crash whatever server runs it, and its callers send it again, under
// new ids and through other nodes. No single call sees more than its own few attempts;
// what servers have in common that ended is seen only by putting together what ran on
// them. So each gate tells the others what was running when its server ended, and what
// ran to its end, and each draws the same conclusion from that.
//
// Types here are pure and not safe for concurrent use.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strconv"
	"strings"
)

// Key identifies the content of requests: equal for equal content on every node. It is
// a part of a SHA-256 sum, so that nobody can make a harmless request look like
// another one. 0 stands for none.
type Key uint64

// String renders the key for logs.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Content identifies what a request asks for, whatever its id and wherever it came in.
// The zero Content is that of a request whose body is not known yet.
type Content struct {
	// Exact tells requests apart by method, host, path, query, body, and by the service
	// whose callers sent them.
	Exact Key
	// Alike leaves out the query, the callers' service and the length of a long body: a
	// caller that comes back may add another query, come from elsewhere, or send its body
	// without a length.
	Alike Key
}

// Known tells whether the content is known.
func (c Content) Known() bool { return c.Exact != 0 }

// Target is where a request goes and who sent it.
type Target struct {
	Method, Host string
	// URI is the path with its query.
	URI string
	// Caller is the service whose callers sent it; empty if that is not known.
	Caller string
	// Length is that of a body of more than PrefixBytes, if its sender tells it before.
	Length int64
}

// PrefixBytes is how much of a body tells contents apart. Longer bodies go through a
// node without being held in memory, and are known by their beginning.
const PrefixBytes = 64 << 10

// BodySum identifies a body by its first PrefixBytes, and by whether there is more.
type BodySum [sha256.Size]byte

// noBody is the sum of an empty body, which most requests have.
var noBody = sumOf(nil)

// SumOf is the sum of a body held in memory.
func SumOf(body []byte) BodySum {
	if len(body) == 0 {
		return noBody
	}
	return sumOf(body)
}

func sumOf(body []byte) BodySum {
	d := NewBodyDigest()
	d.Write(body)
	sum, _ := d.Sum(true)
	return sum
}

// BodyDigest sums a body up as it passes.
type BodyDigest struct {
	hash hash.Hash
	read int
	// more: the body is longer than what is summed up.
	more  bool
	sum   BodySum
	known bool
}

// NewBodyDigest returns a digest that has seen nothing.
func NewBodyDigest() *BodyDigest { return &BodyDigest{hash: sha256.New()} }

// Write takes in the next bytes.
func (d *BodyDigest) Write(p []byte) {
	if left := PrefixBytes - d.read; len(p) > left {
		p, d.more = p[:left], true
	}
	if d.known {
		return
	}
	d.hash.Write(p)
	d.read += len(p)
}

// Sum is the sum, if it is known: the body has ended, or there is more of it than is
// summed up.
func (d *BodyDigest) Sum(ended bool) (sum BodySum, known bool) {
	if d.known || !ended && !d.more {
		return d.sum, d.known
	}
	rest := byte(0)
	if d.more {
		rest = 1
	}
	d.hash.Write([]byte{rest})
	d.hash.Sum(d.sum[:0])
	d.known = true
	return d.sum, true
}

// ContentOf is the content of a request whose body has the sum.
func ContentOf(t Target, body BodySum) Content {
	path, _, _ := strings.Cut(t.URI, "?")
	host := strings.ToLower(t.Host)
	return Content{
		Exact: keyOf("exact", t.Method, host, t.URI, t.Caller, strconv.FormatInt(t.Length, 10), string(body[:])),
		Alike: keyOf("alike", t.Method, host, path, string(body[:])),
	}
}

// PathOf is the key of all requests with the method, host and path, whatever their
// bodies.
func PathOf(t Target) Key {
	path, _, _ := strings.Cut(t.URI, "?")
	return keyOf("path", t.Method, strings.ToLower(t.Host), path)
}

// usualTarget is more than most targets take, in bytes, with what frames their parts.
const usualTarget = 256

// keyOf sums up parts, each with its length before it: two lists of parts that read the
// same when they are joined differ.
func keyOf(parts ...string) Key {
	joined := make([]byte, 0, usualTarget)
	for _, p := range parts {
		joined = binary.BigEndian.AppendUint32(joined, uint32(len(p)))
		joined = append(joined, p...)
	}
	sum := sha256.Sum256(joined)
	return Key(max(1, binary.BigEndian.Uint64(sum[:8])))
}
