package quarantine

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cactuspath/core/measure"
)

// How ledgers come to hold the same. What is new goes to a few others at random, and
// each that had not heard of it passes it on: nearly all of a fleet have it within a few
// round trips, whoever of them has just ended, is cut off from some or hears nobody from
// control. The rest comes by comparing with one other at random, again and again: first
// a digest of all, then where they differ a mark of each end, then the ends that one of
// them lacks.

const (
	// fanout is to how many others news goes: with four, all but two in a hundred of any
	// number have it at once.
	fanout = 4
	// fewer is to how many goes the end of a server with nobody on it who stands on
	// another end. Most ends are of that kind, nothing follows from them yet, and many may
	// come at once.
	fewer = 2
	// CompareEvery is how often a node compares with another one while what it holds
	// changes, or while it has just started and may have missed something. With a third of
	// all datagrams lost, one node in 500 is then two seconds behind.
	CompareEvery = 250 * time.Millisecond
	// changeFor is how long after a change that goes on.
	changeFor = 5 * time.Second
	// CalmEvery is how often a node compares otherwise, so that one that was cut off soon
	// hears what it missed, and quietEvery where there is nothing to tell.
	CalmEvery  = time.Second
	quietEvery = 2 * time.Second
	// startFor is how long a node counts as just started.
	startFor = 10 * time.Second
	// messagesPerSecond and bytesPerSecond bound what a node sends, whatever happens, well
	// within what control may cost it. What does not fit is told by a later comparison.
	messagesPerSecond = 100
	bytesPerSecond    = 16 << 10
	// mostBytes is the size of a message at which the next one begins, to fit a datagram.
	mostBytes = 900
	// Sizes as they are sent, with what frames them.
	messageBytes    = 64
	endBytes        = 24
	contentBytes    = 16
	pathBytes       = 8
	completionBytes = 16
	markBytes       = 8
)

// Marks are the marks of all ends that the sender holds in a range of marks, both ends
// of the range included.
type Marks struct {
	First, Last uint64
	List        []uint64
}

// Message is what one node tells another one.
type Message struct {
	News
	// Digest is that of the sender's ledger, Compare asks for marks if the receiver's
	// differs.
	Digest  uint64
	Compare bool
	// Marks asks for the ends that the sender lacks; nil for nothing.
	Marks *Marks
	// Asked are the marks of ends that the sender wants.
	Asked []uint64
}

// Parcel is a message with its receiver's host.
type Parcel struct {
	To string
	Message
}

// Gossip is one node's ledger and its part in telling others. Not safe for concurrent
// use.
type Gossip struct {
	Ledger *Ledger
	random *rand.Rand
	peers  []string
	budget *measure.Budget
	start  time.Duration
	// compared is when this node last compared, changed when what it holds last did.
	compared, changed time.Duration
	digest            uint64
}

// NewGossip returns an empty ledger with its part in telling others.
func NewGossip(random *rand.Rand, now time.Duration) *Gossip {
	return &Gossip{Ledger: NewLedger(), random: random, budget: measure.NewBudget(messagesPerSecond, bytesPerSecond), start: now, compared: now - quietEvery, changed: now - changeFor}
}

// SetPeers names the hosts of all other nodes that are known. A node that has just
// started compares at once with some of the first that it hears of: its server may be
// up already, and the request that ended others may be the first to come.
func (g *Gossip) SetPeers(now time.Duration, hosts []string) []Parcel {
	first := len(g.peers) == 0
	g.peers = hosts
	if !first {
		return nil
	}
	var out []Parcel
	for _, i := range g.random.Perm(len(hosts))[:min(fanout, len(hosts))] {
		out = append(out, g.send(now, []Parcel{{To: hosts[i], Message: g.Compare()}})...)
	}
	return out
}

// Peers is how many other nodes are known.
func (g *Gossip) Peers() int { return len(g.peers) }

// Spread tells some others what was found out here.
func (g *Gossip) Spread(now time.Duration, news News) []Parcel { return g.spread(now, news, "") }

// Receive takes in a message and returns what follows.
func (g *Gossip) Receive(now time.Duration, from string, m Message) []Parcel {
	spread, correction := g.Ledger.Learn(now, m.News)
	out := g.spread(now, spread, from)
	out = append(out, g.tell(now, from, correction)...)
	if m.Compare && m.Digest != g.Ledger.Digest() {
		out = append(out, g.tellMarks(now, from)...)
	}
	if m.Marks != nil {
		out = append(out, g.answerMarks(now, from, *m.Marks)...)
	}
	if len(m.Asked) > 0 {
		out = append(out, g.tell(now, from, News{Ends: g.held(now, func(mark uint64) bool { return slices.Contains(m.Asked, mark) })})...)
	}
	return out
}

// tellMarks sends the marks of all ends, in parts that fit a datagram.
func (g *Gossip) tellMarks(now time.Duration, to string) []Parcel {
	const most = (mostBytes - messageBytes) / markBytes
	marks := g.Ledger.marks()
	var out []Parcel
	for first := uint64(0); ; {
		list := marks[:min(len(marks), most)]
		marks = marks[len(list):]
		last := uint64(math.MaxUint64)
		if len(marks) > 0 {
			last = list[len(list)-1]
		}
		out = append(out, Parcel{To: to, Message: Message{Digest: g.Ledger.Digest(), Marks: &Marks{First: first, Last: last, List: list}}})
		if len(marks) == 0 {
			return g.send(now, out)
		}
		first = last + 1
	}
}

