package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
)

// Guards against an endless loop of probes. A host has taken over the address of a
// former host, and a relay that does not know this yet asks a third node to probe the
// former host at that address. The new host must respond with its own name. If it
// forwarded the probe to the same address, it would call itself until connections and
// memory are used up.
func TestProbeForFormerHostDoesNotLoop(t *testing.T) {
	n := newTestNode(t, "")
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 20 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		n.peerHandler().ServeHTTP(w, r)
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	address := server.Listener.Addr().String()
	client := apiv1connect.NewNodeServiceClient(http.DefaultClient, server.URL)
	resp, err := client.Probe(ctx, connect.NewRequest(&apiv1.ProbeRequest{Host: "former", PeerAddress: address}))
	assert.NilError(t, err)
	assert.Equal(t, resp.Msg.Host, "h")
	assert.Equal(t, calls.Load(), int64(2))
}
