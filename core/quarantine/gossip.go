package quarantine

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cactuspath/core/measure"
)

// This file synchronises ledgers. News is sent to a few random nodes, and each node
// that did not know it forwards it: nearly all nodes of a fleet have it within a few
// round trips, even if some of them just crashed, are partitioned from others or cannot
// reach a control replica. Lost messages are made up for by repeated comparison with
// one random node (anti-entropy): first a digest of everything, then, if the digests
// differ, a hash of each crash, then the crashes that one of the two lacks.

const (
	// fanout is the number of nodes to which news is sent. With four, all but 2 % of
	// the nodes have it at once, whatever the size of the fleet.
	fanout = 4
	// reducedFanout applies to a crash none of whose contents is recorded with another
	// crash. Most crashes are of this kind, have no consequence yet, and may come in
	// large numbers.
	reducedFanout = 2
	// CompareInterval is the interval between comparisons while the ledger changes, or
	// after the start of the node, when it may have missed news. With a third of all
	// datagrams lost, one node in 500 is then two seconds behind.
	CompareInterval = 250 * time.Millisecond
	// changePeriod is how long after a change the ledger counts as changing.
	changePeriod = 5 * time.Second
	// IdleCompareInterval is the interval between comparisons otherwise, so that a node
	// that was partitioned soon learns what it missed. emptyCompareInterval is the
	// interval while the ledger is empty.
	IdleCompareInterval  = time.Second
	emptyCompareInterval = 2 * time.Second
	// startupPeriod is how long after its start a node may have missed news.
	startupPeriod = 10 * time.Second
	// messagesPerSecond and bytesPerSecond limit what a node sends, well within the
	// bandwidth that control may use. What exceeds them is sent after a later
	// comparison.
	messagesPerSecond = 100
	bytesPerSecond    = 16 << 10
	// maxMessageBytes is the size at which news is split into another message, so that
	// each fits into a datagram.
	maxMessageBytes = 900
	// Sizes on the wire, including framing.
	messageHeaderBytes = 64
	crashHeaderBytes   = 24
	contentBytes       = 16
	pathBytes          = 8
	completionBytes    = 16
	hashBytes          = 8
)

// HashRange holds the hashes of all crashes in the sender's ledger between First and
// Last, both inclusive.
type HashRange struct {
	First, Last uint64
	List        []uint64
}

// Message is what one node sends to another.
type Message struct {
	News
	// Digest is the digest of the sender's ledger. Compare requests the receiver's
	// hashes if its digest differs.
	Digest  uint64
	Compare bool
	// Hashes requests the crashes that the sender lacks, or is nil.
	Hashes *HashRange
	// Asked lists the hashes of crashes that the sender requests.
	Asked []uint64
}

// Envelope is a message addressed to a host.
type Envelope struct {
	To string
	Message
}

// Gossip synchronises one node's ledger with those of other nodes. It is not safe for
// concurrent use.
type Gossip struct {
	Ledger *Ledger
	random *rand.Rand
	peers  []string
	budget *measure.Budget
	start  time.Duration
	// comparedAt is the time of the last comparison, and changedAt that of the last
	// change of the ledger.
	comparedAt, changedAt time.Duration
	digest                uint64
}

// NewGossip returns a Gossip with an empty ledger.
func NewGossip(random *rand.Rand, now time.Duration) *Gossip {
	return &Gossip{Ledger: NewLedger(), random: random, budget: measure.NewBudget(messagesPerSecond, bytesPerSecond), start: now, comparedAt: now - emptyCompareInterval, changedAt: now - changePeriod}
}

// SetPeers sets the hosts of all other known nodes. A node that has just started
// compares at once with some of the first nodes that it learns of: its server may be up
// already, and the next request may be one that crashed other servers.
func (g *Gossip) SetPeers(now time.Duration, hosts []string) []Envelope {
	first := len(g.peers) == 0
	g.peers = hosts
	if !first {
		return nil
	}
	var out []Envelope
	for _, i := range g.random.Perm(len(hosts))[:min(fanout, len(hosts))] {
		out = append(out, g.admit(now, []Envelope{{To: hosts[i], Message: g.Compare()}})...)
	}
	return out
}

