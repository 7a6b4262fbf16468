// Package resources limits what all connections of a process hold together: the memory of requests and
// connections, requests in progress, and connections of each listener. Limits on a single request or
// connection do not bound that: a head of legal size takes many times its length once it is parsed, and
// clients may send any number of them.
//
// What a connection wants to hold is taken before it is allocated, and each connection has a part that
// depends on what is free (core/budget), so that many connections cannot take that of one more.
package resources

import (
	"context"
	"expvar"
	"math"
	"net"
	"sync"

	"cactuspath/core/budget"
)

const (
	// memoryShare is the part of the memory for requests and connections. The rest is for the
	// program, its own state and garbage.
	memoryShare = 0.35
	// reservedShare of the descriptors, and minReserved at least, is for files, listeners and calls
	// between processes.
	reservedShare = 0.07
	minReserved   = 64
	// The shares of the remaining descriptors. A request of a caller takes one more on its way to
	// another node, or to the backend server.
	requestsShare = 0.12
	idleShare     = 0.06
)

// Kind is a kind of listener.
type Kind int

// The kinds of listeners: for callers, for other nodes, of a control replica, and those that the
// backend server, the platform or an operator uses.
const (
	Callers Kind = iota
	Peers
	Control
	Others
)

// connectionShares are the shares of the descriptors for the connections of a listener.
var connectionShares = [...]float64{Callers: 0.35, Peers: 0.2, Control: 0.2, Others: 0.01}

// minConnections is enough for a listener that one process uses, and an operator.
const minConnections = 8

const (
	// ConnectionBytes is the memory of a connection: its goroutine, buffer and records.
	ConnectionBytes = 16 << 10
	// RequestBytes is the memory of a request in progress without its head and bodies.
	RequestBytes = 32 << 10
	// StreamedBodyBytes is the memory of a body that is sent on as it arrives, with its copies on the
	// way.
	StreamedBodyBytes = 64 << 10
	// fieldBytes is the memory of a field besides its bytes, and headFactor how many copies of the
	// bytes of a head exist.
	fieldBytes = 128
	headFactor = 3
)

// HeadBytes returns the memory of a head with the given length in bytes and number of lines.
func HeadBytes(length, lines int) int64 { return headFactor*int64(length) + fieldBytes*int64(lines) }

// Resources are those of a process. They are safe for concurrent use. A nil *Resources, and the accounts
// and requests of one, have no limits.
type Resources struct {
	// connections is how many connections a listener may have open, by kind, and idle is how many
	// connections for requests to other processes are kept open without one.
	connections [len(connectionShares)]int
	idle        int
	// unsent is what the kernel may hold as unsent for connections, in bytes; see limitUnsent.
	unsent int

	// Refused counts, by resource, the requests and connections that got none.
	Refused expvar.Map

	mu               sync.Mutex
	memory, requests budget.Budget
}

// New returns the resources of a process with the given memory in MB and number of descriptors. For
// those that are 0, the figures of the operating system apply.
func New(memoryMB, descriptors int) *Resources {
	if descriptors == 0 {
		descriptors = hostDescriptors()
	}
	available := descriptors - max(minReserved, int(reservedShare*float64(descriptors)))
	share := func(part float64) int { return max(minConnections, int(part*float64(available))) }
	memory := float64(memoryBytes(memoryMB))
	r := &Resources{memory: budget.New(int64(memoryShare * memory)), unsent: int(unsentShare * memory), requests: budget.New(int64(share(requestsShare))), idle: share(idleShare)}
	for kind, part := range connectionShares {
		r.connections[kind] = share(part)
	}
	return r
}

// MaxConnections returns how many connections a listener of a kind may have open.
func (r *Resources) MaxConnections(kind Kind) int {
	if r == nil {
		return math.MaxInt
	}
	return r.connections[kind]
}

// MaxIdle returns how many connections for requests to other processes are kept open without one.
func (r *Resources) MaxIdle() int {
	if r == nil {
		return math.MaxInt
	}
	return r.idle
}

// CountRefused counts a connection that was refused because there were too many.
func (r *Resources) CountRefused() { r.Refused.Add("connections", 1) }

// Vars returns the metrics of the resources by name; docs/operators/metrics.md describes each of them.
func (r *Resources) Vars() map[string]expvar.Var {
	if r == nil {
		return nil
	}
	figure := func(f func() (used, limit int64), limit bool) expvar.Var {
		return expvar.Func(func() any {
			used, most := f()
			if limit {
				return most
			}
			return used
		})
	}
	return map[string]expvar.Var{
		"resources_memory_bytes":       figure(r.MemoryUsed, false),
		"resources_memory_limit_bytes": figure(r.MemoryUsed, true),
		"resources_requests":           figure(r.RequestsInProgress, false),
		"resources_requests_limit":     figure(r.RequestsInProgress, true),
		"resources_refused":            &r.Refused,
	}
}

