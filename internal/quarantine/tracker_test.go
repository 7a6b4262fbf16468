package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/quarantine"
)

func contentOf(path string) quarantine.Content {
	return quarantine.ContentOf(quarantine.Target{Method: "GET", Host: "h", URI: path}, quarantine.SumOf(nil))
}

func TestDatagramsRoundTrip(t *testing.T) {
	m := quarantine.Message{
		News: quarantine.News{
			Crashes: []quarantine.Crash{{ID: 7, Age: 1500 * time.Millisecond, Contents: []quarantine.Content{contentOf("/a"), {Exact: 3}}, Paths: []quarantine.Key{9}},
				{ID: 8, Paths: []quarantine.Key{1}}},
			Completions: []quarantine.Completion{{Key: 5, Age: time.Minute}},
		},
		Digest: 1 << 63, Compare: true, Hashes: &quarantine.HashRange{First: 1, Last: 1 << 63, List: []uint64{1, 2}}, Asked: []uint64{4},
	}
	from, got, err := decode(encode("host-1", m))
	assert.NilError(t, err)
	assert.Equal(t, from, "host-1")
	assert.DeepEqual(t, got, m)
}

func TestMalformedDatagramsAreIgnored(t *testing.T) {
	k := New(Options{Host: "h", Counters: &Counters{}})
	uneven := encode("x", quarantine.Message{News: quarantine.News{Crashes: []quarantine.Crash{{ID: 1, Contents: []quarantine.Content{contentOf("/a")}}}}})
	tooOld := encode("x", quarantine.Message{News: quarantine.News{Crashes: []quarantine.Crash{{ID: 1, Age: maxAge + time.Second}}}})
	for _, bad := range [][]byte{nil, {1}, {DatagramMarker, 255}, uneven[:len(uneven)-3], tooOld} {
		k.Receive(bad)
	}
	assert.Equal(t, k.options.Counters.Malformed.Value(), int64(5))
}

// Three servers crash while running the same request, each at another node. Every node,
// including one that starts later, must learn of all crashes and quarantine the request.
func TestTrackersExchangeCrashes(t *testing.T) {
	trackers := map[string]*Tracker{}
	add := func(host string) *Tracker {
		k := New(Options{Host: host, Counters: &Counters{}, Send: func(to string, datagram []byte) {
			if k := trackers[to]; k != nil {
				k.Receive(datagram)
			}
		}})
		trackers[host] = k
		for name, one := range trackers {
			var others []string
			for other := range trackers {
				if other != name {
					others = append(others, other)
				}
			}
			one.SetPeers(others)
		}
		return k
	}
	fatal := contentOf("/fatal")
	one, two, three := add("a"), add("b"), add("c")
	for i, k := range []*Tracker{one, two, three} {
		assert.Equal(t, k.QuarantinedFor(fatal), time.Duration(0), "before end %d", i+1)
		k.Ended([]quarantine.Content{fatal, contentOf("/other")}, nil)
		k.Completed(contentOf("/other"))
	}
	late := add("d")
	late.update(func(now time.Duration) []quarantine.Envelope { return late.gossip.Tick(now) })
	for host, k := range trackers {
		assert.Assert(t, k.QuarantinedFor(fatal) > 0, host)
		assert.Equal(t, k.QuarantinedFor(contentOf("/other")), time.Duration(0), host)
		assert.Equal(t, k.Contents(), 1)
	}
}