// Peers returns the number of other known nodes.
func (g *Gossip) Peers() int { return len(g.peers) }

// Broadcast sends news that originated on this node to some other nodes.
func (g *Gossip) Broadcast(now time.Duration, news News) []Envelope { return g.forward(now, news, "") }

// Receive processes a message and returns the messages to send in response.
func (g *Gossip) Receive(now time.Duration, from string, m Message) []Envelope {
	forward, correction := g.Ledger.Learn(now, m.News)
	out := g.forward(now, forward, from)
	out = append(out, g.sendNews(now, from, correction)...)
	if m.Compare && m.Digest != g.Ledger.Digest() {
		out = append(out, g.sendHashes(now, from)...)
	}
	if m.Hashes != nil {
		out = append(out, g.replyToHashes(now, from, *m.Hashes)...)
	}
	if len(m.Asked) > 0 {
		out = append(out, g.sendNews(now, from, News{Crashes: g.crashesByPriority(now, func(hash uint64) bool { return slices.Contains(m.Asked, hash) })})...)
	}
	return out
}

// sendHashes sends the hashes of all crashes, split into messages that fit into a
// datagram.
func (g *Gossip) sendHashes(now time.Duration, to string) []Envelope {
	const maxHashes = (maxMessageBytes - messageHeaderBytes) / hashBytes
	hashes := g.Ledger.hashes()
	var out []Envelope
	for first := uint64(0); ; {
		list := hashes[:min(len(hashes), maxHashes)]
		hashes = hashes[len(list):]
		last := uint64(math.MaxUint64)
		if len(hashes) > 0 {
			last = list[len(list)-1]
		}
		out = append(out, Envelope{To: to, Message: Message{Digest: g.Ledger.Digest(), Hashes: &HashRange{First: first, Last: last, List: list}}})
		if len(hashes) == 0 {
			return g.admit(now, out)
		}
		first = last + 1
	}
}

// replyToHashes sends the crashes that the sender lacks and requests those that are
// missing here.
func (g *Gossip) replyToHashes(now time.Duration, from string, m HashRange) []Envelope {
	missing := func(hash uint64) bool { return m.First <= hash && hash <= m.Last && !slices.Contains(m.List, hash) }
	own := g.Ledger.hashes()
	asked := slices.DeleteFunc(slices.Clone(m.List), func(hash uint64) bool { return slices.Contains(own, hash) })
	var out []Envelope
	if len(asked) > 0 {
		out = g.admit(now, []Envelope{{To: from, Message: Message{Digest: g.Ledger.Digest(), Asked: asked}}})
	}
	return append(out, g.sendNews(now, from, News{Crashes: g.crashesByPriority(now, missing)})...)
}

// Tick must be called every CompareInterval.
func (g *Gossip) Tick(now time.Duration) []Envelope {
	g.Ledger.Tick(now)
	if digest := g.Ledger.Digest(); digest != g.digest {
		g.digest, g.changedAt = digest, now
	}
	if len(g.peers) == 0 || now-g.comparedAt < g.compareInterval(now) {
		return nil
	}
	g.comparedAt = now
	peer := g.peers[g.random.IntN(len(g.peers))]
	return g.admit(now, []Envelope{{To: peer, Message: g.Compare()}})
}

// Compare returns a message that requests what the receiver's ledger holds and this
// node's does not.
func (g *Gossip) Compare() Message { return Message{Digest: g.Ledger.Digest(), Compare: true} }

// compareInterval returns the interval between two comparisons.
func (g *Gossip) compareInterval(now time.Duration) time.Duration {
	switch {
	case now-g.start < startupPeriod:
		return CompareInterval
	case g.digest == 0:
		return emptyCompareInterval
	case now-g.changedAt < changePeriod:
		return CompareInterval
	}
	return IdleCompareInterval
}

// NeedsSync reports whether the ledger is not empty or may have missed news.
func (g *Gossip) NeedsSync(now time.Duration) bool {
	return g.compareInterval(now) != emptyCompareInterval
}

