// Package quarantine keeps requests away from backend servers under which servers keep
// ending: it holds a node's ledger (core/quarantine) and exchanges it with other nodes'.
package quarantine

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/quarantine"
)

// Counters count what a keeper did.
type Counters struct {
	// Ends of the backend server beside this node, Refused the requests that were kept
	// away here.
	Ends, Refused expvar.Int
	// MessagesSent and Malformed are datagrams.
	MessagesSent, Malformed expvar.Int
}

// Options set up a Keeper.
type Options struct {
	// Host is this node's.
	Host string
	// Send posts a datagram to the node of another host. It may get lost. A keeper that
	// is told of no other nodes sends nothing.
	Send     func(host string, datagram []byte)
	Counters *Counters
}

// Keeper is one node's ledger of servers that ended. Safe for concurrent use. A nil
// Keeper keeps nothing away.
type Keeper struct {
	options Options
	start   time.Time
	// barring: some request is kept away. Most of the time none is, and requests need not
	// wait for the lock.
	barring atomic.Bool

	mu     sync.Mutex
	gossip *quarantine.Gossip
	// stored is the digest of what the disk holds. Load and then Store use it.
	stored uint64
	// ended asks for an exchange with a control replica at once.
	ended chan struct{}
	// told are the contents of which the log has said that they are kept away.
	told map[quarantine.Key]bool
}

// New returns a keeper that has heard nothing yet.
func New(options Options) *Keeper {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Keeper{options: options, start: time.Now(), gossip: quarantine.NewGossip(random, 0), told: map[quarantine.Key]bool{}, ended: make(chan struct{}, 1)}
}

func (k *Keeper) now() time.Duration { return time.Since(k.start) }

// Run compares with other nodes until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(quarantine.CompareEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.with(func(now time.Duration) []quarantine.Parcel { return k.gossip.Tick(now) })
		}
	}
}

// with carries out a step and sends what follows from it.
func (k *Keeper) with(step func(now time.Duration) []quarantine.Parcel) {
	k.mu.Lock()
	now := k.now()
	parcels := step(now)
	barred := k.gossip.Ledger.AllBarred(now)
	k.barring.Store(len(barred) > 0)
	k.tell(barred)
	k.mu.Unlock()
	for _, p := range parcels {
		k.options.Counters.MessagesSent.Add(1)
		k.options.Send(p.To, encode(k.options.Host, p.Message))
	}
}

// tell logs which contents are kept away from now on, and which no longer; the caller
// holds the lock.
func (k *Keeper) tell(barred []quarantine.Barred) {
	if len(barred) == 0 && len(k.told) == 0 {
		return
	}
	now := map[quarantine.Key]bool{}
	for _, b := range barred {
		now[b.Key] = true
		if !k.told[b.Key] {
			klog.InfoS("Content kept away from servers", "host", k.options.Host, "content", b.Key, "ends", b.Ends, "for", b.Left)
		}
	}
	for key := range k.told {
		if !now[key] {
			klog.InfoS("Content no longer kept away", "host", k.options.Host, "content", key)
		}
	}
	k.told = now
}

// SetPeers names the hosts of all other nodes that are known.
func (k *Keeper) SetPeers(hosts []string) {
	k.with(func(now time.Duration) []quarantine.Parcel { return k.gossip.SetPeers(now, hosts) })
}

// Receive takes in a datagram of another node.
func (k *Keeper) Receive(datagram []byte) {
	from, m, err := decode(datagram)
	if err != nil {
		k.options.Counters.Malformed.Add(1)
		return
	}
	k.with(func(now time.Duration) []quarantine.Parcel { return k.gossip.Receive(now, from, m) })
}

// Ended takes in that the backend server beside this node has ended while it ran
// requests with the contents, and others with the paths whose bodies were streamed.
func (k *Keeper) Ended(contents []quarantine.Content, paths []quarantine.Key) {
	if k == nil {
		return
	}
	k.options.Counters.Ends.Add(1)
	e := quarantine.End{ID: quarantine.EndID(rand.Uint64()), Contents: contents, Paths: paths}
	k.with(func(now time.Duration) []quarantine.Parcel {
		return k.gossip.Spread(now, k.gossip.Ledger.Ended(now, e))
	})
	select {
	case k.ended <- struct{}{}:
	default:
	}
}

// Completed takes in that a request was answered in whole by the backend server beside
// this node.
func (k *Keeper) Completed(c quarantine.Content) {
	if k == nil || !c.Known() {
		return
	}
	k.mu.Lock()
	news := k.gossip.Ledger.Completed(k.now(), c)
	k.mu.Unlock()
	if !news.Empty() {
		k.with(func(now time.Duration) []quarantine.Parcel { return k.gossip.Spread(now, news) })
	}
}

// Barred tells for how long requests with the content are kept away from servers; 0 if
// they are not.
func (k *Keeper) Barred(c quarantine.Content) time.Duration {
	if k == nil || !k.barring.Load() {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gossip.Ledger.Barred(k.now(), c)
}

// Contents counts the contents that are kept away.
func (k *Keeper) Contents() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.gossip.Ledger.AllBarred(k.now()))
}

// Refused counts a request that was kept away.
func (k *Keeper) Refused() { k.options.Counters.Refused.Add(1) }

// Suspected tells whether a server ended under a request with this path whose body was
// streamed.
func (k *Keeper) Suspected(path quarantine.Key) bool {
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gossip.Ledger.Suspected(path)
}
