package capacity

import (
	"fmt"
	"math"
	"strings"
)

// The target's size, from the users' letter.
const (
	targetNodes       = 8800
	targetServices    = 990
	targetCenters     = 22
	targetCalls       = 510_000
	targetDepth       = 22
	targetChanges     = 22_000
	targetRestarts    = 2_500
	targetFailures    = 51
	secondsPerDay     = 86_400
	nodesPerRelay     = 32
	entryBytes        = 130
	limitAddedMicros  = 510
	limitForceSeconds = 5
	limitCorePercent  = 2
	limitMB           = 32
	limitBytes        = 29_000
	limitHosts        = 6
)

// Sections renders every generated section of the page by name.
func Sections(d *Data) map[string]string {
	return map[string]string{
		"slopes": slopesTable(d),
		"target": targetTable(d),
		"today":  todayTable(d),
		"worst":  worstTable(d),
		"bytes":  bytesTable(d),
		"path":   pathTable(d),
	}
}

type table struct{ strings.Builder }

func newTable(columns ...string) *table {
	t := &table{}
	t.row(columns...)
	t.row(strings.Split(strings.Repeat("---,", len(columns)-1)+"---", ",")...)
	return t
}

func (t *table) row(cells ...string) {
	t.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func num(v float64) string {
	switch a := math.Abs(v); {
	case a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 0.1 || a == 0:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.4f", v)
}

// fits are the lines that the page rests on.
type fits struct {
	nodeBytes, nodeCPU, nodeMB   Fit
	relayCPU, relayMB, leaderCPU Fit
	relayHeap, heartbeat, tick   Fit
	apply, snapshot, packed      Fit
}

func fitAll(d *Data) fits {
	nodes := func(r ScaleRun) float64 { return float64(r.Nodes) }
	perRelay := func(r ScaleRun) float64 { return float64(r.Nodes) / float64(r.Relays) }
	entries := func(s DirectorySlope) float64 { return float64(s.Entries) }
	services := func(s EstateSlope) float64 { return float64(s.Services) }
	scale := d.Scale.Data
	return fits{
		nodeBytes: fitOf(scale, nodes, func(r ScaleRun) float64 { return r.NodeBytes }),
		nodeCPU:   fitOf(scale, nodes, func(r ScaleRun) float64 { return r.NodeCPU }),
		nodeMB:    fitOf(scale, nodes, func(r ScaleRun) float64 { return r.NodeMB }),
		relayCPU:  fitOf(scale, perRelay, func(r ScaleRun) float64 { return r.RelayCPU }),
		relayMB:   fitOf(scale, nodes, func(r ScaleRun) float64 { return r.RelayMB }),
		leaderCPU: fitOf(scale, func(r ScaleRun) float64 { return float64(r.Relays) }, func(r ScaleRun) float64 { return r.LeaderCPU }),
		relayHeap: fitOf(d.Slopes.Directory, entries, func(s DirectorySlope) float64 { return s.HeapMB }),
		heartbeat: fitOf(d.Slopes.Directory, entries, func(s DirectorySlope) float64 { return s.HeartbeatMicros }),
		tick:      fitOf(d.Slopes.Directory, entries, func(s DirectorySlope) float64 { return s.TickMicros }),
		apply:     fitOf(d.Slopes.Estate, services, func(s EstateSlope) float64 { return s.ApplyMillis }),
		snapshot:  fitOf(d.Slopes.Estate, services, func(s EstateSlope) float64 { return float64(s.SnapshotBytes) }),
		packed:    fitOf(d.Slopes.Estate, services, func(s EstateSlope) float64 { return float64(s.PackedBytes) }),
	}
}

func slopesTable(d *Data) string {
	f := fitAll(d)
	t := newTable("what", "over", "n", "intercept", "slope", "unit", "largest residual", "run")
	add := func(what, over string, fit Fit, unit, run string) {
		t.row(what, over, fmt.Sprint(fit.N), num(fit.Intercept), fmt.Sprintf("%.3g", fit.Slope), unit, num(fit.Residual), run)
	}
	add("node, control bytes", "nodes of its data centre", f.nodeBytes, "B/s", "scale")
	add("node, control processor time", "nodes of its data centre", f.nodeCPU, "% of a core", "scale")
	add("node, resident, whole process", "nodes of its data centre", f.nodeMB, "MB", "scale")
	add("relay, processor time", "nodes it serves", f.relayCPU, "% of a core", "scale")
	add("relay, resident, whole process", "nodes of its data centre", f.relayMB, "MB", "scale")
	add("leader, processor time", "relays", f.leaderCPU, "% of a core", "scale")
	add("relay, heap of the directory", "entries", f.relayHeap, "MB", "slopes")
	add("relay, one heartbeat without transport", "entries", f.heartbeat, "µs", "slopes")
	add("relay, one tick", "entries", f.tick, "µs", "slopes")
	add("replica, applying one change", "services in the text", f.apply, "ms", "slopes")
	add("replica, snapshot without audit trail", "services in the text", f.snapshot, "B", "slopes")
	add("replica, one change in the log", "services in the text", f.packed, "B", "slopes")
	return t.String()
}

func room(value, limit float64) string {
	if value > limit {
		return fmt.Sprintf("**missed**, %.1f times the limit", value/limit)
	}
	return fmt.Sprintf("%.0f %% left", (1-value/limit)*100)
}

func targetTable(d *Data) string {
	f := fitAll(d)
	perCenter := float64(targetNodes) / targetCenters
	relaysPerCenter := math.Ceil(perCenter / nodesPerRelay)
	relays := relaysPerCenter * targetCenters
	rejoin := d.Slopes.Rejoin[0]
	stub := float64(d.Slopes.Rejoin[1].Bytes) / 100
	changesPerSecond := float64(targetChanges) / secondsPerDay
	t := newTable("role", "what", "worked out", "value", "limit", "room")
	add := func(role, what, how string, value float64, unit string, limit float64) {
		l, r := "–", "–"
		if limit > 0 {
			l, r = num(limit)+" "+unit, room(value, limit)
		}
		t.row(role, what, how, num(value)+" "+unit, l, r)
	}
	churn := float64(targetRestarts+targetFailures) * 2 / secondsPerDay / targetServices * 5 * entryBytes
	nodeBytes := f.nodeBytes.At(perCenter) + changesPerSecond*stub + churn
	add("node as member", "bytes", fmt.Sprintf("%s + %.3g × %.0f nodes + %.2f changes/s × %.0f B + %.2f B of churn", num(f.nodeBytes.Intercept), f.nodeBytes.Slope, perCenter, changesPerSecond, stub, churn), nodeBytes, "B/s", limitBytes)
	add("node as member", "processor", fmt.Sprintf("%s + %.3g × %.0f", num(f.nodeCPU.Intercept), f.nodeCPU.Slope, perCenter), math.Max(0, f.nodeCPU.At(perCenter)), "% of a core", limitCorePercent)
	nodeMB := f.nodeMB.At(perCenter) + rejoin.NodeHeapMB
	add("node as member", "memory, whole process", fmt.Sprintf("%s + %.3g × %.0f + %s MB for %d services' routes", num(f.nodeMB.Intercept), f.nodeMB.Slope, perCenter, num(rejoin.NodeHeapMB), targetServices), nodeMB, "MB", limitMB)
	calls := float64(targetCalls) / targetNodes
	add("node as proxy", "picks", fmt.Sprintf("%d calls/s ÷ %d nodes × %s ns", targetCalls, targetNodes, num(d.Slopes.Picker[0].Nanos)), calls*d.Slopes.Picker[0].Nanos/1e9*100, "% of a core", 0)
	add("node's gate", "decisions", fmt.Sprintf("%.0f calls/s × %s ns", calls, num(d.Slopes.GateNanos)), calls*d.Slopes.GateNanos/1e9*100, "% of a core", 0)
	add("node's gate", "reports sent, as budgeted", "institution's budget ÷ endpoints; 5 siblings × 2/s at rest × 160 B", 5*2*160, "B/s", limitBytes)
	relayCPU := f.relayCPU.At(nodesPerRelay) + nodesPerRelay*(f.heartbeat.At(targetNodes)-f.heartbeat.At(200))/1e6*100 + 2*math.Max(0, f.tick.At(targetNodes)-f.tick.At(200))/1e6*100
	add("relay", "processor", fmt.Sprintf("%s + %.3g × %d nodes, + as many heartbeats and 2 ticks a second at %d entries", num(f.relayCPU.Intercept), f.relayCPU.Slope, nodesPerRelay, targetNodes), relayCPU, "% of a core", limitCorePercent)
	relayMB := f.relayMB.At(perCenter) + f.relayHeap.At(targetNodes) + rejoin.NodeHeapMB
	add("relay", "memory, whole process", fmt.Sprintf("%s MB at %.0f nodes + %s MB for %d entries", num(f.relayMB.At(perCenter)), perCenter, num(f.relayHeap.At(targetNodes)), targetNodes), relayMB, "MB", limitMB)
	served := nodesPerRelay * nodeBytes
	pulls := 2 + math.Ceil((targetCenters-1)/relaysPerCenter)
	add("relay", "bytes", fmt.Sprintf("%d nodes × %s B/s + %.0f pulls/s sent and as many served × 400 B (assumed)", nodesPerRelay, num(nodeBytes), pulls), served+2*pulls*400, "B/s", limitBytes)
	add("control replica as leader", "processor", fmt.Sprintf("%s + %.3g × %.0f relays + %.2f changes/s × %s ms", num(f.leaderCPU.Intercept), f.leaderCPU.Slope, relays, changesPerSecond, num(f.apply.At(targetServices))), f.leaderCPU.At(relays)+changesPerSecond*f.apply.At(targetServices)/10, "% of a core", 0)
	add("control replica as leader", "messages", fmt.Sprintf("%.0f relays × 1/s, 5 peers × 5 heartbeats/s", relays), relays+25, "/s", 0)
	add("control replica", "log written", fmt.Sprintf("%d changes × %s KB", targetChanges, num(f.packed.At(targetServices)/1000)), float64(targetChanges)*f.packed.At(targetServices)/1e6, "MB a day", 0)
	add("control replica", "snapshot", fmt.Sprintf("%s KB + 50,000 audit records × 100 B (assumed)", num(f.snapshot.At(targetServices)/1000)), (f.snapshot.At(targetServices)+50_000*100)/1e6, "MB", 0)
	add("control replica", "changes a second it can take", fmt.Sprintf("measured with 16 operators; needed %.2f", changesPerSecond), d.Slopes.Submit[1].PerSecond, "/s", 0)
	last := d.Scale.Data[len(d.Scale.Data)-1]
	force := last.ForceMax/1000 + 0.6
	add("everywhere", "in force", fmt.Sprintf("%s s measured at %d nodes + 0.6 s for two exchanges between regions (assumed)", num(last.ForceMax/1000), last.Nodes), force, "s", limitForceSeconds)
	add("everywhere", "in force, the node's relay dead", "the same + 1 s time-out + 1 s for the next relay's pull", force+2, "s", limitForceSeconds)
	add("everywhere", "hosts set aside", "5 voters and 1 learner", 6, "hosts", limitHosts)
	return t.String()
}

func todayTable(d *Data) string {
	f := fitAll(d)
	t := newTable("", "Sao Khue", "Alder & Finch")
	t.row("nodes", "13 in 3 data centres", "12 in 4 data centres")
	t.row("relays (2 a data centre, as many as it has nodes)", "6", "8")
	t.row("node, control", num(f.nodeBytes.At(5))+" B/s, "+num(math.Max(0, f.nodeCPU.At(5)))+" % of a core", num(f.nodeBytes.At(3))+" B/s, "+num(math.Max(0, f.nodeCPU.At(3)))+" % of a core")
	t.row("node, resident, whole process", num(f.nodeMB.At(5))+" MB", num(f.nodeMB.At(3))+" MB")
	t.row("control replicas", "3, on backend server hosts", "3, on backend server hosts")
	t.row("load reports, budget of the examples", "10,000/s a service, 1.6 MB/s", "800/s a service, 128 KB/s")
	return t.String()
}

func worstTable(d *Data) string {
	f := fitAll(d)
	t := newTable("hour", "what comes at once", "worked out")
	perCenter := float64(targetNodes) / targetCenters
	reconcile := d.Slopes.Reconcile[2]
	t.row("a data centre lost and back", fmt.Sprintf("%.0f entries change twice; its relays start with nothing", perCenter),
		fmt.Sprintf("each relay elsewhere takes %s KB by digests (full push %s KB); a node elsewhere hears of the endpoints it needs: 5 services × 9 × %d B", num(float64(reconcile.DigestBytes)/1000), num(float64(reconcile.FullPushBytes)/1000), entryBytes))
	apart := 600.0 / secondsPerDay * float64(targetRestarts+targetFailures)
	t.row("two regions apart for 10 minutes", fmt.Sprintf("%.0f entries changed meanwhile", apart), fmt.Sprintf("cursors go on: %.0f × %d B = %s KB to each relay; no entry is marked failed across the cut", apart, entryBytes, num(apart*entryBytes/1000)))
	burst := d.Slopes.Rejoin[1]
	t.row("100 changes in a minute", "every relay pulls once a second", fmt.Sprintf("%s KB to each relay, %s KB to each node in all, in whichever pulls; the leader applies 1.7/s × %s ms = %s %% of a core", num(float64(burst.RelayBytes)/1000), num(float64(burst.Bytes)/1000), num(f.apply.At(targetServices)), num(1.67*f.apply.At(targetServices)/10)))
	t.row("all nodes of a data centre restart together", fmt.Sprintf("%.0f nodes look for a relay", perCenter), fmt.Sprintf("pauses grow from 0.1 s to 5 s with jitter: at most %.0f requests in the first second and %.0f a second after, against %.0f relay syncs a second in any case; each node then takes %s KB", perCenter*4, perCenter/5, math.Ceil(perCenter/nodesPerRelay)*targetCenters, num(float64(d.Slopes.Rejoin[0].FirstBytes)/1000)))
	t.row("the leader lost at the same time", "no answer for 1 to 4 s", "nodes and relays go on with what they have; a submit under way is sent again under its id; relays report to the new leader within 1 s")
	slow, fast := d.Path.Data[0], d.Path.Data[2]
	t.row(fmt.Sprintf("a call %d deep", targetDepth), "what the path adds, summed", fmt.Sprintf("%d × %d µs = %s ms at the p50 of %.0f calls/s, %d × %d µs = %s ms at %.0f; retries: 1.2 attempts at most in each layer, not 1.2 to the power of %d", targetDepth, slow.AddedP50, num(float64(targetDepth)*float64(slow.AddedP50)/1000), slow.Rate, targetDepth, fast.AddedP50, num(float64(targetDepth)*float64(fast.AddedP50)/1000), fast.Rate, targetDepth))
	return t.String()
}

func bytesTable(d *Data) string {
	t := newTable("bringing together", "by digests", "full push", "by cursor (the entries alone)")
	for _, r := range d.Slopes.Reconcile {
		t.row(fmt.Sprintf("two relays of %d entries that differ in %d", r.Entries, r.Differ), num(float64(r.DigestBytes))+" B", num(float64(r.FullPushBytes))+" B", num(float64(r.CursorBytes))+" B")
	}
	t.WriteString("\n")
	u := newTable("rejoining after", "a node with 5 services", "a relay", "from nothing")
	for _, r := range d.Slopes.Rejoin {
		u.row(fmt.Sprintf("%d missed changes of %d services", r.Missed, r.Services), num(float64(r.Bytes))+" B", num(float64(r.RelayBytes))+" B", num(float64(r.FirstBytes))+" B")
	}
	t.WriteString(u.String() + "\n")
	v := newTable("restart of a replica", "log", "until applied")
	for _, r := range d.Slopes.Recovery {
		v.row(fmt.Sprintf("%d entries", r.Entries), num(float64(r.LogBytes)/1000)+" KB", num(r.Millis)+" ms")
	}
	t.WriteString(v.String() + "\n")
	w := newTable("submits, one replica", "a second", "syncs a change", "one sync")
	for _, r := range d.Slopes.Submit {
		w.row(fmt.Sprintf("%d operators", r.Workers), num(r.PerSecond), num(r.SyncsPerChange), num(r.SyncMicros)+" µs")
	}
	t.WriteString(w.String())
	return t.String()
}

func pathTable(d *Data) string {
	t := newTable("calls/s on each way", "two nodes add, p50", "p99", "limit at p99", "room", "two processes that only pass bytes on, p50", "p99")
	for _, r := range d.Path.Data {
		t.row(num(r.Rate), fmt.Sprintf("%d µs", r.AddedP50), fmt.Sprintf("%d µs", r.AddedP99), fmt.Sprintf("%d µs", limitAddedMicros), room(float64(r.AddedP99), limitAddedMicros), fmt.Sprintf("%d µs", r.BareP50), fmt.Sprintf("%d µs", r.BareP99))
	}
	t.WriteString("\n")
	u := newTable("nodes of one data centre", "relays", "in force p50", "p99", "max", "kill noticed", "false alarms", "falsely failed")
	for _, r := range d.Scale.Data {
		u.row(fmt.Sprint(r.Nodes), fmt.Sprint(r.Relays), num(r.ForceP50)+" ms", num(r.ForceP99)+" ms", num(r.ForceMax)+" ms", num(r.NoticeMax)+" ms", num(r.FalseAlarms), num(r.FalseFailed))
	}
	t.WriteString(u.String())
	return t.String()
}
