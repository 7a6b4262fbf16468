package usage

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/usage"
)

// DatagramMarker is the first byte of a datagram for an Accountant. It distinguishes these
// datagrams from others that arrive on the same socket and never begin with this byte.
const DatagramMarker = 1

// maxItems is the number of reports, grants or transfers in a datagram. With the longest
// names, more would not fit into the largest datagram that nodes accept, 1 KiB.
const maxItems = 5

var errMalformed = errors.New("malformed usage message; both nodes must run the same release")

// encode encodes a message as datagrams. Grants that answer reports are for the process
// that sent them.
func encode(from string, process uint64, m usage.Message) [][]byte {
	var out [][]byte
	add := func(news *apiv1.UsageNews) {
		news.From, news.Incarnation = from, process
		// The message contains nothing that cannot be encoded.
		data, err := proto.MarshalOptions{}.MarshalAppend([]byte{DatagramMarker}, news)
		if err != nil {
			panic(err)
		}
		out = append(out, data)
	}
	for reports := range slices.Chunk(m.Reports, maxItems) {
		news := &apiv1.UsageNews{}
		for _, r := range reports {
			news.Reports = append(news.Reports, &apiv1.UsageReport{Account: r.Account, Spent: r.Spent, Unacknowledged: r.Unacknowledged, Refused: r.Refused, SentUs: uint64(r.SentAt.Microseconds())})
		}
		add(news)
	}
	for grants := range slices.Chunk(m.Grants, maxItems) {
		news := &apiv1.UsageNews{}
		for _, g := range grants {
			news.Grants = append(news.Grants, &apiv1.UsageGrant{Account: g.Account, Spent: g.Spent, Limit: g.Limit, Open: g.Open, WaitMs: uint32(min(math.MaxUint32, g.Wait.Milliseconds())),
				ReceiverIncarnation: g.Receiver, SentUs: uint64(g.SentAt.Microseconds())})
		}
		add(news)
	}
	for transfers := range slices.Chunk(m.Transfers, maxItems) {
		news := &apiv1.UsageNews{}
		for _, t := range transfers {
			news.Transfers = append(news.Transfers, &apiv1.UsageTransfer{Account: t.Account, Wanted: t.Wanted, Given: t.Given})
		}
		add(news)
	}
	return out
}

// decode decodes a datagram. Grants for an earlier process of this node are left out.
func decode(data []byte, process uint64) (from string, sender uint64, m usage.Message, err error) {
	news := &apiv1.UsageNews{}
	if len(data) == 0 || data[0] != DatagramMarker || proto.Unmarshal(data[1:], news) != nil {
		return "", 0, m, errMalformed
	}
	for _, r := range news.Reports {
		m.Reports = append(m.Reports, usage.Report{Account: r.Account, Spent: r.Spent, Unacknowledged: r.Unacknowledged, Refused: r.Refused, SentAt: duration(r.SentUs)})
	}
	for _, g := range news.Grants {
		notice := g.ReceiverIncarnation == 0
		if !notice && g.ReceiverIncarnation != process {
			continue
		}
		m.Grants = append(m.Grants, usage.Grant{Account: g.Account, Notice: notice, Receiver: g.ReceiverIncarnation, Spent: g.Spent, Limit: g.Limit, Open: g.Open,
			Wait: time.Duration(g.WaitMs) * time.Millisecond, SentAt: duration(g.SentUs)})
	}
	for _, t := range news.Transfers {
		if !(t.Wanted >= 0 && t.Given >= 0) || math.IsInf(t.Wanted, 0) || math.IsInf(t.Given, 0) {
			return "", 0, m, errMalformed
		}
		m.Transfers = append(m.Transfers, usage.Transfer{Account: t.Account, Wanted: t.Wanted, Given: t.Given})
	}
	return news.From, news.Incarnation, m, nil
}

// duration returns a number of microseconds of a message as a duration. Numbers beyond any
// process's lifetime are cut off.
func duration(microseconds uint64) time.Duration {
	return time.Duration(min(microseconds, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
}