// forward sends news to some random nodes, except the one that it came from.
func (g *Gossip) forward(now time.Duration, news News, from string) []Envelope {
	if news.Empty() {
		return nil
	}
	limit := reducedFanout
	if len(news.Completions) > 0 || slices.ContainsFunc(news.Crashes, func(e Crash) bool { return g.Ledger.maxCrashCount(e) > 1 }) {
		limit = fanout
	}
	var out []Envelope
	sent := 0
	for _, i := range g.random.Perm(len(g.peers)) {
		if sent == limit {
			break
		}
		if g.peers[i] != from {
			out = append(out, g.sendNews(now, g.peers[i], news)...)
			sent++
		}
	}
	return out
}

// crashesByPriority returns the crashes whose hashes are wanted. Crashes with contents
// that are recorded with other crashes as well come first, since they matter most if
// the budget does not suffice for all. The others are in random order, so that each is
// sent eventually.
func (g *Gossip) crashesByPriority(now time.Duration, wanted func(hash uint64) bool) []Crash {
	all := g.Ledger.SelectCrashes(now, wanted)
	g.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b Crash) int { return g.Ledger.maxCrashCount(b) - g.Ledger.maxCrashCount(a) })
	return all
}

// maxCrashCount returns the highest number of crashes with which any content of the
// crash is recorded.
func (l *Ledger) maxCrashCount(e Crash) int {
	highest := 0
	for _, c := range e.Contents {
		highest = max(highest, l.crashCounts[c.Exact], l.crashCounts[c.Alike])
	}
	return highest
}

// sendNews wraps news in messages.
func (g *Gossip) sendNews(now time.Duration, to string, news News) []Envelope {
	if news.Empty() {
		return nil
	}
	list := splitNews(news)
	out := make([]Envelope, 0, len(list))
	for _, part := range list {
		out = append(out, Envelope{To: to, Message: Message{News: part, Digest: g.Ledger.Digest()}})
	}
	return g.admit(now, out)
}

// splitNews splits news into parts that fit into a datagram. It returns at least one
// part.
func splitNews(news News) []News {
	list := []News{{}}
	size := messageHeaderBytes
	nextPart := func(bytes int) *News {
		if size+bytes > maxMessageBytes {
			list = append(list, News{})
			size = messageHeaderBytes
		}
		size += bytes
		return &list[len(list)-1]
	}
	for _, c := range news.Completions {
		part := nextPart(completionBytes)
		part.Completions = append(part.Completions, c)
	}
	for _, e := range news.Crashes {
		for _, piece := range e.split() {
			part := nextPart(piece.bytes())
			part.Crashes = append(part.Crashes, piece)
		}
	}
	return list
}

// split splits a crash that is too large for one message.
func (e Crash) split() []Crash {
	const maxEntries = (maxMessageBytes - messageHeaderBytes - crashHeaderBytes) / (contentBytes + pathBytes)
	var list []Crash
	contents, paths := e.Contents, e.Paths
	for {
		c, p := min(len(contents), maxEntries), min(len(paths), maxEntries)
		list = append(list, Crash{ID: e.ID, Age: e.Age, Contents: contents[:c], Paths: paths[:p]})
		contents, paths = contents[c:], paths[p:]
		if len(contents) == 0 && len(paths) == 0 {
			return list
		}
	}
}

func (e Crash) bytes() int {
	return crashHeaderBytes + contentBytes*len(e.Contents) + pathBytes*len(e.Paths)
}

func (m Message) bytes() int {
	n := messageHeaderBytes + completionBytes*len(m.Completions) + hashBytes*len(m.Asked)
	if m.Hashes != nil {
		n += hashBytes * len(m.Hashes.List)
	}
	for _, e := range m.Crashes {
		n += e.bytes()
	}
	return n
}

// admit returns the leading messages that fit the budget.
func (g *Gossip) admit(now time.Duration, envelopes []Envelope) []Envelope {
	for i, p := range envelopes {
		if !g.budget.Allow(now, p.bytes()) {
			return envelopes[:i]
		}
	}
	return envelopes
}
