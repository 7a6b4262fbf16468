package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// requestStatus returns the response status for a path when the caller's context is
// already canceled.
func requestStatus(n *Node, path string) int {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	n.proxy.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil).WithContext(ctx))
	return w.Code
}

func routeDelta(revision uint64, prefix string) *apiv1.EstateDelta {
	return &apiv1.EstateDelta{Since: revision - 1, Revision: revision, Services: []*apiv1.ServiceRecord{{Name: "pay", ChangedAt: 1, Spec: &apiv1.ServiceSpec{}}},
		Routes: []*apiv1.RouteRecord{{Name: "r", ChangedAt: revision, Spec: &apiv1.RouteSpec{PathPrefix: prefix, TimeoutMs: 1000, MaxAttempts: 1,
			Shares: []*apiv1.RouteShare{{Service: "pay", Weight: 1}}}}}}
}

// Guards against replacing a configuration by an older one, so that a node that has
// just started answers 404 "no such service" for a path with a route. The node receives
// entries of other nodes and its first configuration at the same time. One goroutine
// reads the records while they are still empty, another stores the first configuration
// and publishes its revision, and the first one then applies its empty routing table
// because a revision is known. In the same way, an old table can replace a newer one
// and stay until the next change.
func TestConfigurationIsNotReplacedByAnOlderOne(t *testing.T) {
	for round := range 400 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			n := newTestNode(t, "")
			var wait sync.WaitGroup
			begin := make(chan struct{})
			for i := range 4 {
				wait.Go(func() {
					<-begin
					for k := 0; n.Revision() < 2; k++ {
						n.applyProvisional([]*apiv1.Entry{{Host: fmt.Sprint("other-", i, "-", k), Service: "pay", PeerAddress: "127.0.0.1:1"}})
					}
				})
			}
			wait.Go(func() {
				<-begin
				time.Sleep(time.Millisecond)
				n.applyDelta(routeDelta(1, "/a/"), true, "test")
				n.applyDelta(routeDelta(2, "/b/"), true, "test")
			})
			early := 0
			wait.Go(func() {
				<-begin
				for n.Revision() == 0 {
				}
				for range 50 {
					if requestStatus(n, "/a/x") == http.StatusNotFound && requestStatus(n, "/b/x") == http.StatusNotFound {
						early++
					}
				}
			})
			close(begin)
			wait.Wait()
			assert.Assert(t, requestStatus(n, "/b/x") != http.StatusNotFound, "an older routing table replaced the newest one")
			assert.Equal(t, early, 0, "callers got 404 although a route exists")
		})
	}
}

// BenchmarkEntryChangeWithManyRoutes measures what the news of another node costs a node with a
// large configuration.
func BenchmarkEntryChangeWithManyRoutes(b *testing.B) {
	n := newTestNode(b, "")
	delta := routeDelta(1, "/a/")
	for i := range 1500 {
		delta.Routes = append(delta.Routes, &apiv1.RouteRecord{Name: fmt.Sprint("r-", i), ChangedAt: 1, Spec: &apiv1.RouteSpec{PathPrefix: fmt.Sprintf("/p%d/", i), TimeoutMs: 1000, MaxAttempts: 1,
			Shares: []*apiv1.RouteShare{{Service: "pay", Weight: 1}}}})
	}
	n.applyDelta(delta, true, "test")
	for i := range b.N {
		n.applyProvisional([]*apiv1.Entry{{Host: fmt.Sprint("other-", i%10), Service: "pay", PeerAddress: "127.0.0.1:1", Sequence: uint64(i)}})
	}
}
