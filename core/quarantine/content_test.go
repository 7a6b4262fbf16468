package quarantine

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

var listTarget = Target{Method: "GET", Host: "Snags.example", URI: "/list/7?page=2", Caller: "signoff"}

func TestContentsDiffer(t *testing.T) {
	body := SumOf([]byte("a"))
	base := ContentOf(listTarget, body)
	change := func(f func(*Target)) Target {
		other := listTarget
		f(&other)
		return other
	}
	for _, c := range []struct {
		desc         string
		target       Target
		body         BodySum
		exact, alike bool
	}{
		{"the same", listTarget, body, true, true},
		{"host in lower case", change(func(t *Target) { t.Host = "snags.example" }), body, true, true},
		{"another body", listTarget, SumOf([]byte("b")), false, false},
		{"no body", listTarget, SumOf(nil), false, false},
		{"another method", change(func(t *Target) { t.Method = "PUT" }), body, false, false},
		{"another path", change(func(t *Target) { t.URI = "/list/8?page=2" }), body, false, false},
		{"another query", change(func(t *Target) { t.URI = "/list/7?page=3" }), body, false, true},
		{"another length of a long body", change(func(t *Target) { t.Length = 2 * PrefixBytes }), body, false, true},
		{"another caller", change(func(t *Target) { t.Caller = "defects" }), body, false, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			other := ContentOf(c.target, c.body)
			assert.Equal(t, other.Exact == base.Exact, c.exact)
			assert.Equal(t, other.Alike == base.Alike, c.alike)
		})
	}
}

// TestBodySumDoesNotDependOnChunks guards against different hashes of the same body. A
// node buffers short bodies and streams long ones, so a body is hashed in one chunk or in
// many.
func TestBodySumDoesNotDependOnChunks(t *testing.T) {
	for _, size := range []int{0, 1, PrefixBytes - 1, PrefixBytes, PrefixBytes + 1, 3 * PrefixBytes} {
		body := bytes.Repeat([]byte("x"), size)
		d := NewBodyDigest()
		for rest := body; len(rest) > 0; {
			n := min(1000, len(rest))
			d.Write(rest[:n])
			rest = rest[n:]
		}
		sum, known := d.Sum(true)
		assert.Assert(t, known)
		assert.Equal(t, sum, SumOf(body), "%d bytes", size)
	}
}

// TestBodySumIsKnownOnceItCannotChange guards against using the hash of an incomplete
// body: the hash is known only once the body has ended or exceeds the hashed prefix. A
// body of exactly the prefix length must have another hash than a longer one.
func TestBodySumIsKnownOnceItCannotChange(t *testing.T) {
	d := NewBodyDigest()
	d.Write(bytes.Repeat([]byte("x"), PrefixBytes))
	_, known := d.Sum(false)
	assert.Assert(t, !known)
	d.Write([]byte("x"))
	longer, known := d.Sum(false)
	assert.Assert(t, known)
	d.Write([]byte("y"))
	again, _ := d.Sum(true)
	assert.Equal(t, again, longer)
	assert.Assert(t, longer != SumOf(bytes.Repeat([]byte("x"), PrefixBytes)))
}
