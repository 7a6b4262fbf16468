package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/gate"
	"cactuspath/internal/quarantine"
	"cactuspath/internal/usage"
)

// maxDatagram is the size in bytes of the largest report accepted.
const maxDatagram = 1 << 10

const (
	percent  = 100
	perMille = 1000
)

// reports sends and receives UDP datagrams between nodes: load reports of gates, messages
// about servers that crashed, and messages about the usage of client accounts. No datagram is
// retransmitted, because a later one contains the information of a lost one. It is safe for
// concurrent use.
type reports struct {
	n *Node

	mu sync.RWMutex
	// addresses holds the addresses of the known nodes, by host.
	addresses map[string]peerSocket
	// hosts are the hosts with an address.
	hosts []string
}

// peerSocket is the address of a node, as text and parsed.
type peerSocket struct {
	text    string
	address *net.UDPAddr
}

func newReports(n *Node) *reports {
	return &reports{n: n, addresses: map[string]peerSocket{}}
}

// setPeers stores the addresses of the other nodes and returns their hosts. Only one
// goroutine may call it at a time.
func (r *reports) setPeers(byService map[string][]*apiv1.Entry) (hosts []string) {
	if r.hasPeers(byService) {
		return r.hosts
	}
	addresses := map[string]peerSocket{}
	for _, entries := range byService {
		for _, e := range entries {
			if e.Host == r.n.options.Host {
				continue
			}
			socket := r.addresses[e.Host]
			if socket.text != e.PeerAddress {
				address, err := netip.ParseAddrPort(e.PeerAddress)
				if err != nil {
					continue
				}
				socket = peerSocket{e.PeerAddress, net.UDPAddrFromAddrPort(address)}
			}
			addresses[e.Host] = socket
			hosts = append(hosts, e.Host)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses, r.hosts = addresses, hosts
	return hosts
}

// hasPeers reports whether the other nodes are exactly those that are known, at the same
// addresses. Most changes concern the state of an entry only.
func (r *reports) hasPeers(byService map[string][]*apiv1.Entry) bool {
	others := 0
	for _, entries := range byService {
		for _, e := range entries {
			if e.Host == r.n.options.Host {
				continue
			}
			if r.addresses[e.Host].text != e.PeerAddress {
				return false
			}
			others++
		}
	}
	return others == len(r.hosts)
}

func (r *reports) addressOf(host string) *net.UDPAddr {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.addresses[host].address
}

// sendDatagram sends another node a message about servers that crashed or about the usage
// of client accounts.
func (r *reports) sendDatagram(host string, datagram []byte) {
	if address := r.addressOf(host); address != nil {
		// The error is ignored: the senders repeat what is not answered.
		_, _ = r.n.options.Reports.WriteTo(datagram, address)
	}
}

func (r *reports) send(host string, report gate.Report) {
	address := r.addressOf(host)
	if address == nil {
		return
	}
	l := report.Load
	data, err := proto.Marshal(&apiv1.GateReport{Host: report.Host, Incarnation: report.Incarnation, Sequence: report.Sequence,
		Running: uint32(l.Running), Waiting: uint32(l.Waiting), Slots: uint32(l.Slots), ServiceUs: uint64(l.Service.Microseconds()),
		Draining: l.Draining, Full: l.Full, FailPerMille: uint32(l.FailRatio * perMille), Failing: l.Failing,
		CrowdPercent: uint32(l.Contention * percent), SlowdownPercent: uint32(l.Slowdown * percent), WaitUs: uint64(l.Wait.Microseconds()),
		ColdStarts: uint32(l.ColdStarts), StartsLeft: uint32(l.StartsLeft),
		LinkWaitUs: uint64(l.LinkWait.Microseconds())})
	if err != nil {
		return
	}
	if _, err := r.n.options.Reports.WriteTo(data, address); err == nil {
		r.n.counters.reportsSent.Add(1)
	}
}

// run receives reports until the socket closes.
func (r *reports) run(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, _, err := r.n.options.Reports.ReadFrom(buffer)
		if err != nil {
			return
		}
		if size > 0 && buffer[0] == quarantine.DatagramMarker {
			r.n.quarantine.Receive(buffer[:size])
			continue
		}
		if size > 0 && buffer[0] == usage.DatagramMarker {
			r.n.usage.Receive(buffer[:size])
			continue
		}
		m := &apiv1.GateReport{}
		if proto.Unmarshal(buffer[:size], m) != nil {
			r.n.counters.reportsMalformed.Add(1)
			continue
		}
		r.n.counters.reportsReceived.Add(1)
		if e := r.n.currentEndpoint(); e != nil {
			e.ReceiveReport(decodeReport(m))
		}
	}
}

func decodeReport(m *apiv1.GateReport) gate.Report {
	return gate.Report{Host: m.Host, Incarnation: m.Incarnation, Sequence: m.Sequence, Load: gate.Load{
		Running: int(m.Running), Waiting: int(m.Waiting), Slots: int(m.Slots), Service: time.Duration(m.ServiceUs) * time.Microsecond,
		Draining: m.Draining, Full: m.Full, FailRatio: float64(m.FailPerMille) / perMille, Failing: m.Failing,
		Contention: float64(m.CrowdPercent) / percent, Slowdown: float64(m.SlowdownPercent) / percent, Wait: time.Duration(m.WaitUs) * time.Microsecond,
		ColdStarts: int(m.ColdStarts), StartsLeft: int(m.StartsLeft),
		LinkWait: time.Duration(m.LinkWaitUs) * time.Microsecond}}
}
