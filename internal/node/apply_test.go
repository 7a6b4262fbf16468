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

// status is what a caller of a path is told whose patience is over.
func status(n *Node, path string) int {
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

// A caller is told "no such service" (404) by a node that has just started, for a path
// that the estate has a route for. The node is told of other nodes and of its first
// configuration at the same moment: the one takes the records before there are any,
// the other publishes the revision, and the first then puts its empty table in force,
// since a revision is known. The same way an old table can be put behind a newer one,
// where it stays until the next change.
func TestConfigurationIsNotReplacedByAnOlderOne(t *testing.T) {
	for round := range 400 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			n := alone(t, "")
			var wait sync.WaitGroup
			begin := make(chan struct{})
			for i := range 4 {
				wait.Go(func() {
					<-begin
					for k := 0; n.Revision() < 2; k++ {
						n.takeProvisional([]*apiv1.Entry{{Host: fmt.Sprint("other-", i, "-", k), Service: "pay", PeerAddress: "127.0.0.1:1"}})
					}
				})
			}
			wait.Go(func() {
				<-begin
				time.Sleep(time.Millisecond)
				n.takeDelta(routeDelta(1, "/a/"), true, "test")
				n.takeDelta(routeDelta(2, "/b/"), true, "test")
			})
			early := 0
			wait.Go(func() {
				<-begin
				for n.Revision() == 0 {
				}
				for range 50 {
					if status(n, "/a/x") == http.StatusNotFound && status(n, "/b/x") == http.StatusNotFound {
						early++
					}
				}
			})
			close(begin)
			wait.Wait()
			assert.Assert(t, status(n, "/b/x") != http.StatusNotFound, "the newest route is not in force, an older table is")
			assert.Equal(t, early, 0, "callers were told that neither route exists")
		})
	}
}
