package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
	"cactuspath/internal/testnet"
)

// Guards against requests that are lost one after the other in the pool of connections to a
// host: all have fallen silent, but new ones work. Once one was found to be silent, requests
// must not be sent on others of that time.
func TestOnlyOneRequestIsLostToConnectionsThatFellSilent(t *testing.T) {
	const (
		idle = 6
		// A request that is lost waits for its deadline of a second.
		maxResponseTime = 500 * time.Millisecond
	)
	var network testnet.Silencer
	var together sync.WaitGroup
	node := newUnstartedFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if r.URL.Path == "/together" {
			// Each of the requests needs a connection of its own.
			together.Done()
			together.Wait()
		}
		writeReply(w, req, hop.Reply{})
	})
	node.Listener = network.Listen(node.Listener)
	node.Start()
	h := newTestHandler(gate.RevokeUnknown, node.Listener.Addr().String())
	var probes atomic.Int64
	h.options.ProbePeer = func(context.Context, string) bool { return probes.Add(1) > 1 }
	get := func(path string) (status int, took time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		w := httptest.NewRecorder()
		start := time.Now()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://pay.example"+path, nil).WithContext(ctx))
		return w.Code, time.Since(start)
	}
	together.Add(idle)
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() { get("/together") })
	}
	calls.Wait()
	network.Silence()
	get("/lost")
	for range idle {
		status, took := get("/")
		assert.Check(t, status == http.StatusOK && took < maxResponseTime, "status %d after %v", status, took)
	}
}
