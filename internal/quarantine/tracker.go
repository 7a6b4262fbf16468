// Package quarantine refuses requests with content that repeatedly crashes backend servers.
// It holds a node's ledger of crashes (core/quarantine) and synchronizes it with those of
// other nodes and of control replicas.
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

// Counters count the events of a Tracker.
type Counters struct {
	// Ends counts the crashes of the local backend server, Refused the requests that this
	// node refused because their content is quarantined.
	Ends, Refused expvar.Int
	// MessagesSent counts the datagrams sent to other nodes, Malformed the received messages
	// that could not be decoded.
	MessagesSent, Malformed expvar.Int
}

// Options configure a Tracker.
type Options struct {
	// Host is the host of this node.
	Host string
	// Send sends a datagram to the node of another host. Datagrams may be lost. A Tracker
	// without peers never calls it.
	Send     func(host string, datagram []byte)
	Counters *Counters
}

// Tracker is one node's ledger of backend server crashes, from which it derives which
// contents are quarantined. Safe for concurrent use. A nil Tracker quarantines nothing.
type Tracker struct {
	options Options
	start   time.Time
	// anyQuarantined is set while any content is quarantined. Usually none is, and then requests
	// need not wait for the lock.
	anyQuarantined atomic.Bool

	mu     sync.Mutex
	gossip *quarantine.Gossip
	// storedDigest is the digest of the ledger on disk. It is used by Load and then by Store.
	storedDigest uint64
	// exchangeNow requests an immediate exchange with a control replica.
	exchangeNow chan struct{}
	// loggedKeys are the contents that were logged as quarantined.
	loggedKeys map[quarantine.Key]bool
}

// New returns a Tracker with an empty ledger.
func New(options Options) *Tracker {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Tracker{options: options, start: time.Now(), gossip: quarantine.NewGossip(random, 0), loggedKeys: map[quarantine.Key]bool{}, exchangeNow: make(chan struct{}, 1)}
}

func (t *Tracker) now() time.Duration { return time.Since(t.start) }

// Run periodically compares the ledger with those of other nodes until ctx is done.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(quarantine.CompareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.update(func(now time.Duration) []quarantine.Envelope { return t.gossip.Tick(now) })
		}
	}
}

// update runs a step under the lock and sends the resulting messages.
func (t *Tracker) update(step func(now time.Duration) []quarantine.Envelope) {
	t.mu.Lock()
	now := t.now()
	envelopes := step(now)
	quarantined := t.gossip.Ledger.AllQuarantined(now)
	t.anyQuarantined.Store(len(quarantined) > 0)
	t.logChanges(quarantined)
	t.mu.Unlock()
	for _, p := range envelopes {
		t.options.Counters.MessagesSent.Add(1)
		t.options.Send(p.To, encode(t.options.Host, p.Message))
	}
}

// logChanges logs which contents are newly quarantined and which no longer are; the caller
// holds the lock.
func (t *Tracker) logChanges(quarantined []quarantine.Quarantined) {
	if len(quarantined) == 0 && len(t.loggedKeys) == 0 {
		return
	}
	now := map[quarantine.Key]bool{}
	for _, b := range quarantined {
		now[b.Key] = true
		if !t.loggedKeys[b.Key] {
			klog.InfoS("Content kept away from servers", "host", t.options.Host, "content", b.Key, "ends", b.Crashes, "for", b.Left)
		}
	}
	for key := range t.loggedKeys {
		if !now[key] {
			klog.InfoS("Content no longer kept away", "host", t.options.Host, "content", key)
		}
	}
	t.loggedKeys = now
}

// SetPeers sets the hosts of all other known nodes.
func (t *Tracker) SetPeers(hosts []string) {
	t.update(func(now time.Duration) []quarantine.Envelope { return t.gossip.SetPeers(now, hosts) })
}

// Receive processes a datagram from another node.
func (t *Tracker) Receive(datagram []byte) {
	from, m, err := decode(datagram)
	if err != nil {
		t.options.Counters.Malformed.Add(1)
		return
	}
	t.update(func(now time.Duration) []quarantine.Envelope { return t.gossip.Receive(now, from, m) })
}

// Ended records a crash of the local backend server. Contents are those of the requests that
// were running on it. Paths are those of the running requests with streamed bodies, whose
// content may be unknown.
func (t *Tracker) Ended(contents []quarantine.Content, paths []quarantine.Key) {
	if t == nil {
		return
	}
	t.options.Counters.Ends.Add(1)
	e := quarantine.Crash{ID: quarantine.CrashID(rand.Uint64()), Contents: contents, Paths: paths}
	t.update(func(now time.Duration) []quarantine.Envelope {
		return t.gossip.Broadcast(now, t.gossip.Ledger.RecordCrash(now, e))
	})
	select {
	case t.exchangeNow <- struct{}{}:
	default:
	}
}

// Completed records that the local backend server sent a complete response to a request with
// the content. Such completions can clear the content of suspicion.
func (t *Tracker) Completed(c quarantine.Content) {
	if t == nil || !c.Known() {
		return
	}
	t.mu.Lock()
	news := t.gossip.Ledger.Completed(t.now(), c)
	t.mu.Unlock()
	if !news.Empty() {
		t.update(func(now time.Duration) []quarantine.Envelope { return t.gossip.Broadcast(now, news) })
	}
}

// QuarantinedFor returns for how long requests with the content are still quarantined; 0 if they are
// not.
func (t *Tracker) QuarantinedFor(c quarantine.Content) time.Duration {
	if t == nil || !t.anyQuarantined.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gossip.Ledger.QuarantinedFor(t.now(), c)
}

// Contents returns the number of quarantined contents.
func (t *Tracker) Contents() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.gossip.Ledger.AllQuarantined(t.now()))
}

// Refused counts a request that was refused because its content is quarantined.
func (t *Tracker) Refused() { t.options.Counters.Refused.Add(1) }

// Suspected reports whether a server crashed while running a request with this path whose
// body was streamed.
func (t *Tracker) Suspected(path quarantine.Key) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gossip.Ledger.Suspected(path)
}