// MemoryUsed returns the memory that requests and connections have taken, in bytes, and its limit.
func (r *Resources) MemoryUsed() (used, limit int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memory.Used(), r.memory.Total()
}

// RequestsInProgress returns the number of callers' requests in progress, and its limit.
func (r *Resources) RequestsInProgress() (used, limit int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests.Used(), r.requests.Total()
}

// Account is what one connection holds.
type Account struct {
	r                *Resources
	memory, requests budget.Part
	// own is the memory that belongs to the connection itself, not to its requests.
	own int64
}

// NewAccount returns the account of a new connection of a listener that has the given number of others
// open, or nil and false if there is no memory for one. It limits what the kernel holds for the
// connection.
func (r *Resources) NewAccount(c net.Conn, open int) (a *Account, ok bool) {
	if r == nil {
		return nil, true
	}
	a = &Account{r: r}
	if !a.Take(ConnectionBytes) {
		return nil, false
	}
	r.limitUnsent(c, open)
	return a, true
}

// Take takes memory for the connection, in bytes. It returns false if the connection may not have it.
func (a *Account) Take(bytes int64) bool {
	if a == nil {
		return true
	}
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	if !a.memory.Take(&a.r.memory, bytes) {
		a.r.Refused.Add("memory", 1)
		return false
	}
	a.own += bytes
	return true
}

// Return returns memory that was taken before.
func (a *Account) Return(bytes int64) {
	if a == nil {
		return
	}
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	a.returnOwn(bytes)
}

func (a *Account) returnOwn(bytes int64) {
	a.own -= bytes
	a.memory.Return(&a.r.memory, bytes)
}

// Close returns everything that the connection holds. Its requests return their own part.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	a.returnOwn(a.own)
}

// Begin takes what a request needs: its place among the requests in progress, and memory in bytes
// besides RequestBytes. It returns false if the connection may not have it.
func (a *Account) Begin(bytes int64) (q *Request, ok bool) {
	if a == nil {
		return nil, true
	}
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	if !a.requests.Take(&a.r.requests, 1) {
		a.r.Refused.Add("requests", 1)
		return nil, false
	}
	bytes += RequestBytes
	if !a.memory.Take(&a.r.memory, bytes) {
		a.requests.Return(&a.r.requests, 1)
		a.r.Refused.Add("memory", 1)
		return nil, false
	}
	return &Request{account: a, taken: bytes, places: 1}, true
}

// Hold takes memory for a request that has no place among the requests of callers, in bytes. It returns
// false if the connection may not have it.
func (a *Account) Hold(bytes int64) (q *Request, ok bool) {
	if a == nil {
		return nil, true
	}
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	if !a.memory.Take(&a.r.memory, bytes) {
		a.r.Refused.Add("memory", 1)
		return nil, false
	}
	return &Request{account: a, taken: bytes}, true
}

// MayBegin reports whether a request could begin that needs the given memory in bytes.
func (a *Account) MayBegin(bytes int64) bool {
	if a == nil {
		return true
	}
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	return a.requests.MayTake(&a.r.requests, 1) && a.memory.MayTake(&a.r.memory, bytes+RequestBytes)
}

// Request is what one request in progress holds of the account of its connection.
type Request struct {
	account *Account
	// taken is the memory in bytes, places the number of places among the requests of callers.
	taken, places int64
	ended         bool
}

// Take takes more memory for the request, in bytes. It returns false if the connection may not have it.
func (q *Request) Take(bytes int64) bool {
	if q == nil {
		return true
	}
	r := q.account.r
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.ended || !q.account.memory.Take(&r.memory, bytes) {
		return false
	}
	q.taken += bytes
	return true
}

// End returns what the request holds.
func (q *Request) End() {
	if q == nil {
		return
	}
	r := q.account.r
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.ended {
		return
	}
	q.ended = true
	q.account.memory.Return(&r.memory, q.taken)
	q.account.requests.Return(&r.requests, q.places)
}

type requestKey struct{}

// WithRequest returns a context for a request in progress.
func WithRequest(ctx context.Context, q *Request) context.Context {
	return context.WithValue(ctx, requestKey{}, q)
}

// RequestOf returns the request in progress of a context, or nil if it has none.
func RequestOf(ctx context.Context) *Request {
	q, _ := ctx.Value(requestKey{}).(*Request)
	return q
}
