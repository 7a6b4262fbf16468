package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/internal/endpoint"
)

// listenFrozen starts a listener that accepts connections and sends nothing, like a frozen
// host. It keeps references to the connections, since the garbage collector closes
// unreferenced ones and a frozen host closes none.
func listenFrozen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var kept []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			kept = append(kept, c)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
		for _, c := range kept {
			_ = c.Close()
		}
	})
	return l.Addr().String()
}

// Guards against waiting for a frozen host, and against repeating a payment. If one of
// two hosts freezes, a read sent to it must be answered by the other long before its
// deadline. A payment may have run on the frozen host: it waits until its deadline and is
// never sent again.
func TestFrozenHostIsHedgedForReadsAndAwaitedForPayments(t *testing.T) {
	var ran atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		_, _ = w.Write([]byte("there"))
	}))
	defer backend.Close()
	e := endpoint.New(endpoint.Options{Host: "good", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {},
		SendReport: func(string, gate.Report) {}, Counters: endpoint.NewCounters()}, gate.Config{Slots: 10, Queue: 10})
	defer e.Close()
	e.SetBackend(backend.Listener.Addr().String())
	good := httptest.NewServer(http.HandlerFunc(e.ServeHop))
	defer good.Close()
	goodAddress, frozenAddress := good.Listener.Addr().String(), listenFrozen(t)
	h := New(Options{Host: "front", Local: noLocal{}, Counters: NewCounters(), ObserveRevision: func(uint64) {}, Revision: func() uint64 { return 1 },
		Subscribe:       func(string) {},
		DiscoverService: func(context.Context, string) error { return nil },
		ProbePeer:       func(_ context.Context, address string) bool { return address == goodAddress },
		Revoke: func(context.Context, string, uint64, gate.AttemptID, time.Duration) gate.RevokeAnswer {
			return gate.RevokeUnknown
		}})
	h.Configure([]*apiv1.ServiceRecord{{Name: "pay", Spec: &apiv1.ServiceSpec{Hosts: []string{"pay.example"}, Slots: 4, TimeoutMs: 2000, MaxAttempts: 2, RetryPerMille: 100,
		IdempotentMethods: []string{"GET"}}}}, nil, nil)
	candidate := func(host, address string) balancer.Candidate {
		return balancer.Candidate{Host: host, PeerAddress: address, Incarnation: 1, Slots: 4}
	}
	sendRequest := func(method string) (int, time.Duration) {
		// Only the frozen host is known when the endpoint is picked.
		h.Update(map[string][]balancer.Candidate{"pay": {candidate("frozen", frozenAddress)}})
		time.AfterFunc(50*time.Millisecond, func() {
			h.Update(map[string][]balancer.Candidate{"pay": {candidate("frozen", frozenAddress), candidate("good", goodAddress)}})
		})
		w := httptest.NewRecorder()
		start := time.Now()
		h.ServeHTTP(w, httptest.NewRequest(method, "http://pay.example/", nil))
		return w.Code, time.Since(start)
	}
	status, took := sendRequest(http.MethodGet)
	assert.Equal(t, status, 200)
	assert.Assert(t, took < 1100*time.Millisecond, "took %v", took)
	status, took = sendRequest(http.MethodPost)
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Assert(t, took >= 2000*time.Millisecond-maxDeliveryReserve, "a payment was given up after %v", took)
	assert.Equal(t, ran.Load(), int64(1))
}
