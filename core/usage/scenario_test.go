package usage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testWindow = 5 * time.Second

// load is the scenario of 72 nodes in three data centres with 78 accounts of very unequal
// size, of which some send many times their usual number of requests for a while.
type load struct {
	caps  map[string]Cap
	names []string
	usual []float64
	// hot holds the factor by which an account exceeds its usual rate between hotFrom and
	// hotTill.
	hot              map[string]float64
	hotFrom, hotTill time.Duration
	// nodesOf restricts an account to a few nodes.
	nodesOf map[string]int
}

func unequalLoad() *load {
	const accounts, total, skew, capFactor = 78, 680.0, 1.2, 1.6
	l := &load{caps: map[string]Cap{}, hot: map[string]float64{}, nodesOf: map[string]int{}, hotFrom: 6 * time.Second, hotTill: 12 * time.Second}
	sum := 0.0
	for i := range accounts {
		sum += math.Pow(float64(i+1), -skew)
	}
	for i := range accounts {
		name := fmt.Sprint("account-", i)
		usual := total * math.Pow(float64(i+1), -skew) / sum
		l.names, l.usual = append(l.names, name), append(l.usual, usual)
		l.caps[name] = Cap{PerSecond: capFactor * usual, Burst: capFactor * usual}
	}
	return l
}

