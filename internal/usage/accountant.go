// Package usage drives core/usage at a node: it decides on requests of client accounts and
// exchanges datagrams with the keepers of their usage caps.
package usage

import (
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cactuspath/core/mechanism"
	"cactuspath/core/usage"
)

// Options configure an Accountant.
type Options struct {
	Host, DataCenter string
	Tolerance        usage.Tolerance
	// Send sends a datagram to the node on another host.
	Send     func(host string, datagram []byte)
	Counters *Counters
}

// Counters holds the metrics of usage caps.
type Counters struct {
	MessagesSent, MessagesReceived, Malformed expvar.Int
}

// Accountant enforces the usage caps of client accounts at this node. It is safe for
// concurrent use.
type Accountant struct {
	options Options
	start   time.Time
	// process distinguishes this process from earlier ones of the node.
	process uint64

	mu      sync.Mutex
	spender *usage.Spender
	keeper  *usage.Keeper
	members []usage.Member
	hasCaps bool
	timer   *time.Timer
	flushAt time.Duration
	closed  bool
}

// New returns an Accountant without any accounts.
func New(options Options) *Accountant {
	a := &Accountant{options: options, start: time.Now(), process: rand.Uint64()}
	a.spender = usage.NewSpender(options.DataCenter, options.Tolerance)
	a.keeper = usage.NewKeeper(options.Host, options.DataCenter, options.Tolerance, 0)
	return a
}

func (a *Accountant) now() time.Duration { return time.Since(a.start) }

// SetDisabled replaces the set of disabled mechanisms.
func (a *Accountant) SetDisabled(disabled mechanism.Set) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spender.SetDisabled(disabled)
	a.keeper.SetDisabled(disabled)
}

// Leases returns the number of leases that the keeper at this node has given or added tokens
// to.
func (a *Accountant) Leases() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keeper.Leases()
}

// Close stops the timer.
func (a *Accountant) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

// SetCaps replaces the usage caps by account.
func (a *Accountant) SetCaps(caps map[string]usage.Cap) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hasCaps = len(caps) > 0
	a.spender.SetCaps(caps)
	a.keeper.SetCaps(caps)
}

// HasCaps reports whether any account has a usage cap.
func (a *Accountant) HasCaps() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasCaps
}

// SetMembers replaces the nodes that may be keepers, sorted by host.
func (a *Accountant) SetMembers(members []usage.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Equal(a.members, members) {
		return
	}
	a.members = members
	a.spender.SetMembers(members)
	a.keeper.SetMembers(a.now(), members)
}

// Admit decides on a request of an account and charges it if it is admitted.
func (a *Accountant) Admit(account string) usage.Decision {
	a.mu.Lock()
	now := a.now()
	d := a.spender.Admit(now, account)
	out := a.flush(now)
	a.mu.Unlock()
	a.send(out)
	return d
}

// Refund gives back the charge for a request that was admitted but did not run. It is
// reported with the next request or by the timer.
func (a *Accountant) Refund(account, keeper string) {
	a.mu.Lock()
	now := a.now()
	a.spender.Refund(account, keeper)
	out := a.flush(now)
	a.mu.Unlock()
	a.send(out)
}

// datagram is an encoded message and the host that it is for.
type datagram struct {
	to   string
	data []byte
}

// flush encodes the reports that are due and sets the timer for the next ones. The caller
// holds the lock.
func (a *Accountant) flush(now time.Duration) []datagram {
	envelopes, next, ok := a.spender.Flush(now)
	out := a.route(now, envelopes)
	if ok && !a.closed {
		a.scheduleFlush(now, next)
	}
	return out
}

// scheduleFlush sets the timer unless it fires earlier. The caller holds the lock.
func (a *Accountant) scheduleFlush(now, at time.Duration) {
	if a.flushAt > now && a.flushAt <= at {
		return
	}
	a.flushAt = at
	if a.timer == nil {
		a.timer = time.AfterFunc(at-now, a.tick)
		return
	}
	a.timer.Reset(at - now)
}

func (a *Accountant) tick() {
	a.mu.Lock()
	a.flushAt = 0
	out := a.flush(a.now())
	a.mu.Unlock()
	a.send(out)
}

// route encodes the envelopes for other hosts and handles those for this one. The caller
// holds the lock.
func (a *Accountant) route(now time.Duration, envelopes []usage.Envelope) []datagram {
	var out []datagram
	for len(envelopes) > 0 {
		e := envelopes[0]
		envelopes = envelopes[1:]
		if e.To == a.options.Host {
			envelopes = append(envelopes, a.handle(now, a.options.Host, a.process, e.Message)...)
			continue
		}
		for _, data := range encode(a.options.Host, a.process, e.Message) {
			out = append(out, datagram{e.To, data})
		}
	}
	return out
}

// handle applies a message of a node and returns the messages to send. The caller holds the
// lock.
func (a *Accountant) handle(now time.Duration, from string, process uint64, m usage.Message) []usage.Envelope {
	var out []usage.Envelope
	for _, r := range m.Reports {
		out = append(out, a.keeper.HandleReport(now, from, process, r)...)
	}
	for _, t := range m.Transfers {
		out = append(out, a.keeper.HandleTransfer(now, from, t)...)
	}
	for _, g := range m.Grants {
		a.spender.HandleGrant(now, from, g)
	}
	return out
}

// Receive applies a datagram of another node.
func (a *Accountant) Receive(data []byte) {
	from, process, message, err := decode(data, a.process)
	if err != nil {
		a.options.Counters.Malformed.Add(1)
		return
	}
	a.options.Counters.MessagesReceived.Add(1)
	a.mu.Lock()
	now := a.now()
	out := a.route(now, a.handle(now, from, process, message))
	out = append(out, a.flush(now)...)
	a.mu.Unlock()
	a.send(out)
}

func (a *Accountant) send(out []datagram) {
	for _, d := range out {
		a.options.Counters.MessagesSent.Add(1)
		a.options.Send(d.to, d.data)
	}
}
