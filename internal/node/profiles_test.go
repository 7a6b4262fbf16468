package node

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
	"k8s.io/klog/v2/textlogger"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/core/gate"
	"cactuspath/core/mechanism"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/endpoint"
)

// profileReplica is a control replica that holds each watch of a node that has the
// configuration, and has a profile of the service "pay". It records the watches.
type profileReplica struct {
	apiv1connect.UnimplementedControlServiceHandler

	mu      sync.Mutex
	watches []*apiv1.WatchRequest
	profile *apiv1.ServiceLearned
	// onlyUnheld makes it send the profile only to watches without a hold.
	onlyUnheld bool
}

func (f *profileReplica) Watch(ctx context.Context, req *connect.Request[apiv1.WatchRequest]) (*connect.Response[apiv1.WatchResponse], error) {
	f.mu.Lock()
	f.watches = append(f.watches, req.Msg)
	resp := &apiv1.WatchResponse{}
	if service := req.Msg.Learned.GetService(); req.Msg.WantProfile && (req.Msg.HoldMs == 0 || !f.onlyUnheld) && (service == "pay" || req.Msg.Entry.GetService() == "pay") {
		resp.Profile = f.profile
	}
	f.mu.Unlock()
	if req.Msg.Revision == 0 {
		resp.Delta = routeDelta(1, "/a/")
	} else if resp.Profile == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(req.Msg.HoldMs) * time.Millisecond):
		}
	}
	return connect.NewResponse(resp), nil
}

func (f *profileReplica) seen() []*apiv1.WatchRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*apiv1.WatchRequest{}, f.watches...)
}

func payProfile() *apiv1.ServiceLearned {
	return &apiv1.ServiceLearned{Service: "pay", ContentionPercent: 102, ContentionGates: 5, Classes: []*apiv1.ClassLearned{{Name: "work", DemandUs: 100_000, Samples: 30}}}
}

// profileNode returns a node with the given service in its settings, which watches f until
// the test ends once run is called.
func profileNode(t *testing.T, f *profileReplica, service string) (n *Node, run func()) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewControlServiceHandler(f))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	n = newTestNode(t, "")
	n.options.Service = service
	n.options.Control, n.options.WatchControl, n.options.LearnedProfiles = controlclient.New(nil, []string{s.Listener.Addr().String()}, ""), true, true
	return n, func() {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { n.watcher.run(ctx) })
		running.Go(func() { n.profiles.run(ctx) })
		t.Cleanup(func() {
			cancel()
			running.Wait()
		})
	}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), what)
	}
}

// Requests reach a gate a tenth of a second after its node has its configuration. Guards
// against a profile that comes later: the node must ask for it with its first watch if it
// knows its service, and give it to a gate that is created after the answer.
func TestProfileComesWithTheFirstWatch(t *testing.T) {
	f := &profileReplica{profile: payProfile()}
	n, run := profileNode(t, f, "pay")
	run()
	waitFor(t, "a configuration", func() bool { return n.Revision() > 0 })
	waitFor(t, "a profile", func() bool { return !n.profiles.wants("pay") })
	first := f.seen()[0]
	assert.Assert(t, first.WantProfile)
	assert.Equal(t, first.Learned.Service, "pay", "the entry has no service yet")
	assert.Equal(t, n.profiles.seededGates(), 0)
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	assert.Equal(t, n.profiles.seededGates(), 1)
	assert.Assert(t, n.profiles.seededContention)
}

// Guards against a gate that waits for the end of a hold: the node learns its service from
// the announcement of its backend server, while its watch is held.
func TestProfileIsAskedForWhenTheServerIsAnnounced(t *testing.T) {
	f := &profileReplica{profile: payProfile(), onlyUnheld: true}
	n, run := profileNode(t, f, "")
	run()
	waitFor(t, "a held watch", func() bool { list := f.seen(); return len(list) > 0 && list[len(list)-1].Revision > 0 })
	before := len(f.seen())
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	waitFor(t, "the gate is seeded by a watch without a hold", func() bool { return n.profiles.seededGates() == 1 })
	for _, w := range f.seen()[:before] {
		assert.Assert(t, !w.WantProfile && w.Learned == nil, "no service to ask for")
	}
}

// Guards against endless questions: with a profile, or once the gate has one without a
// contention factor for some time, the node asks no more.
func TestNodeWithAProfileAsksNoMore(t *testing.T) {
	n, _ := profileNode(t, &profileReplica{}, "pay")
	assert.Assert(t, n.profiles.wants("pay"))
	assert.Assert(t, n.profiles.wants("pay"), "no replica has one yet")
	partial := payProfile()
	partial.ContentionPercent, partial.ContentionGates = 0, 0
	n.profiles.receive(partial)
	assert.Assert(t, !n.profiles.wants("pay"), "asked a moment ago")
	n.profiles.askedAt = time.Now().Add(-searchInterval)
	assert.Assert(t, n.profiles.wants("pay"), "another replica may have the contention factor")
	n.profiles.receivedAt, n.profiles.askedAt = time.Now().Add(-2*contentionSearch), time.Time{}
	assert.Assert(t, !n.profiles.wants("pay"))
	n.profiles.receive(payProfile())
	n.profiles.receivedAt = time.Now()
	assert.Assert(t, !n.profiles.wants("pay"))
}

