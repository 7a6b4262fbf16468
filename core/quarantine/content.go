// Package quarantine keeps requests that repeatedly crash backend servers away from the
// remaining ones.
//
// A faulty request may crash every server that runs it, while its callers retry it with
// new ids and through other nodes. Each call makes only a few attempts, so no single node
// sees that one request is behind all the crashes. The cause is found by comparing the
// requests that were running on all crashed servers. Each gate therefore tells the others
// which requests were running when its server crashed and which ones completed, and every
// node derives the same quarantine from this information.
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

// Key identifies the content of requests. Equal content has the same key on every node.
// A key is the first 8 bytes of a SHA-256 hash, so that nobody can craft a fatal request
// that has the key of a harmless one, or the reverse. 0 means no key.
type Key uint64

// String formats the key for logs.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// Content identifies what a request asks for, regardless of its id and of the node that
// received it. It is the zero Content while the request's body is not known yet.
type Content struct {
	// Exact distinguishes requests by method, host, path, query, body, and the service
	// of their callers.
	Exact Key
	// Alike is the same for similar requests: those that differ only in query, callers'
	// service or announced length of a long body. It recognises a retry that has another
	// query, comes from another service, or sends its body without a length.
	Alike Key
}

// Known reports whether the content identifies a request, that is, is not zero.
func (c Content) Known() bool { return c.Exact != 0 }

// Target is the destination of a request and its sender.
type Target struct {
	Method, Host string
	// URI is the path with its query.
	URI string
	// Caller is the service of the callers that sent the request, or empty if it is not
	// known.
	Caller string
	// Length is the announced length of a body of more than PrefixBytes, or 0 if the
	// body is shorter or its length is not announced.
	Length int64
}

// PrefixBytes is the length of the part of a body that is hashed to identify it. Longer
// bodies pass through a node without being buffered, so only this prefix is hashed.
const PrefixBytes = 64 << 10

// BodySum is a hash of the first PrefixBytes of a body and of whether the body is longer.
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

// Sum returns the hash of the body. ended states that the whole body was written. known is
// false while the hash can still change: the body has neither ended nor exceeded the
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
