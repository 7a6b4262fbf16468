package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/internal/endpoint"
	"cactuspath/internal/hop"
)

// BenchmarkCall measures the allocations of one call through the caller's node, the
// endpoint's node with its gate, and the backend server, including net/http, all in one
// process. The baseline calls the backend server directly.
//
//	go test ./internal/proxy -run '^$' -bench Call
func BenchmarkCall(b *testing.B) {
	backend := startServer(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	e := endpoint.New(endpoint.Options{Host: "a", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {},
		SendReport: func(string, gate.Report) {}, Counters: endpoint.NewCounters()}, gate.Config{Slots: 100, Queue: 100})
	e.SetBackend(backend)
	peer := startServer(b, http.HandlerFunc(e.ServeHop))
	h := New(Options{Host: "front", Local: noLocal{}, Counters: NewCounters(), ObserveRevision: func(uint64) {}, Revision: func() uint64 { return 1 },
		Subscribe:       func(string) {},
		DiscoverService: func(context.Context, string) error { return nil }})
	h.Configure([]*apiv1.ServiceRecord{{Name: "pay", Spec: &apiv1.ServiceSpec{Hosts: []string{"pay.example"}, Slots: 100, TimeoutMs: 5000, MaxAttempts: 3}}}, nil, nil)
	h.Update(map[string][]balancer.Candidate{"pay": {{Host: "a", PeerAddress: peer, Incarnation: 1, Slots: 100}}})
	for _, target := range []struct{ name, address string }{{"direct", backend}, {"two-nodes", startServer(b, h)}} {
		b.Run(target.name, func(b *testing.B) {
			pool := hop.NewPool(target.address, nil)
			defer pool.Close()
			b.ReportAllocs()
			for b.Loop() {
				resp, err := pool.Do(context.Background(), &hop.Outgoing{Method: "GET", URI: "/", Host: "pay.example", Deadline: time.Now().Add(time.Minute)})
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}

func startServer(b *testing.B, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}
