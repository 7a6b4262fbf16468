package e2e

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/estate"
)

// accountsText is an estate with the service pay, a route /open/ that needs no key, and the
// accounts.
func accountsText(note, accounts string) string {
	return fmt.Sprintf(`// %s
{"institution": "trial", "services": {"pay": {"hosts": ["pay.example"], "slots": 50, "timeout": "20s"}},
 "routes": {"open": {"host": "open.example", "pathPrefix": "/open/", "kind": "safe", "service": "pay", "public": true}},
 "accounts": {%s}}`, note, accounts)
}

// accountText is one account of an estate text.
func accountText(name, key string, perSecond, burst int) string {
	digest := estate.KeyDigest(key)
	return fmt.Sprintf(`%q: {"keyDigests": [%q], "requestsPerSecond": %d, "burst": %d}`, name, hex.EncodeToString(digest[:]), perSecond, burst)
}

// accountServer is a backend server that records what it is told of the accounts.
type accountServer struct {
	*httptest.Server
	mu       sync.Mutex
	arrivals map[string][]time.Time
	keys     atomic.Int64
}

func newAccountServer(t *testing.T) *accountServer {
	s := &accountServer{arrivals: map[string][]time.Time{}}
	s.Server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		account := strings.Join(r.Header["Cactus-Account"], ",")
		s.arrivals[account] = append(s.arrivals[account], time.Now())
		if len(r.Header["Authorization"]) > 0 {
			s.keys.Add(1)
		}
	}))
	t.Cleanup(s.Close)
	return s
}

// most returns the largest number of an account's requests in any span that begins at since
// or later, and their number since then.
func (s *accountServer) most(account string, since time.Time, span time.Duration) (most, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var times []time.Time
	for _, at := range s.arrivals[account] {
		if !at.Before(since) {
			times = append(times, at)
		}
	}
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, len(times)
}

// requestWithKey returns the status of a request with a key.
func (n *nodeProcess) requestWithKey(key string) (int, http.Header) {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.callers+"/", nil)
	if err != nil {
		return 0, nil
	}
	req.Host = "pay.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Cactus-Account", "root")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// TestAccountsKeepToTheirCapsAndKeys guards against an account that runs more requests than
// its cap allows, over all nodes together, after its cap is lowered too; against an account
// within its cap that is refused beside it; against a key that works after it was taken
// away; and against a key or a name of the caller's choice that reaches a backend server.
func TestAccountsKeepToTheirCapsAndKeys(t *testing.T) {
	const span = 2 * time.Second
	allowed := func(perSecond, burst float64) int { return int(1.1*(perSecond*span.Seconds()+burst)) + 20 }
	c := newCluster(t, 1).start()
	nodes := []*nodeProcess{c.addNode(""), c.addNode(""), c.addNode(""), c.addNode("")}
	s := newAccountServer(t)
	c.submit(accountsText("first", accountText("flood", "key-of-flood", 40, 40)+","+accountText("calm", "key-of-calm", 100, 100)))
	announce := func(n *nodeProcess) bool {
		return n.announceServer(fmt.Sprintf(`{"service": "pay", "address": %q, "slots": 50, "sequence": %d}`, s.Listener.Addr(), time.Now().UnixNano()))
	}
	for _, n := range nodes {
		eventually(t, "the node accepts the server", func() bool { return announce(n) })
	}
	renewing := time.NewTicker(time.Second)
	t.Cleanup(renewing.Stop)
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case <-renewing.C:
			}
			for _, n := range nodes {
				announce(n)
			}
		}
	}()
	for _, n := range nodes {
		n.waitEndpoints(t, len(nodes))
	}
	status, header := nodes[0].requestWithKey("unknown")
	assert.Equal(t, status, http.StatusUnauthorized)
	assert.Equal(t, header.Get("Cactus-Fault"), "unknown-key")

	begin := time.Now()
	done := make(chan struct{})
	var running sync.WaitGroup
	var refusedCalm, calm, refusedFlood atomic.Int64
	for _, n := range nodes {
		running.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				if status, _ := n.requestWithKey("key-of-flood"); status == http.StatusTooManyRequests {
					refusedFlood.Add(1)
				}
			}
		})
		running.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				calm.Add(1)
				if status, _ := n.requestWithKey("key-of-calm"); status != http.StatusOK {
					refusedCalm.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * span)
	most, total := s.most("flood", begin, span)
	assert.Assert(t, most <= allowed(40, 40), "%d requests in %s, %d allowed", most, span, allowed(40, 40))
	assert.Assert(t, total >= 40*3, "%d requests of the flood ran, less than its cap", total)
	assert.Assert(t, refusedFlood.Load() > 0)
	assert.Equal(t, refusedCalm.Load(), int64(0), "of %d requests within the cap", calm.Load())

	c.submit(accountsText("lowered", accountText("flood", "key-of-flood", 10, 10)+","+accountText("calm", "new-key-of-calm", 100, 100)))
	lowered := time.Now()
	assert.Equal(t, first(nodes[1].requestWithKey("key-of-calm")), http.StatusUnauthorized)
	assert.Equal(t, first(nodes[2].requestWithKey("new-key-of-calm")), http.StatusOK)
	time.Sleep(2 * span)
	close(done)
	running.Wait()
	most, total = s.most("flood", lowered.Add(span), span)
	assert.Assert(t, most <= allowed(10, 10), "%d requests in %s, %d allowed", most, span, allowed(10, 10))
	assert.Assert(t, total > 0)
	_, forged := s.most("root", begin, span)
	assert.Equal(t, forged, 0)
	assert.Equal(t, s.keys.Load(), int64(0), "requests that reached the backend server with a key")
	for _, n := range nodes {
		assert.Assert(t, !strings.Contains(n.log.String(), "key-of-"), "a key is in the log of %s", n.host)
	}
}

func first(status int, _ http.Header) int { return status }
