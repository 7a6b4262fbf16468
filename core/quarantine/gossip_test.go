package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet simulates nodes in virtual time that exchange datagrams, some of which are
// lost.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	nodes  map[string]*Gossip
	hosts  []string
	down   map[string]bool
	// cut reports whether datagrams from one host to another are dropped.
	cut   func(from, to string) bool
	loss  float64
	queue queue
	sent  map[string][]time.Duration
	// bytes counts the bytes sent by each host.
	bytes map[string]int
}

// delivery is a message in flight.
type delivery struct {
	at   time.Duration
	from string
	Envelope
}

type queue []delivery

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(size int, loss float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*Gossip{}, down: map[string]bool{}, loss: loss, sent: map[string][]time.Duration{}, bytes: map[string]int{},
		cut: func(string, string) bool { return false }}
	for i := range size {
		f.hosts = append(f.hosts, fmt.Sprint("h", i))
	}
	for _, h := range f.hosts {
		f.startNode(h)
	}
	return f
}

// startNode starts a node that knows the other hosts and has an empty ledger.
func (f *fleet) startNode(host string) {
	g := NewGossip(rand.New(rand.NewPCG(f.random.Uint64(), 0)), f.now)
	var peers []string
	for _, h := range f.hosts {
		if h != host {
			peers = append(peers, h)
		}
	}
	f.nodes[host], f.down[host] = g, false
	f.send(host, g.SetPeers(f.now, peers))
}

func (f *fleet) send(from string, envelopes []Envelope) {
	for _, p := range envelopes {
		f.sent[from] = append(f.sent[from], f.now)
		f.bytes[from] += p.bytes()
		if f.random.Float64() < f.loss || f.cut(from, p.To) {
			continue
		}
		heap.Push(&f.queue, delivery{f.now + time.Duration(1+f.random.IntN(15))*time.Millisecond, from, p})
	}
}

// run advances the virtual time.
func (f *fleet) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := f.now + d; f.now < end; f.now += step {
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			msg := heap.Pop(&f.queue).(delivery)
			if !f.down[msg.To] {
				f.send(msg.To, f.nodes[msg.To].Receive(f.now, msg.from, msg.Message))
			}
		}
		for i, h := range f.hosts {
			if (f.now+time.Duration(i)*step)%CompareInterval == 0 && !f.down[h] {
				f.send(h, f.nodes[h].Tick(f.now))
			}
		}
	}
}

func (f *fleet) crash(host string, contents ...Content) {
	g := f.nodes[host]
	f.send(host, g.Broadcast(f.now, g.Ledger.RecordCrash(f.now, newCrash(contents...))))
}

func (f *fleet) complete(host string, c Content) {
	g := f.nodes[host]
	f.send(host, g.Broadcast(f.now, g.Ledger.Completed(f.now, c)))
}

// admitting returns the running hosts that do not quarantine a content.
func (f *fleet) admitting(c Content) []string {
	var list []string
	for _, h := range f.hosts {
		if !f.down[h] && f.nodes[h].Ledger.QuarantinedFor(f.now, c) == 0 {
			list = append(list, h)
		}
	}
	return list
}

// maxPropagation is the time within which all nodes must know of a quarantine. It is
// below the three seconds that users allow, to leave time for requests that are sent to a
// server just before its node learns of the quarantine.
const maxPropagation = 2 * time.Second

// TestAllNodesLearnInTime guards against nodes that learn too late of a quarantine. A
// fatal request crashes servers at three nodes while a popular request runs on the same
// servers. The fatal request may be retried at any node, so all nodes must quarantine it
// within maxPropagation at every fleet size, despite datagram loss, restarts and
// partitions and without control replicas. No node may quarantine the popular request.
func TestAllNodesLearnInTime(t *testing.T) {
	fatal, popular := get("/fatal"), get("/popular")
	for _, size := range []int{6, 13, 65, 195} {
		for _, c := range []struct {
			desc string
			loss float64
			// before and after run before and after the third crash.
			before, after func(f *fleet)
		}{
			{desc: "undisturbed"},
			{desc: "every third datagram is lost", loss: 0.33},
			{desc: "a third of the nodes restarts after the crashes", after: func(f *fleet) {
				for _, h := range f.hosts[:size/3] {
					f.startNode(h)
				}
			}},
			{desc: "a node was down", before: func(f *fleet) { f.down[f.hosts[size-1]] = true }, after: func(f *fleet) {
				f.run(time.Second)
				f.startNode(f.hosts[size-1])
			}},
			{desc: "a third of the nodes was partitioned", before: func(f *fleet) {
				isolated := map[string]bool{}
				for _, h := range f.hosts[size-size/3:] {
					isolated[h] = true
				}
				f.cut = func(from, to string) bool { return isolated[from] != isolated[to] }
			}, after: func(f *fleet) {
				f.run(5 * time.Second)
				f.cut = func(string, string) bool { return false }
			}},
			{desc: "two halves are connected through one node only", before: func(f *fleet) {
				half := map[string]bool{}
				for _, h := range f.hosts[size/2:] {
					half[h] = true
				}
				bridge := f.hosts[size/2-1]
				f.cut = func(from, to string) bool { return from != bridge && to != bridge && half[from] != half[to] }
			}},
		} {
			t.Run(fmt.Sprint(c.desc, " of ", size), func(t *testing.T) {
				f := newFleet(size, c.loss)
				f.run(startupPeriod)
				for _, h := range f.hosts {
					f.complete(h, popular)
				}
				f.crash(f.hosts[0], fatal, popular)
				f.run(200 * time.Millisecond)
				f.crash(f.hosts[1], popular, fatal)
				f.run(200 * time.Millisecond)
				if c.before != nil {
					c.before(f)
				}
				f.crash(f.hosts[2], fatal, popular)
				if c.after != nil {
					f.run(500 * time.Millisecond)
					c.after(f)
				}
				f.run(maxPropagation)
				assert.DeepEqual(t, f.admitting(fatal), []string(nil))
				assert.Equal(t, len(f.admitting(popular)), size, "nodes that admit the popular request")
			})
		}
	}
}