// drive schedules the arrivals. Each is passed to visit with the index of its account and
// of its node. Two thirds of the requests arrive in the second data centre.
func (l *load) drive(random *rand.Rand, nodes int, till time.Duration, visit func(at time.Duration, account, node int)) {
	for i, name := range l.names {
		for at := time.Duration(0); at < till; {
			rate := l.usual[i]
			if at >= l.hotFrom && at < l.hotTill {
				rate *= max(1, l.hot[name])
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			n := nodes
			if few := l.nodesOf[name]; few > 0 {
				n = few
			}
			node := random.IntN(n)
			if random.IntN(3) > 0 {
				node = n/3 + random.IntN(max(1, n/3))
			}
			visit(at, i, node)
		}
	}
}

// result sums up the errors of a design.
type result struct {
	requests, owed, messages int
	// short is the number of requests that a central bucket would have admitted beyond
	// those that were admitted, summed over the accounts that got fewer.
	short int
	// excess is the largest number of requests beyond what a window allows, of any account.
	excess float64
}

func (r result) String() string {
	return fmt.Sprintf("%d requests, %d within the caps, %d too few admitted (%.2f %%), excess %.0f, %d messages", r.requests, r.owed, r.short, 100*float64(r.short)/float64(r.owed), r.excess, r.messages)
}

type decide func(at time.Duration, account, node int) bool

// play runs the load through a design and compares it with a central bucket.
func (l *load) play(seed uint64, nodes int, till time.Duration, prepare func(at time.Duration, node int, run func(now time.Duration)), step func(time.Duration), admit decide) result {
	central := make([]centralBucket, len(l.names))
	for i, name := range l.names {
		central[i] = centralBucket{cap: l.caps[name], level: l.caps[name].Burst}
	}
	times, owedOf := make([][]time.Duration, len(l.names)), make([]int, len(l.names))
	r := result{excess: -1e9}
	l.drive(rand.New(rand.NewPCG(seed, 2)), nodes, till, func(at time.Duration, account, node int) {
		prepare(at, node, func(now time.Duration) {
			r.requests++
			owed := central[account].take(now)
			admitted := admit(now, account, node)
			if admitted {
				times[account] = append(times[account], now)
			}
			if owed {
				r.owed++
				owedOf[account]++
			}
		})
	})
	step(till)
	for i, name := range l.names {
		r.short += max(0, owedOf[i]-len(times[i]))
		r.excess = max(r.excess, float64(maxWindow(times[i], testWindow))-allowed(l.caps[name], testWindow))
	}
	return r
}

func (l *load) playKeepers(seed uint64, change func(*fleet)) result {
	f := newFleet(seed, []int{25, 25, 22}, l.caps)
	f.loss = 0.002
	if change != nil {
		change(f)
	}
	r := l.play(seed, len(f.nodes), 20*time.Second, f.arrive, f.runUntil, func(_ time.Duration, account, node int) bool {
		return f.request(f.nodes[node], l.names[account])
	})
	r.messages = f.messages
	return r
}

// playShares runs the load with an even share of each cap on each node.
func (l *load) playShares(seed uint64) result {
	shares := map[string]shareBuckets{}
	for _, name := range l.names {
		shares[name] = newShareBuckets(l.caps[name], 72)
	}
	f := newFleet(seed, nil, nil)
	return l.play(seed, 72, 20*time.Second, f.arrive, f.runUntil, func(at time.Duration, account, node int) bool {
		return shares[l.names[account]][node].take(at)
	})
}

// playOwner runs the load with one owner of each cap, which lends nodes tokens for a second;
// a request without tokens asks for a loan and is refused. Owners on the nodes that are down
// lend nothing between 8 and 11 s.
func (l *load) playOwner(seed uint64, down func(node int) bool) result {
	const nodes, loanTime = 72, time.Second
	type loan struct {
		tokens float64
		till   time.Duration
	}
	owners, loans := map[int]*centralBucket{}, map[[2]int]*loan{}
	f := newFleet(seed, nil, nil)
	messages := 0
	r := l.play(seed, nodes, 20*time.Second, f.arrive, f.runUntil, func(at time.Duration, account, node int) bool {
		c := l.caps[l.names[account]]
		owner, held := owners[account], loans[[2]int{account, node}]
		if owner == nil {
			owner = &centralBucket{cap: c, level: c.Burst}
			owners[account] = owner
		}
		if held == nil {
			held = &loan{}
			loans[[2]int{account, node}] = held
		}
		if held.tokens >= 1 && at < held.till {
			held.tokens--
			return true
		}
		messages += 2
		if at > 8*time.Second && at < 11*time.Second && down(account%nodes) {
			return false
		}
		held.tokens, held.till = 0, at+loanTime
		for range int(math.Ceil(c.PerSecond / nodes * loanTime.Seconds())) {
			if owner.take(at) {
				held.tokens++
			}
		}
		return false
	})
	r.messages = messages
	return r
}

// Guards against refusing accounts below their caps, as even shares do: an account whose
// few requests arrive at changing nodes finds no token at most of them.
func TestUnequalAccountsBelowTheirCaps(t *testing.T) {
	l := unequalLoad()
	keepers, shares := l.playKeepers(1, nil), l.playShares(1)
	t.Log("keepers:    ", keepers)
	t.Log("even shares:", shares)
	t.Log("one owner:  ", l.playOwner(1, func(int) bool { return false }))
	t.Log("the same, a sixth of the owners away for 3 s:", l.playOwner(1, func(node int) bool { return node%6 == 0 }))
	assert.Assert(t, keepers.excess <= 0)
	assert.Assert(t, float64(keepers.short) <= 0.002*float64(keepers.owed), "%v", keepers)
	assert.Assert(t, shares.short > 10*keepers.short)
}

// Guards against two failures of one load, accounts that send many times their usual
// number of requests: running more than the caps allow, and refusing what is below them.
func TestHotAccountsAreHeldToTheirCaps(t *testing.T) {
	for _, hot := range [][]int{{0}, {3}, {20, 40}, {77}, {0, 1, 5}} {
		t.Run(fmt.Sprint(hot), func(t *testing.T) {
			l := unequalLoad()
			for _, i := range hot {
				l.hot[l.names[i]] = 9
			}
			r := l.playKeepers(2, nil)
			t.Log("keepers:    ", r)
			t.Log("even shares:", l.playShares(2))
			assert.Assert(t, r.excess <= 0, "%v", r)
			assert.Assert(t, float64(r.short) <= 0.05*float64(r.owed), "%v", r)
		})
	}
}

// Guards against exceeding a cap while two data centres cannot reach each other but a third
// reaches both: each side must spend its own portion only.
func TestCapHoldsAcrossCuts(t *testing.T) {
	l := unequalLoad()
	for _, i := range []int{0, 2, 10} {
		l.hot[l.names[i]] = 9
	}
	r := l.playKeepers(3, func(f *fleet) {
		f.cut = func(from, to string) bool {
			between := from[:3] == "dc0" && to[:3] == "dc1" || from[:3] == "dc1" && to[:3] == "dc0"
			return between && f.now > 5*time.Second && f.now < 11*time.Second
		}
	})
	t.Log(r)
	assert.Assert(t, r.excess <= 0, "%v", r)
}

// Guards against restarts that multiply a cap: every keeper that starts again would begin
// with a full burst.
func TestCapHoldsWhileNodesRestart(t *testing.T) {
	l := unequalLoad()
	l.hot[l.names[0]], l.hot[l.names[4]] = 9, 9
	r := l.playKeepers(4, func(f *fleet) {
		for i, n := range f.nodes {
			if i%4 == 0 {
				f.at(8*time.Second, func() { n.down = true })
				f.at(9*time.Second, n.start)
			}
		}
	})
	t.Log(r)
	assert.Assert(t, r.excess <= 0, "%v", r)
}

// Guards against a lowered cap that binds late: nodes must not go on with tokens of the
// old one for longer than a window.
func TestLoweredCapBindsWithinAWindow(t *testing.T) {
	const account, changeAt = "club", 10 * time.Second
	lowered := Cap{PerSecond: 20, Burst: 20}
	f := newFleet(5, []int{24, 24, 24}, map[string]Cap{account: {PerSecond: 200, Burst: 200}})
	random := rand.New(rand.NewPCG(5, 5))
	for at := time.Duration(0); at < 30*time.Second; at += time.Duration(random.ExpFloat64() * float64(5*time.Millisecond)) {
		node := f.nodes[random.IntN(len(f.nodes))]
		f.at(at, func() { f.request(node, account) })
	}
	f.at(changeAt, func() { f.setCaps(map[string]Cap{account: lowered}) })
	f.runUntil(30 * time.Second)
	var after []time.Duration
	for _, at := range f.admitted[account] {
		if at > changeAt+2*time.Second {
			after = append(after, at)
		}
	}
	assert.Assert(t, float64(maxWindow(after, testWindow)) <= allowed(lowered, testWindow), "%d", maxWindow(after, testWindow))
	assert.Assert(t, len(after) > int(0.9*18*lowered.PerSecond), "the account got %d requests, less than its cap", len(after))
}

// Guards against cut-off nodes that together exceed a cap beside the keepers that the others
// reach.
func TestCapHoldsWhileNodesAreCutOff(t *testing.T) {
	l := unequalLoad()
	for _, i := range []int{0, 3, 30} {
		l.hot[l.names[i]] = 9
	}
	r := l.playKeepers(6, func(f *fleet) {
		cutOff := map[string]bool{}
		for i, n := range f.nodes {
			cutOff[n.host] = i%3 == 0
		}
		f.cut = func(from, to string) bool { return (cutOff[from] || cutOff[to]) && f.now > 5*time.Second }
	})
	t.Log(r)
	assert.Assert(t, r.excess <= 0, "%v", r)
}