// A profile with a contention factor must reach a gate that was given one without.
func TestGateIsSeededAgainWithTheContentionFactor(t *testing.T) {
	n, _ := profileNode(t, &profileReplica{}, "pay")
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	partial := payProfile()
	partial.ContentionPercent, partial.ContentionGates = 0, 0
	n.profiles.receive(partial)
	assert.Equal(t, n.profiles.seededGates(), 1)
	assert.Assert(t, !n.profiles.seededContention)
	n.profiles.receive(payProfile())
	assert.Assert(t, n.profiles.seededContention)
	n.profiles.receive(partial)
	assert.Assert(t, n.profiles.seededContention && n.profiles.profile.Contention == 1.02)
}

// Guards against a log line that grows with the number of classes of a service.
func TestSeedLogLineNamesTheNumberOfClasses(t *testing.T) {
	var output bytes.Buffer
	klog.SetLogger(textlogger.NewLogger(textlogger.NewConfig(textlogger.Output(&output))))
	defer klog.ClearLogger()
	n, _ := profileNode(t, &profileReplica{}, "pay")
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	n.profiles.receive(payProfile())
	assert.Assert(t, strings.Contains(output.String(), "Gate seeded with the profile of its service"), output.String())
	assert.Assert(t, strings.Contains(output.String(), "classes=1\n"), output.String())
}

// Guards against an old profile: the next server at this node may come much later.
func TestProfileIsForgottenWithTheServer(t *testing.T) {
	n, _ := profileNode(t, &profileReplica{}, "")
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	n.profiles.receive(payProfile())
	n.withdraw("test")
	assert.Assert(t, n.profiles.wants("pay"))
	assert.NilError(t, n.Announce(announcement("i-2", 1, false)))
	assert.Equal(t, n.profiles.seededGates(), 0)
}

// fillLearned returns the fields of the next watch of a replica, which answers it, for a
// gate that has learned the given values.
func fillLearned(n *Node, learned gate.Learned) *apiv1.WatchRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.profiles.learn = func(*endpoint.Endpoint) gate.Learned { return learned }
	req := &apiv1.WatchRequest{}
	n.profiles.fill("replica", req)(&apiv1.WatchResponse{})
	return req
}

// Guards against reports on every watch, and against a replica that never hears of the
// contention factor because it became known just after a report: that is reported at once.
func TestLearnedIsReportedAfterChanges(t *testing.T) {
	n, _ := profileNode(t, &profileReplica{}, "pay")
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	n.profiles.receive(payProfile())
	l := gate.Learned{}
	assert.Assert(t, fillLearned(n, l).Learned == nil, "nothing learned")
	l.Classes = map[string]gate.ClassLearned{"work": {Demand: 100 * time.Millisecond, Samples: 5}}
	assert.Assert(t, fillLearned(n, l).Learned != nil)
	l.Classes = map[string]gate.ClassLearned{"work": {Demand: 200 * time.Millisecond, Samples: 50}}
	assert.Assert(t, fillLearned(n, l).Learned == nil, "too soon")
	l.Contention, l.ContentionGates = 1.5, 3
	assert.Equal(t, fillLearned(n, l).Learned.GetContentionPercent(), uint32(150))
	l.Contention = 2
	assert.Assert(t, fillLearned(n, l).Learned == nil, "too soon")
	r := n.profiles.reported["replica"]
	r.at = r.at.Add(-learnedInterval)
	n.profiles.reported["replica"] = r
	assert.Equal(t, fillLearned(n, l).Learned.GetContentionPercent(), uint32(200))
}

// A report that was lost with its watch must be sent again.
func TestLostReportIsRepeated(t *testing.T) {
	n, _ := profileNode(t, &profileReplica{}, "pay")
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	n.profiles.learn = func(*endpoint.Endpoint) gate.Learned { return gate.Learned{Contention: 1.5, ContentionGates: 3} }
	for range 2 {
		req, _ := n.watcher.buildRequest("replica")
		assert.Equal(t, req.Learned.GetContentionPercent(), uint32(150))
	}
	req, answered := n.watcher.buildRequest("replica")
	answered(&apiv1.WatchResponse{})
	assert.Equal(t, req.Learned.GetContentionPercent(), uint32(150))
	req, _ = n.watcher.buildRequest("replica")
	assert.Equal(t, req.Learned.GetContentionPercent(), uint32(0))
	req, _ = n.watcher.buildRequest("other")
	assert.Equal(t, req.Learned.GetContentionPercent(), uint32(150), "each replica is told")
}

// Where the setting is off or the mechanism is disabled, no field is set and no gate is
// seeded.
func TestNodeWithoutProfilesIsUnchanged(t *testing.T) {
	for _, change := range []func(*Node){
		func(n *Node) { n.options.LearnedProfiles = false },
		func(n *Node) { n.Disable(mechanism.Profile) },
	} {
		n, _ := profileNode(t, &profileReplica{}, "pay")
		change(n)
		assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
		req := fillLearned(n, gate.Learned{Contention: 1.5, ContentionGates: 3})
		assert.Assert(t, req.Learned == nil && !req.WantProfile)
		n.profiles.receive(payProfile())
		assert.Equal(t, n.profiles.seededGates(), 0)
		assert.Equal(t, len(n.profiles.ask), 0)
	}
}
