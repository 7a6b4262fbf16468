// Package quarantine keeps requests away from backend servers if servers repeatedly
// terminate while running them. It holds a node's ledger (core/quarantine) and exchanges it
// with those of other nodes.
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

// Counters count the events of a Keeper.
type Counters struct {
	// Ends counts the unexpected ends of the local backend server, Refused the requests that
	// this node refused because of their quarantine.
	Ends, Refused expvar.Int
	// MessagesSent and Malformed count datagrams.
	MessagesSent, Malformed expvar.Int
}

// Options configure a Keeper.
type Options struct {
	// Host is the host of this node.
	Host string
	// Send sends a datagram to the node of another host. Datagrams may be lost. A Keeper without
	// peers sends nothing.
	Send     func(host string, datagram []byte)
	Counters *Counters
}

// Keeper is one node's ledger of terminated backend servers. Safe for concurrent use. A nil
// Keeper quarantines nothing.
type Keeper struct {
	options Options
	start   time.Time
	// anyBarred is set while any content is quarantined. Usually none is, and then requests need
	// not wait for the lock.
	anyBarred atomic.Bool

	mu     sync.Mutex
	gossip *quarantine.Gossip
	// storedDigest is the digest of the ledger on disk. It is used by Load and then by Store.
	storedDigest uint64
	// exchangeNow requests an immediate exchange with a control replica.
	exchangeNow chan struct{}
	// loggedKeys are the contents that were logged as quarantined.
	loggedKeys map[quarantine.Key]bool
}

// New returns a Keeper with an empty ledger.
func New(options Options) *Keeper {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Keeper{options: options, start: time.Now(), gossip: quarantine.NewGossip(random, 0), loggedKeys: map[quarantine.Key]bool{}, exchangeNow: make(chan struct{}, 1)}
}

func (k *Keeper) now() time.Duration { return time.Since(k.start) }

// Run compares the ledger with those of other nodes until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(quarantine.CompareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.update(func(now time.Duration) []quarantine.Envelope { return k.gossip.Tick(now) })
		}
	}
}

// update runs a step under the lock and sends the resulting messages.
func (k *Keeper) update(step func(now time.Duration) []quarantine.Envelope) {
	k.mu.Lock()
	now := k.now()
	parcels := step(now)
	barred := k.gossip.Ledger.AllQuarantined(now)
	k.anyBarred.Store(len(barred) > 0)
	k.logChanges(barred)
	k.mu.Unlock()
	for _, p := range parcels {
		k.options.Counters.MessagesSent.Add(1)
		k.options.Send(p.To, encode(k.options.Host, p.Message))
	}
}

// logChanges logs which contents are newly quarantined and which no longer are; the caller
// holds the lock.
func (k *Keeper) logChanges(barred []quarantine.Quarantined) {
	if len(barred) == 0 && len(k.loggedKeys) == 0 {
		return
	}
	now := map[quarantine.Key]bool{}
	for _, b := range barred {
		now[b.Key] = true
		if !k.loggedKeys[b.Key] {
			klog.InfoS("Content kept away from servers", "host", k.options.Host, "content", b.Key, "ends", b.Crashes, "for", b.Left)
		}
	}
	for key := range k.loggedKeys {
		if !now[key] {
			klog.InfoS("Content no longer kept away", "host", k.options.Host, "content", key)
		}
	}
	k.loggedKeys = now
}

// SetPeers sets the hosts of all other known nodes.
func (k *Keeper) SetPeers(hosts []string) {
	k.update(func(now time.Duration) []quarantine.Envelope { return k.gossip.SetPeers(now, hosts) })
}

// Receive processes a datagram from another node.
func (k *Keeper) Receive(datagram []byte) {
	from, m, err := decode(datagram)
	if err != nil {
		k.options.Counters.Malformed.Add(1)
		return
	}
	k.update(func(now time.Duration) []quarantine.Envelope { return k.gossip.Receive(now, from, m) })
}

// Ended records that the local backend server terminated while it ran requests with the
// contents, and requests with the paths whose bodies were streamed.
func (k *Keeper) Ended(contents []quarantine.Content, paths []quarantine.Key) {
	if k == nil {
		return
	}
	k.options.Counters.Ends.Add(1)
	e := quarantine.Crash{ID: quarantine.CrashID(rand.Uint64()), Contents: contents, Paths: paths}
	k.update(func(now time.Duration) []quarantine.Envelope {
		return k.gossip.Broadcast(now, k.gossip.Ledger.RecordCrash(now, e))
	})
	select {
	case k.exchangeNow <- struct{}{}:
	default:
	}
}

// Completed records that the local backend server responded completely to a request.
func (k *Keeper) Completed(c quarantine.Content) {
	if k == nil || !c.Known() {
		return
	}
	k.mu.Lock()
	news := k.gossip.Ledger.Completed(k.now(), c)
	k.mu.Unlock()
	if !news.Empty() {
		k.update(func(now time.Duration) []quarantine.Envelope { return k.gossip.Broadcast(now, news) })
	}
}

// Barred returns for how long requests with the content are still quarantined; 0 if they are
// not.
func (k *Keeper) Barred(c quarantine.Content) time.Duration {
	if k == nil || !k.anyBarred.Load() {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gossip.Ledger.QuarantinedFor(k.now(), c)
}

// Contents returns the number of quarantined contents.
func (k *Keeper) Contents() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.gossip.Ledger.AllQuarantined(k.now()))
}

// Refused counts a request that was refused because of its quarantine.
func (k *Keeper) Refused() { k.options.Counters.Refused.Add(1) }

// Suspected reports whether a server terminated while running a request with this path whose
// body was streamed.
func (k *Keeper) Suspected(path quarantine.Key) bool {
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gossip.Ledger.Suspected(path)
}
