// Package controlclient calls the leader of the control replicas: it tries the known
// addresses in turn, continues with the leader's address when a replica returns it, and
// waits with increasing backoff after all addresses have failed. Nodes, relays and
// cactusctl use it.
package controlclient

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/api/fault"
	"cactuspath/internal/transport"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// attemptTimeout limits how long a call to one replica makes no progress, so that a replica
	// that does not respond leaves time to try others.
	attemptTimeout = 2 * time.Second
)

// ErrUnreachable is returned if no control replica could be reached.
var ErrUnreachable = errors.New("no control replica answered; check the addresses and that a majority of the replicas runs")

// Replica holds the address of one control replica and an RPC client for each of its
// services.
type Replica struct {
	Address string
	Log     apiv1connect.ReplicaServiceClient
	Control apiv1connect.ControlServiceClient
	Command apiv1connect.OperatorCommandServiceClient
	Query   apiv1connect.OperatorQueryServiceClient
}

// Client calls the leader of the control replicas. Safe for concurrent use.
type Client struct {
	security *transport.Security
	// http is shared by the clients of all replicas, since a call to one of them that gets no
	// response makes it close the idle connections to all.
	http      *http.Client
	options   []connect.ClientOption
	addresses []string
	// Traffic counts the bytes exchanged with the replicas.
	Traffic transport.Traffic

	mu sync.Mutex
	// discovered holds the addresses that a replica returned, in addition to the
	// configured ones.
	discovered []string
	leader     string
	replicas   map[string]*Replica
}

// New returns a client for the replicas at addresses. If token is not empty, it is sent
// with every call.
func New(security *transport.Security, addresses []string, token string) *Client {
	c := &Client{security: security, addresses: addresses, replicas: map[string]*Replica{}}
	c.http = security.ControlClient(&c.Traffic)
	c.options = append(c.options, transport.ReadLimit())
	if token != "" {
		c.options = append(c.options, connect.WithInterceptors(bearer(token)))
	}
	return c
}

func bearer(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, req)
		}
	}
}

// Addresses returns the configured addresses.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses
}

// SetAddresses replaces the configured addresses.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
}

// SetDiscovered stores the addresses of all replicas, as returned by one of them. They
// are used in addition to the configured ones, because all configured replicas may have
// been replaced in the meantime.
func (c *Client) SetDiscovered(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discovered = addresses
}

// At returns the clients for the replica at an address, without looking for the leader.
func (c *Client) At(address string) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.replicas[address]; r != nil {
		return r
	}
	url := c.security.URL(address)
	r := &Replica{
		Address: address,
		Log:     apiv1connect.NewReplicaServiceClient(c.http, url, c.options...),
		Control: apiv1connect.NewControlServiceClient(c.http, url, c.options...),
		Command: apiv1connect.NewOperatorCommandServiceClient(c.http, url, c.options...),
		Query:   apiv1connect.NewOperatorQueryServiceClient(c.http, url, c.options...),
	}
	c.replicas[address] = r
	return r
}

// Call runs call with the last known leader. After a retryable error, it tries the
// leader that the response names, if any, and then the other addresses, each once,
// until a call succeeds. If none does, it returns the last error.
func (c *Client) Call(ctx context.Context, call func(context.Context, *Replica) error) error {
	return c.CallAmong(ctx, nil, call)
}

// CallAmong is like Call, but also tries the given addresses.
func (c *Client) CallAmong(ctx context.Context, addresses []string, call func(context.Context, *Replica) error) error {
	tried := map[string]bool{}
	queue := c.candidateAddresses(addresses)
	var lastErr error = ErrUnreachable
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if tried[address] || address == "" {
			continue
		}
		tried[address] = true
		err := c.attempt(ctx, address, call)
		if err == nil {
			c.setLeader(address)
			return nil
		}
		kind, hint := fault.KindOf(err)
		if !retryable(kind) {
			return err
		}
		lastErr = err
		if hint != "" {
			queue = append([]string{hint}, queue...)
		}
		if ctx.Err() != nil {
			break
		}
	}
	c.setLeader("")
	return lastErr
}

// retryable reports whether a call that failed with this kind of error may succeed at
// another replica, or at the same one later.
func retryable(kind fault.Kind) bool {
	return kind == fault.NotLeader || kind == fault.Unavailable
}

func (c *Client) attempt(ctx context.Context, address string, call func(context.Context, *Replica) error) error {
	ctx, cancel := transport.WithStallLimit(ctx, attemptTimeout, attemptTimeout, nil)
	defer cancel()
	return call(ctx, c.At(address))
}

// CallWithRetry repeats Call until it succeeds, fails permanently, or ctx ends. The
// call must be idempotent.
func (c *Client) CallWithRetry(ctx context.Context, call func(context.Context, *Replica) error) error {
	backoff := minBackoff
	for {
		err := c.Call(ctx, call)
		if err == nil {
			return nil
		}
		if kind, _ := fault.KindOf(err); !retryable(kind) && kind != fault.Unknown {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) candidateAddresses(more []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []string{c.leader}
	for _, addresses := range [][]string{c.discovered, c.addresses, more} {
		start := rand.IntN(max(1, len(addresses)))
		for i := range addresses {
			list = append(list, addresses[(start+i)%len(addresses)])
		}
	}
	return list
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}
