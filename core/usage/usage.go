// Package usage enforces the usage caps of client accounts over all nodes together.
//
// The tokens of an account's cap are split among a few keepers, nodes that rendezvous
// hashing selects, one in each data centre where possible. A keeper holds a token bucket
// with its portion of the cap. A node charges each request to its nearest reachable keeper:
// while the keeper has tokens to spare, the node admits on credit and reports afterwards;
// once the keeper is short of tokens, the node needs a grant. A keeper that is short asks
// the others for tokens that they do not need. A token exists at one keeper only, so a cap
// also holds between nodes that cannot reach each other.
//
// The package does no I/O and reads no clock. Times are durations since the start of the
// process. The types are not safe for concurrent use.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Cap is the usage cap of a client account over all nodes together. A PerSecond of 0 means
// that there is none.
type Cap struct {
	PerSecond float64
	// Burst is the number of requests that an account may send at once after it was idle.
	Burst float64
}

// Tolerance is how far the requests that run may exceed a cap in any window.
type Tolerance struct {
	// Slack is a number of requests that may always run beyond the cap, and Overage a share
	// of the cap.
	Slack, Overage float64
}

// Member is a node that may be a keeper.
type Member struct {
	Host, DataCenter string
}

// Report tells a keeper what a node has charged to it.
type Report struct {
	Account string
	// Spent is the number of requests charged to the keeper since the node's process
	// started, less those that were given back.
	Spent uint64
	// Unacknowledged is the part of Spent that the keeper has not acknowledged.
	Unacknowledged uint64
	// Refused is the number of requests refused since the last report.
	Refused uint32
	// SentAt is when the node sent the report, on its own clock. It is 0 from a node that
	// takes no leases.
	SentAt time.Duration
}

// Grant is a keeper's answer to a Report. A notice has only Open and Wait.
type Grant struct {
	Account string
	Notice  bool
	// Receiver is the process whose report this answers; 0 in a notice.
	Receiver uint64
	// Spent acknowledges the report's Spent. The node may admit requests until its own
	// count reaches Limit.
	Spent, Limit uint64
	// Open means that the node may admit a few requests beyond Limit and report them
	// afterwards.
	Open bool
	// Wait is the time until the keeper expects to have a token again.
	Wait time.Duration
	// SentAt repeats the report's SentAt; 0 from a keeper that gives no leases.
	SentAt time.Duration
}

// Transfer asks another keeper for tokens, or gives it some.
type Transfer struct {
	Account       string
	Wanted, Given float64
}

// Message is what one node sends another.
type Message struct {
	Reports   []Report
	Grants    []Grant
	Transfers []Transfer
}

// Envelope is a Message and the host that it is for.
type Envelope struct {
	To string
	Message
}

const (
	// minKeepers is the number of keepers of an account if there are that many nodes: the
	// loss of one leaves two thirds of the cap.
	minKeepers = 3
	// maxKeepers bounds the number of portions. With more, the portion of a small cap would
	// be less than a token for most of the time.
	maxKeepers = 5

	// grantLifetime is how long a node may use a grant. keeperGrantLifetime, after which
	// the keeper takes unused tokens back, is longer by more than a datagram travels.
	grantLifetime       = time.Second
	keeperGrantLifetime = 1500 * time.Millisecond
)

// Keepers returns the hosts of an account's keepers, in the order in which a node in the
// given data centre prefers them: the one in its own data centre first. All nodes with
// the same members select the same keepers.
func Keepers(account string, members []Member, dataCenter string) []string {
	scored := scoreMembers(account, members)
	best := map[string]scoredMember{}
	for _, m := range scored {
		if first, exists := best[m.DataCenter]; !exists || m.precedes(first) {
			best[m.DataCenter] = m
		}
	}
	chosen := slices.SortedFunc(maps.Values(best), scoredMember.compare)
	chosen = chosen[:min(len(chosen), maxKeepers)]
	if len(chosen) < minKeepers {
		slices.SortFunc(scored, scoredMember.compare)
		for _, m := range scored {
			if len(chosen) < minKeepers && !slices.Contains(chosen, m) {
				chosen = append(chosen, m)
			}
		}
	}
	slices.SortStableFunc(chosen, func(a, b scoredMember) int {
		return cmp.Compare(distance(a.DataCenter, dataCenter), distance(b.DataCenter, dataCenter))
	})
	hosts := make([]string, len(chosen))
	for i, m := range chosen {
		hosts[i] = m.Host
	}
	return hosts
}

type scoredMember struct {
	Member
	score uint64
}

// compare orders members from the best one.
func (m scoredMember) compare(other scoredMember) int {
	return cmp.Or(cmp.Compare(other.score, m.score), cmp.Compare(m.Host, other.Host))
}

func (m scoredMember) precedes(other scoredMember) bool { return m.compare(other) < 0 }

// scoreMembers returns the members with their rendezvous hashes for the account.
func scoreMembers(account string, members []Member) []scoredMember {
	scored := make([]scoredMember, len(members))
	var digest xxhash.Digest
	for i, m := range members {
		digest.Reset()
		_, _ = digest.WriteString(account)
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(m.Host)
		scored[i] = scoredMember{m, digest.Sum64()}
	}
	return scored
}

func distance(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}
