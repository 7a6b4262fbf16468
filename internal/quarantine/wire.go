package quarantine

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/quarantine"
)

// DatagramMarker is the first byte of a datagram for a Tracker. It distinguishes these
// datagrams from load reports, which arrive on the same socket and never begin with this
// byte.
const DatagramMarker = 0

var errMalformed = errors.New("malformed quarantine message; both nodes must run the same release")

// maxAge is the largest age accepted in a message. No ledger keeps a record that long.
const maxAge = 24 * time.Hour

func parseAge(ms uint64) (time.Duration, error) {
	if ms > uint64(maxAge.Milliseconds()) {
		return 0, errMalformed
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// encode encodes a message as a datagram.
func encode(from string, m quarantine.Message) []byte {
	// The message contains nothing that cannot be encoded.
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{DatagramMarker}, toWire(from, m))
	if err != nil {
		panic(err)
	}
	return data
}

// decode decodes a datagram.
func decode(datagram []byte) (from string, m quarantine.Message, err error) {
	news := &apiv1.QuarantineNews{}
	if len(datagram) == 0 || datagram[0] != DatagramMarker || proto.Unmarshal(datagram[1:], news) != nil {
		return "", m, errMalformed
	}
	return fromWire(news)
}

func toWire(from string, m quarantine.Message) *apiv1.QuarantineNews {
	news := &apiv1.QuarantineNews{From: from, Digest: m.Digest, Compare: m.Compare, Asked: m.Asked}
	for _, e := range m.Crashes {
		out := &apiv1.ServerEnd{Id: uint64(e.ID), AgeMs: uint64(e.Age.Milliseconds())}
		for _, c := range e.Contents {
			out.Exact = append(out.Exact, uint64(c.Exact))
			out.Alike = append(out.Alike, uint64(c.Alike))
		}
		for _, p := range e.Paths {
			out.Paths = append(out.Paths, uint64(p))
		}
		news.Ends = append(news.Ends, out)
	}
	for _, c := range m.Completions {
		news.Completions = append(news.Completions, &apiv1.ContentCompletion{Key: uint64(c.Key), AgeMs: uint64(c.Age.Milliseconds())})
	}
	if m.Hashes != nil {
		news.Marks = &apiv1.QuarantineMarks{First: m.Hashes.First, Last: m.Hashes.Last, List: m.Hashes.List}
	}
	return news
}

func fromWire(news *apiv1.QuarantineNews) (from string, m quarantine.Message, err error) {
	m = quarantine.Message{Digest: news.GetDigest(), Compare: news.GetCompare(), Asked: news.GetAsked()}
	for _, e := range news.GetEnds() {
		if len(e.Exact) != len(e.Alike) {
			return "", m, errMalformed
		}
		crash := quarantine.Crash{ID: quarantine.CrashID(e.Id)}
		if crash.Age, err = parseAge(e.AgeMs); err != nil {
			return "", m, err
		}
		for i := range e.Exact {
			crash.Contents = append(crash.Contents, quarantine.Content{Exact: quarantine.Key(e.Exact[i]), Alike: quarantine.Key(e.Alike[i])})
		}
		for _, p := range e.Paths {
			crash.Paths = append(crash.Paths, quarantine.Key(p))
		}
		m.Crashes = append(m.Crashes, crash)
	}
	for _, c := range news.GetCompletions() {
		completion := quarantine.Completion{Key: quarantine.Key(c.Key)}
		if completion.Age, err = parseAge(c.AgeMs); err != nil {
			return "", m, err
		}
		m.Completions = append(m.Completions, completion)
	}
	if news.GetMarks() != nil {
		m.Hashes = &quarantine.HashRange{First: news.Marks.First, Last: news.Marks.Last, List: news.Marks.List}
	}
	return news.GetFrom(), m, nil
}