// TestGossipStaysWithinBudget guards against a node that exceeds its budget in any
// second, and against traffic in a fleet without news.
func TestGossipStaysWithinBudget(t *testing.T) {
	const size = 195
	f := newFleet(size, 0)
	f.run(startupPeriod)
	clear(f.bytes)
	f.run(10 * time.Second)
	for _, h := range f.hosts {
		assert.Assert(t, f.bytes[h] <= 10*messageHeaderBytes, "%s sent %d bytes in ten seconds without news", h, f.bytes[h])
	}
	clear(f.sent)
	for second := range 10 {
		clear(f.bytes)
		for i := range 20 {
			var contents []Content
			for j := range 16 {
				contents = append(contents, get(fmt.Sprint("/", second, "/", i, "/", j)))
			}
			f.crash(f.hosts[f.random.IntN(size)], contents...)
		}
		f.run(time.Second)
		for _, h := range f.hosts {
			assert.Assert(t, f.bytes[h] <= 2*bytesPerSecond, "%s sent %d bytes in a second", h, f.bytes[h])
		}
	}
	for h, at := range f.sent {
		for i := messagesPerSecond; i < len(at); i++ {
			assert.Assert(t, at[i]-at[i-messagesPerSecond] >= time.Second, "%s sent more than %d messages in a second", h, messagesPerSecond)
		}
	}
}

// TestManyCrashesDoNotHideTheFatalRequest guards against a quarantine that is delayed
// by other news. A fifth of a fleet's servers crash at once, each while running 16
// different harmless requests. Three of them also run the same fatal request. The news of
// all crashes exceeds the per-second budget many times over.
func TestManyCrashesDoNotHideTheFatalRequest(t *testing.T) {
	const size = 195
	f := newFleet(size, 0.05)
	f.run(startupPeriod)
	fatal := get("/fatal")
	for i := range size / 5 {
		contents := make([]Content, 0, 17)
		for j := range 16 {
			contents = append(contents, get(fmt.Sprint("/", i, "/", j)))
		}
		if i%13 == 0 {
			contents = append(contents, fatal)
		}
		f.crash(f.hosts[i*5], contents...)
	}
	f.run(maxPropagation)
	assert.DeepEqual(t, f.admitting(fatal), []string(nil))
}

// TestStartedNodeLearnsAtOnce guards against a node that has just started and passes a
// request that crashed three servers to its own server, because the server is up before
// the node's first regular ledger comparison. Such a request is retried again and again.
func TestStartedNodeLearnsAtOnce(t *testing.T) {
	f := newFleet(20, 0)
	fatal := get("/fatal")
	for _, h := range f.hosts[:quarantineThreshold] {
		f.crash(h, fatal)
	}
	f.run(time.Second)
	f.startNode("h19")
	f.run(CompareInterval / 4)
	assert.DeepEqual(t, f.admitting(fatal), []string(nil))
}

// TestUnfoundedSuspicionIsCorrected guards against a lasting quarantine of a popular
// request. A partitioned node sees its server crash three times while running a request
// that other servers complete all the time. Nodes that know of these completions must
// send them to it.
func TestUnfoundedSuspicionIsCorrected(t *testing.T) {
	popular := get("/popular")
	f := newFleet(2, 0)
	f.nodes["h0"].Ledger.Learn(0, News{Completions: []Completion{{Key: popular.Exact}, {Key: popular.Alike}}})
	for range quarantineThreshold {
		f.crash("h1", popular)
	}
	assert.DeepEqual(t, f.admitting(popular), []string{"h0"})
	f.run(time.Second)
	assert.DeepEqual(t, f.admitting(popular), []string{"h0", "h1"})
	assert.Equal(t, f.nodes["h0"].Ledger.Digest(), f.nodes["h1"].Ledger.Digest())
}

// TestNewsIsSplitToFitDatagrams guards against messages that exceed a datagram and
// against news that is lost when it is split.
func TestNewsIsSplitToFitDatagrams(t *testing.T) {
	var news News
	for i := range 3 {
		e := newCrash()
		for j := range 100 {
			e.Contents = append(e.Contents, get(fmt.Sprint(i, j)))
			e.Paths = append(e.Paths, Key(i*100+j+1))
		}
		news.Crashes = append(news.Crashes, e)
		news.Completions = append(news.Completions, Completion{Key: Key(i + 1)})
	}
	whole, again := NewLedger(), NewLedger()
	whole.Learn(0, news)
	for _, part := range splitNews(news) {
		assert.Assert(t, Message{News: part}.bytes() <= maxMessageBytes)
		again.Learn(0, part)
	}
	assert.Equal(t, again.Digest(), whole.Digest())
}
