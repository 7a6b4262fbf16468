// Package quarantine keeps requests that repeatedly crash backend servers away from the
// remaining ones.
//
// A request may crash any server that runs it, and its callers retry it with new ids
// and through other nodes. A single call makes only a few attempts, so the cause shows
// only when the requests that were running on all crashed servers are compared. Each
// gate therefore tells the others which requests were running when its server crashed
// and which ones completed, and every node derives the same quarantine from this
// information.
//
// The types do no I/O and are not safe for concurrent use.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strconv"
	"strings"
)

// Key identifies the content of requests and is equal for equal content on every node.
// It is a part of a SHA-256 hash, so that nobody can craft a harmless request that has
// the key of another one. 0 means none.
type Key uint64

// String formats the key for logs.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Content identifies what a request asks for, regardless of its id and of the node that
// received it. The zero Content is that of a request whose body is not known yet.
type Content struct {
	// Exact distinguishes requests by method, host, path, query, body, and the service
	// of their callers.
	Exact Key
	// Alike omits the query, the callers' service and the length of a long body: a
	// retry may have another query, come from another service, or send its body without
	// a length.
	Alike Key
}

// Known reports whether the content is known.
func (c Content) Known() bool { return c.Exact != 0 }

// Target is the destination of a request and its sender.
type Target struct {
	Method, Host string
	// URI is the path with its query.
	URI string
	// Caller is the service of the callers that sent the request, or empty if it is not
	// known.
	Caller string
	// Length is the length of a body of more than PrefixBytes, if its sender announces
	// it.
	Length int64
}

// PrefixBytes is the length of the part of a body that distinguishes contents. Longer
// bodies pass through a node without being buffered and are identified by this prefix.
const PrefixBytes = 64 << 10

// BodySum identifies a body by its first PrefixBytes and by whether it is longer.
type BodySum [sha256.Size]byte

// noBody is the hash of an empty body, which most requests have.
var noBody = sumOf(nil)

// SumOf returns the hash of a body that is held in memory.
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

// BodyDigest hashes a body as it is streamed.
type BodyDigest struct {
	hash hash.Hash
	read int
	// more is set if the body is longer than the hashed prefix.
	more  bool
	sum   BodySum
	known bool
}

// NewBodyDigest returns a digest of an empty body.
func NewBodyDigest() *BodyDigest { return &BodyDigest{hash: sha256.New()} }

// Write adds the next bytes of the body.
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

// Sum returns the hash if it is known: the body has ended, or it is longer than the
// hashed prefix.
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

// ContentOf returns the content of a request whose body has the given hash.
func ContentOf(t Target, body BodySum) Content {
	path, _, _ := strings.Cut(t.URI, "?")
	host := strings.ToLower(t.Host)
	return Content{
		Exact: keyOf("exact", t.Method, host, t.URI, t.Caller, strconv.FormatInt(t.Length, 10), string(body[:])),
		Alike: keyOf("alike", t.Method, host, path, string(body[:])),
	}
}

// PathOf returns the key of all requests with the same method, host and path,
// regardless of their bodies.
func PathOf(t Target) Key {
	path, _, _ := strings.Cut(t.URI, "?")
	return keyOf("path", t.Method, strings.ToLower(t.Host), path)
}

// typicalTargetBytes exceeds the encoded size of most targets, with the length prefixes
// of their parts.
const typicalTargetBytes = 256

// keyOf hashes the parts, each prefixed with its length, so that different lists of
// parts with the same concatenation have different keys.
func keyOf(parts ...string) Key {
	joined := make([]byte, 0, typicalTargetBytes)
	for _, p := range parts {
		joined = binary.BigEndian.AppendUint32(joined, uint32(len(p)))
		joined = append(joined, p...)
	}
	sum := sha256.Sum256(joined)
	return Key(max(1, binary.BigEndian.Uint64(sum[:8])))
}