// answerMarks sends the ends that the sender of marks lacks, and asks for those that are
// lacking here.
func (g *Gossip) answerMarks(now time.Duration, from string, m Marks) []Parcel {
	lacks := func(mark uint64) bool { return m.First <= mark && mark <= m.Last && !slices.Contains(m.List, mark) }
	own := g.Ledger.marks()
	asked := slices.DeleteFunc(slices.Clone(m.List), func(mark uint64) bool { return slices.Contains(own, mark) })
	var out []Parcel
	if len(asked) > 0 {
		out = g.send(now, []Parcel{{To: from, Message: Message{Digest: g.Ledger.Digest(), Asked: asked}}})
	}
	return append(out, g.tell(now, from, News{Ends: g.held(now, lacks)})...)
}

// Tick is called every CompareEvery.
func (g *Gossip) Tick(now time.Duration) []Parcel {
	g.Ledger.Tick(now)
	if digest := g.Ledger.Digest(); digest != g.digest {
		g.digest, g.changed = digest, now
	}
	if len(g.peers) == 0 || now-g.compared < g.spacing(now) {
		return nil
	}
	g.compared = now
	peer := g.peers[g.random.IntN(len(g.peers))]
	return g.send(now, []Parcel{{To: peer, Message: g.Compare()}})
}

// Compare is a message that asks for what the receiver holds and this node does not.
func (g *Gossip) Compare() Message { return Message{Digest: g.Ledger.Digest(), Compare: true} }

// spacing is the time between two comparisons.
func (g *Gossip) spacing(now time.Duration) time.Duration {
	switch {
	case now-g.start < startFor:
		return CompareEvery
	case g.digest == 0:
		return quietEvery
	case now-g.changed < changeFor:
		return CompareEvery
	}
	return CalmEvery
}

// Restless tells whether the node has something to tell, or may have missed something.
func (g *Gossip) Restless(now time.Duration) bool { return g.spacing(now) != quietEvery }

// spread tells news to some others, not to the one that told it.
func (g *Gossip) spread(now time.Duration, news News, from string) []Parcel {
	if news.Empty() {
		return nil
	}
	most := fewer
	if len(news.Completions) > 0 || slices.ContainsFunc(news.Ends, func(e End) bool { return g.Ledger.weight(e) > 1 }) {
		most = fanout
	}
	var out []Parcel
	told := 0
	for _, i := range g.random.Perm(len(g.peers)) {
		if told == most {
			break
		}
		if g.peers[i] != from {
			out = append(out, g.tell(now, g.peers[i], news)...)
			told++
		}
	}
	return out
}

// held are the ends whose marks are wanted, those with suspects that stand on others as
// well first: if not all fits the budget, these matter. The others go in any order, so
// that each has its turn.
func (g *Gossip) held(now time.Duration, wanted func(mark uint64) bool) []End {
	all := g.Ledger.Held(now, wanted)
	g.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b End) int { return g.Ledger.weight(b) - g.Ledger.weight(a) })
	return all
}

// weight is on how many ends the most suspect content of an end stands.
func (l *Ledger) weight(e End) int {
	most := 0
	for _, c := range e.Contents {
		most = max(most, l.accused[c.Exact], l.accused[c.Alike])
	}
	return most
}

// tell puts news into messages.
func (g *Gossip) tell(now time.Duration, to string, news News) []Parcel {
	if news.Empty() {
		return nil
	}
	list := parts(news)
	out := make([]Parcel, 0, len(list))
	for _, part := range list {
		out = append(out, Parcel{To: to, Message: Message{News: part, Digest: g.Ledger.Digest()}})
	}
	return g.send(now, out)
}

// parts cuts news into pieces that fit a datagram; there is one at least.
func parts(news News) []News {
	list := []News{{}}
	size := messageBytes
	room := func(bytes int) *News {
		if size+bytes > mostBytes {
			list = append(list, News{})
			size = messageBytes
		}
		size += bytes
		return &list[len(list)-1]
	}
	for _, c := range news.Completions {
		part := room(completionBytes)
		part.Completions = append(part.Completions, c)
	}
	for _, e := range news.Ends {
		for _, piece := range e.pieces() {
			part := room(piece.bytes())
			part.Ends = append(part.Ends, piece)
		}
	}
	return list
}

// pieces cuts an end that is too large for a message.
func (e End) pieces() []End {
	const most = (mostBytes - messageBytes - endBytes) / (contentBytes + pathBytes)
	var list []End
	contents, paths := e.Contents, e.Paths
	for {
		c, p := min(len(contents), most), min(len(paths), most)
		list = append(list, End{ID: e.ID, Age: e.Age, Contents: contents[:c], Paths: paths[:p]})
		contents, paths = contents[c:], paths[p:]
		if len(contents) == 0 && len(paths) == 0 {
			return list
		}
	}
}

func (e End) bytes() int {
	return endBytes + contentBytes*len(e.Contents) + pathBytes*len(e.Paths)
}

func (m Message) bytes() int {
	n := messageBytes + completionBytes*len(m.Completions) + markBytes*len(m.Asked)
	if m.Marks != nil {
		n += markBytes * len(m.Marks.List)
	}
	for _, e := range m.Ends {
		n += e.bytes()
	}
	return n
}

// send lets through what the budget has room for.
func (g *Gossip) send(now time.Duration, parcels []Parcel) []Parcel {
	for i, p := range parcels {
		if !g.budget.Allow(now, p.bytes()) {
			return parcels[:i]
		}
	}
	return parcels
}
