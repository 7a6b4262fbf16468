package quarantine

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cactuspath/core/measure"
)

// This file synchronises ledgers by gossip. A node sends news to a few random nodes, and
// each node to which it is new forwards it. Nearly all nodes of a fleet receive it within
// a few round trips, even if some of them just crashed, are partitioned from others or
// cannot reach a control replica. Lost messages are recovered by anti-entropy: each node
// periodically compares its ledger with that of one random node. The two nodes exchange
// first a digest of the whole ledger, then, if the digests differ, a hash of each crash,
// and then the crashes that one of them lacks.

const (
	// fanout is the number of nodes to which a node sends news. With four, forwarding
	// alone reaches all but 2 % of the nodes, whatever the size of the fleet.
	fanout = 4
	// reducedFanout is the fanout for a crash none of whose contents is recorded with
	// another crash. Most crashes are of this kind. They do not lead to a quarantine yet,
	// and many may occur at once.
	reducedFanout = 2
	// CompareInterval is the interval between ledger comparisons while the ledger
	// changes, and during startupPeriod. With this interval, even if a third of all
	// datagrams is lost, only one node in 500 is two seconds behind.
	CompareInterval = 250 * time.Millisecond
	// changePeriod is how long after a change the ledger counts as changing.
	changePeriod = 5 * time.Second
	// IdleCompareInterval is the interval between ledger comparisons while the ledger is
	// not empty and does not change. It is short so that a node that was partitioned soon
	// learns what it missed. emptyCompareInterval applies while the ledger is empty.
	IdleCompareInterval  = time.Second
	emptyCompareInterval = 2 * time.Second
	// startupPeriod is how long after its start a node compares every CompareInterval,
	// since it may lack news that was sent while it was down.
	startupPeriod = 10 * time.Second
	// messagesPerSecond and bytesPerSecond limit the messages that a node sends to well
	// below the bandwidth limit of control traffic. Messages above the limits are
	// dropped; a later comparison sends their news again.
	messagesPerSecond = 100
	bytesPerSecond    = 16 << 10
	// maxMessageBytes is the maximum size of a message with news, chosen to fit into a
	// datagram. Larger news is split.
	maxMessageBytes = 900
	// Sizes of the parts of a message on the wire, in bytes, including framing.
	messageHeaderBytes = 64
	crashHeaderBytes   = 24
	contentBytes       = 16
	pathBytes          = 8
	completionBytes    = 16
	hashBytes          = 8
)

// HashRange lists the hashes of all crashes in the sender's ledger whose hashes lie
// between First and Last, both inclusive.
type HashRange struct {
	First, Last uint64
	List        []uint64
}

// Message is a gossip message from one node to another: news, a ledger comparison, or
// both.
type Message struct {
	News
	// Digest is the digest of the sender's ledger. If Compare is set and the receiver's
	// digest differs, the receiver replies with the hashes of its crashes.
	Digest  uint64
	Compare bool
	// Hashes lists the crashes that the sender knows. The receiver replies with its
	// other crashes in the range and requests those that it lacks. May be nil.
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

// SetPeers sets the hosts of all other known nodes. The first time, it returns messages
// that compare the ledger with some of them: this node has just started, its server may
// already be up, and the next request may be one that crashed other servers.
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

// Broadcast returns the messages that send this node's own news to some random nodes,
// which forward it.
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

// replyToHashes sends the crashes that the sender of the hashes lacks and requests those
// that this node lacks.
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

// Tick removes expired crashes and returns the messages of a ledger comparison if one is
// due. It must be called every CompareInterval.
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

// Compare returns a message that starts a ledger comparison with its receiver, after
// which both ledgers hold the crashes of either.
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

// NeedsSync reports whether this node needs regular comparisons: its ledger is not empty,
// or it started so recently that it may lack news.
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

// crashesByPriority returns the crashes whose hashes are wanted. Crashes whose contents
// are recorded with the most crashes come first, since these contents are the closest to
// a quarantine and the budget may not suffice for all crashes. Crashes of equal priority
// are in random order, so that each is sent eventually.
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

// sendNews returns the messages that send news to one node, as far as the budget allows.
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
