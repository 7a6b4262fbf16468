package node

import (
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/gate"
)

// sentReport returns the datagram that a node sends for a load report.
func sentReport(t *testing.T, report gate.Report) []byte {
	t.Helper()
	to, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer to.Close()
	from, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer from.Close()
	n := &Node{options: Options{Host: "self", Reports: from}}
	r := newReports(n)
	r.setPeers(map[string][]*apiv1.Entry{"pay": {{Host: "other", PeerAddress: to.LocalAddr().String()}}})
	r.send("other", report)
	buffer := make([]byte, maxDatagram)
	assert.NilError(t, to.SetReadDeadline(time.Now().Add(10*time.Second)))
	size, _, err := to.ReadFrom(buffer)
	assert.NilError(t, err)
	return buffer[:size]
}

// Guards against a load report that loses a field on its way, or that is larger than what it
// counts against the measuring budget.
func TestLoadReportArrivesWhole(t *testing.T) {
	report := gate.Report{Host: "host-123.zone-3.example", Incarnation: 1 << 60, Sequence: 1 << 40, Load: gate.Load{Running: 900, Waiting: 900, Slots: 1000, Service: 10 * time.Second, Draining: true, Full: true,
		FailRatio: 0.5, Failing: true, Slowdown: 7, Wait: 10 * time.Second, ColdStarts: 500, StartsLeft: 500, Contention: 2, LinkWait: 100 * time.Second}}
	datagram := sentReport(t, report)
	m := &apiv1.GateReport{}
	assert.NilError(t, proto.Unmarshal(datagram, m))
	assert.DeepEqual(t, decodeReport(m), report)
	const headers = 28
	assert.Assert(t, len(datagram)+headers <= gate.ReportBytes, "%d bytes", len(datagram)+headers)
}

// Without a bandwidth, a load report has the same bytes as before the field was added, and
// reports of earlier releases have no wait.
func TestLoadReportWithoutLinkIsUnchanged(t *testing.T) {
	without := sentReport(t, gate.Report{Host: "self", Load: gate.Load{Slots: 9}})
	expected, err := proto.Marshal(&apiv1.GateReport{Host: "self", Slots: 9})
	assert.NilError(t, err)
	assert.DeepEqual(t, without, expected)
	m := &apiv1.GateReport{}
	assert.NilError(t, proto.Unmarshal(without, m))
	assert.Equal(t, decodeReport(m).Load.LinkWait, time.Duration(0))
	assert.Assert(t, !strings.Contains(m.String(), "link"))
}
