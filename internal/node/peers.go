package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/api/fault"
	"cactuspath/core/gate"
	"cactuspath/internal/endpoint"
	"cactuspath/internal/hop"
	"cactuspath/internal/resources"
	"cactuspath/internal/transport"
)

// maxPeerClients limits the clients that are cached: addresses come from other processes, and are used
// again as hosts come and go.
const maxPeerClients = 4096

// peerClients caches one RPC client for control calls per peer address. It is safe for
// concurrent use.
type peerClients struct {
	security *transport.Security
	client   *http.Client
	traffic  *transport.Traffic

	mu      sync.Mutex
	clients map[string]apiv1connect.NodeServiceClient
}

func newPeerClients(security *transport.Security) *peerClients {
	traffic := &transport.Traffic{}
	return &peerClients{security: security, client: security.ControlClient(traffic), traffic: traffic, clients: map[string]apiv1connect.NodeServiceClient{}}
}

func (p *peerClients) at(address string) apiv1connect.NodeServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		if len(p.clients) >= maxPeerClients {
			clear(p.clients)
		}
		c = apiv1connect.NewNodeServiceClient(p.client, p.security.URL(address), transport.ReadLimit())
		p.clients[address] = c
	}
	return c
}

// peerHandler serves other nodes: requests for the backend server, and control calls.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	path, control := apiv1connect.NewNodeServiceHandler(nodeService{n}, transport.Uncompressed(), transport.ReadLimit())
	mux.Handle(path, resources.HoldBodies(transport.OmitUnneededHeaders(control)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, isHop := r.Header[hop.Header]; !isHop {
			mux.ServeHTTP(w, r)
			return
		}
		n.serveHop(w, r)
	})
}

func (n *Node) serveHop(w http.ResponseWriter, r *http.Request) {
	held, ok := resources.AccountOf(r.Context()).Hold(resources.RequestBytes + hopBodyBytes(r))
	if !ok {
		endpoint.RefuseUnadmitted(w, r, gate.Overloaded, n.incarnation.Load(), n.Revision())
		return
	}
	defer held.End()
	r = r.WithContext(resources.WithRequest(r.Context(), held))
	service := r.Header.Get(hop.ServiceHeader)
	if e := n.Endpoint(service); e != nil {
		e.ServeHop(w, r)
		return
	}
	// The backend server was withdrawn after the sender read its entry.
	endpoint.RefuseUnadmitted(w, r, gate.Draining, n.incarnation.Load(), n.Revision())
}

// hopBodyBytes returns the memory that the body of a request of another node may need.
func hopBodyBytes(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return resources.StreamedBodyBytes
	}
	return min(r.ContentLength, resources.StreamedBodyBytes)
}

// nodeService implements apiv1connect.NodeServiceHandler.
type nodeService struct{ n *Node }

// Sync handles a node's heartbeat if this node is a relay.
func (s nodeService) Sync(ctx context.Context, req *connect.Request[apiv1.NodeSyncRequest]) (*connect.Response[apiv1.NodeSyncResponse], error) {
	if req.Msg.Report == nil {
		return nil, fault.New(fault.Invalid, errNotRelay)
	}
	return connect.NewResponse(s.n.relay.sync(ctx, req.Msg)), nil
}

// Exchange handles an exchange with another relay.
func (s nodeService) Exchange(ctx context.Context, req *connect.Request[apiv1.ExchangeRequest]) (*connect.Response[apiv1.ExchangeResponse], error) {
	resp, err := s.n.relay.exchange(ctx, req.Msg)
	if err != nil {
		return nil, fault.New(fault.Unavailable, err)
	}
	return connect.NewResponse(resp), nil
}

// Probe responds if the request names this node, and otherwise probes the named node on
// behalf of the relay that sent the request. A probe is forwarded only once. Without
// this limit, a probe of a host whose address another host has taken over would be
// forwarded by that host to itself forever and use up all connections.
func (s nodeService) Probe(ctx context.Context, req *connect.Request[apiv1.ProbeRequest]) (*connect.Response[apiv1.ProbeResponse], error) {
	n := s.n
	if req.Msg.Host != n.options.Host && !req.Msg.Direct {
		direct := &apiv1.ProbeRequest{Host: req.Msg.Host, PeerAddress: req.Msg.PeerAddress, Direct: true}
		return n.peers.at(req.Msg.PeerAddress).Probe(ctx, connect.NewRequest(direct))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return connect.NewResponse(&apiv1.ProbeResponse{Host: n.options.Host, Incarnation: n.incarnation.Load(), Sequence: n.sequence}), nil
}

// Revoke reports whether an attempt whose response was lost was started on the backend
// server, and cancels it if it was not. If this process has no gate or is not the one
// that received the attempt, the answer is that this is unknown.
func (s nodeService) Revoke(_ context.Context, req *connect.Request[apiv1.RevokeRequest]) (*connect.Response[apiv1.RevokeResponse], error) {
	m := req.Msg
	e := s.n.currentEndpoint()
	answer := gate.RevokeUnknown
	if e != nil && m.Incarnation == s.n.incarnation.Load() {
		id := gate.AttemptID{Request: [2]uint64{m.RequestHigh, m.RequestLow}, Attempt: m.Attempt}
		answer = e.Revoke(id, time.Duration(m.SentAgoUs)*time.Microsecond)
	}
	return connect.NewResponse(&apiv1.RevokeResponse{Answer: apiv1.RevokeAnswer(answer)}), nil
}

// alive reports whether the node at an address responds to a probe.
func (n *Node) alive(ctx context.Context, peerAddress string) bool {
	_, err := n.peers.at(peerAddress).Probe(ctx, connect.NewRequest(&apiv1.ProbeRequest{Host: n.options.Host, PeerAddress: peerAddress, Direct: true}))
	return err == nil
}

// revoke asks the node at an address whether it started an attempt that was sent to it
// sentAgo.
func (n *Node) revoke(ctx context.Context, peerAddress string, incarnation uint64, id gate.AttemptID, sentAgo time.Duration) gate.RevokeAnswer {
	resp, err := n.peers.at(peerAddress).Revoke(ctx, connect.NewRequest(&apiv1.RevokeRequest{
		RequestHigh: id.Request[0], RequestLow: id.Request[1], Attempt: id.Attempt, Incarnation: incarnation, SentAgoUs: uint64(sentAgo.Microseconds())}))
	if err != nil {
		return gate.RevokeUnknown
	}
	return gate.RevokeAnswer(resp.Msg.Answer)
}
