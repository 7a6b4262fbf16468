package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Size and limits of the target deployment, as the users require them.
const (
	targetNodes          = 8800
	targetServices       = 990
	targetDataCenters    = 22
	targetCallsPerSecond = 510_000
	targetCallDepth      = 22
	targetChangesPerDay  = 22_000
	targetRestartsPerDay = 2_500
	targetFailuresPerDay = 51
	secondsPerDay        = 86_400
	nodesPerRelay        = 32
	entryBytes           = 130
	limitAddedMicros     = 510
	limitInForceSeconds  = 5
	limitCorePercent     = 2
	limitMB              = 32
	limitBytesPerSecond  = 29_000
	limitControlHosts    = 6
)

// Sections renders the generated sections of the page. The result is indexed by the section
// names that Update expects.
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

// formatNumber formats a number with fewer decimals the larger it is.
func formatNumber(v float64) string {
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

// fittedLines contains the lines from which the tables are computed. relayCPU is fitted over
// the nodes per relay, the other costs over nodes, relays, entries or services.
type fittedLines struct {
	nodeBytes, nodeCPU, nodeMB   Fit
	relayCPU, relayMB, leaderCPU Fit
	relayHeap, heartbeat, tick   Fit
	propose, apply               Fit
	snapshot, packed             Fit
}

// change returns the milliseconds that a change costs the leader.
func (f fittedLines) change(services float64) float64 {
	return f.propose.At(services) + f.apply.At(services)
}

func fitAll(d *Data) fittedLines {
	nodes := func(r ScaleRun) float64 { return float64(r.Nodes) }
	perRelay := func(r ScaleRun) float64 { return float64(r.Nodes) / float64(r.Relays) }
	entries := func(s DirectorySlope) float64 { return float64(s.Entries) }
	services := func(s EstateSlope) float64 { return float64(s.Services) }
	scale := d.Scale.Data
	return fittedLines{
		nodeBytes: fitMeasurements(scale, nodes, func(r ScaleRun) float64 { return r.NodeBytes }),
		nodeCPU:   fitMeasurements(scale, nodes, func(r ScaleRun) float64 { return r.NodeCPU }),
		nodeMB:    fitMeasurements(scale, nodes, func(r ScaleRun) float64 { return r.NodeMB }),
		relayCPU:  fitMeasurements(scale, perRelay, func(r ScaleRun) float64 { return r.RelayCPU }),
		relayMB:   fitMeasurements(scale, nodes, func(r ScaleRun) float64 { return r.RelayMB }),
		leaderCPU: fitMeasurements(scale, func(r ScaleRun) float64 { return float64(r.Relays) }, func(r ScaleRun) float64 { return r.LeaderCPU }),
		relayHeap: fitMeasurements(d.Slopes.Directory, entries, func(s DirectorySlope) float64 { return s.HeapMB }),
		heartbeat: fitMeasurements(d.Slopes.Directory, entries, func(s DirectorySlope) float64 { return s.HeartbeatMicros }),
		tick:      fitMeasurements(d.Slopes.Directory, entries, func(s DirectorySlope) float64 { return s.TickMicros }),
		propose:   fitMeasurements(d.Slopes.Estate, services, func(s EstateSlope) float64 { return s.ProposeMillis }),
		apply:     fitMeasurements(d.Slopes.Estate, services, func(s EstateSlope) float64 { return s.ApplyMillis }),
		snapshot:  fitMeasurements(d.Slopes.Estate, services, func(s EstateSlope) float64 { return float64(s.SnapshotBytes) }),
		packed:    fitMeasurements(d.Slopes.Estate, services, func(s EstateSlope) float64 { return float64(s.PackedBytes) }),
	}
}

func slopesTable(d *Data) string {
	f := fitAll(d)
	t := newTable("what", "over", "n", "intercept", "slope", "unit", "largest residual", "run")
	add := func(what, over string, fit Fit, unit, run string) {
		t.row(what, over, fmt.Sprint(fit.N), formatNumber(fit.Intercept), fmt.Sprintf("%.3g", fit.Slope), unit, formatNumber(fit.Residual), run)
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
	add("replica that is asked, compiling and proposing one change", "services in the text", f.propose, "ms", "slopes")
	add("each replica, applying one change", "services in the text", f.apply, "ms", "slopes")
	add("replica, snapshot without audit trail", "services in the text", f.snapshot, "B", "slopes")
	add("replica, one change in the log", "services in the text", f.packed, "B", "slopes")
	return t.String()
}

// headroom describes how far a value is below its limit, in percent, or that it misses the
// limit and by which factor.
func headroom(value, limit float64) string {
	if value > limit {
		return fmt.Sprintf("**missed**, %.1f times the limit", value/limit)
	}
	return fmt.Sprintf("%.0f %% left", (1-value/limit)*100)
}

func targetTable(d *Data) string {
	f := fitAll(d)
	perCenter := float64(targetNodes) / targetDataCenters
	relaysPerCenter := math.Ceil(perCenter / nodesPerRelay)
	relays := relaysPerCenter * targetDataCenters
	rejoin := d.Slopes.Rejoin[0]
	bytesPerChange := float64(d.Slopes.Rejoin[1].Bytes) / 100
	changesPerSecond := float64(targetChangesPerDay) / secondsPerDay
	t := newTable("role", "what", "worked out", "value", "limit", "room")
	add := func(role, what, how string, value float64, unit string, limit float64) {
		l, r := "–", "–"
		if limit > 0 {
			l, r = formatNumber(limit)+" "+unit, headroom(value, limit)
		}
		t.row(role, what, how, formatNumber(value)+" "+unit, l, r)
	}
	churn := float64(targetRestartsPerDay+targetFailuresPerDay) * 2 / secondsPerDay / targetServices * 5 * entryBytes
	nodeBytes := f.nodeBytes.At(perCenter) + changesPerSecond*bytesPerChange + churn
	add("node as member", "bytes", fmt.Sprintf("%s + %.3g × %.0f nodes + %.2f changes/s × %.0f B + %.2f B of churn", formatNumber(f.nodeBytes.Intercept), f.nodeBytes.Slope, perCenter, changesPerSecond, bytesPerChange, churn), nodeBytes, "B/s", limitBytesPerSecond)
	add("node as member", "processor", fmt.Sprintf("%s + %.3g × %.0f", formatNumber(f.nodeCPU.Intercept), f.nodeCPU.Slope, perCenter), math.Max(0, f.nodeCPU.At(perCenter)), "% of a core", limitCorePercent)
	nodeMB := f.nodeMB.At(perCenter) + rejoin.NodeHeapMB
	add("node as member", "memory, whole process", fmt.Sprintf("%s + %.3g × %.0f + %s MB for %d services' routes", formatNumber(f.nodeMB.Intercept), f.nodeMB.Slope, perCenter, formatNumber(rejoin.NodeHeapMB), targetServices), nodeMB, "MB", limitMB)
	calls := float64(targetCallsPerSecond) / targetNodes
	add("node as proxy", "picks", fmt.Sprintf("%d calls/s ÷ %d nodes × %s ns", targetCallsPerSecond, targetNodes, formatNumber(d.Slopes.Picker[0].Nanos)), calls*d.Slopes.Picker[0].Nanos/1e9*100, "% of a core", 0)
	add("node's gate", "decisions", fmt.Sprintf("%.0f calls/s × %s ns", calls, formatNumber(d.Slopes.GateNanos)), calls*d.Slopes.GateNanos/1e9*100, "% of a core", 0)
	add("node's gate", "reports sent, as budgeted", "institution's budget ÷ endpoints; 5 siblings × 2/s at rest × 160 B", 5*2*160, "B/s", limitBytesPerSecond)
	relayCPU := f.relayCPU.At(nodesPerRelay) + nodesPerRelay*(f.heartbeat.At(targetNodes)-f.heartbeat.At(200))/1e6*100 + 2*math.Max(0, f.tick.At(targetNodes)-f.tick.At(200))/1e6*100
	add("relay", "processor", fmt.Sprintf("%s + %.3g × %d nodes, + as many heartbeats and 2 ticks a second at %d entries", formatNumber(f.relayCPU.Intercept), f.relayCPU.Slope, nodesPerRelay, targetNodes), relayCPU, "% of a core", limitCorePercent)
	relayMB := f.relayMB.At(perCenter) + f.relayHeap.At(targetNodes) + rejoin.NodeHeapMB
	add("relay", "memory, whole process", fmt.Sprintf("%s MB at %.0f nodes + %s MB for %d entries", formatNumber(f.relayMB.At(perCenter)), perCenter, formatNumber(f.relayHeap.At(targetNodes)), targetNodes), relayMB, "MB", limitMB)
	servedBytes := nodesPerRelay * nodeBytes
	pulls := 2 + math.Ceil((targetDataCenters-1)/relaysPerCenter)
	add("relay", "bytes", fmt.Sprintf("%d nodes × %s B/s + %.0f pulls/s sent and as many served × 400 B (assumed)", nodesPerRelay, formatNumber(nodeBytes), pulls), servedBytes+2*pulls*400, "B/s", limitBytesPerSecond)
	add("control replica as leader", "processor", fmt.Sprintf("%s + %.3g × %.0f relays + %.2f changes/s × %s ms", formatNumber(f.leaderCPU.Intercept), f.leaderCPU.Slope, relays, changesPerSecond, formatNumber(f.change(targetServices))), f.leaderCPU.At(relays)+changesPerSecond*f.change(targetServices)/10, "% of a core", 0)
	add("control replica as leader", "messages", fmt.Sprintf("%.0f relays × 1/s, 5 peers × 5 heartbeats/s", relays), relays+25, "/s", 0)
	add("control replica", "log written", fmt.Sprintf("%d changes × %s KB", targetChangesPerDay, formatNumber(f.packed.At(targetServices)/1000)), float64(targetChangesPerDay)*f.packed.At(targetServices)/1e6, "MB a day", 0)
	add("control replica", "snapshot", fmt.Sprintf("%s KB + 50,000 audit records × 100 B (assumed)", formatNumber(f.snapshot.At(targetServices)/1000)), (f.snapshot.At(targetServices)+50_000*100)/1e6, "MB", 0)
	add("control replica", "changes a second it can take", fmt.Sprintf("measured with 16 operators; needed %.2f", changesPerSecond), d.Slopes.Submit[1].PerSecond, "/s", 0)
	last := d.Scale.Data[len(d.Scale.Data)-1]
	inForce := last.InForceMax/1000 + 0.6
	add("everywhere", "in force", fmt.Sprintf("%s s measured at %d nodes + 0.6 s for two exchanges between regions (assumed)", formatNumber(last.InForceMax/1000), last.Nodes), inForce, "s", limitInForceSeconds)
	add("everywhere", "in force, the node's relay dead", "the same + 1 s time-out + 1 s for the next relay's pull", inForce+2, "s", limitInForceSeconds)
	add("everywhere", "hosts set aside", "5 voters and 1 learner", 6, "hosts", limitControlHosts)
	return t.String()
}

func todayTable(d *Data) string {
	f := fitAll(d)
	t := newTable("", "Sao Khue", "Alder & Finch")
	t.row("nodes", "13 in 3 data centres", "12 in 4 data centres")
	t.row("relays (2 a data centre, as many as it has nodes)", "6", "8")
	t.row("node, control", formatNumber(f.nodeBytes.At(5))+" B/s, "+formatNumber(math.Max(0, f.nodeCPU.At(5)))+" % of a core", formatNumber(f.nodeBytes.At(3))+" B/s, "+formatNumber(math.Max(0, f.nodeCPU.At(3)))+" % of a core")
	t.row("node, resident, whole process", formatNumber(f.nodeMB.At(5))+" MB", formatNumber(f.nodeMB.At(3))+" MB")
	t.row("control replicas", "3, on backend server hosts", "3, on backend server hosts")
	t.row("load reports, budget of the examples", "10,000/s a service, 1.6 MB/s", "800/s a service, 128 KB/s")
	return t.String()
}

func worstTable(d *Data) string {
	f := fitAll(d)
	t := newTable("hour", "what comes at once", "worked out")
	perCenter := float64(targetNodes) / targetDataCenters
	reconcile := d.Slopes.Reconcile[2]
	t.row("a data centre lost and back", fmt.Sprintf("%.0f entries change twice; its relays start with nothing", perCenter),
		fmt.Sprintf("each relay elsewhere takes %s KB by digests (full push %s KB); a node elsewhere hears of the endpoints it needs: 5 services × 9 × %d B", formatNumber(float64(reconcile.DigestBytes)/1000), formatNumber(float64(reconcile.FullPushBytes)/1000), entryBytes))
	changedEntries := 600.0 / secondsPerDay * float64(targetRestartsPerDay+targetFailuresPerDay)
	t.row("two regions apart for 10 minutes", fmt.Sprintf("%.0f entries changed meanwhile", changedEntries), fmt.Sprintf("cursors go on: %.0f × %d B = %s KB to each relay; no entry is marked failed across the cut", changedEntries, entryBytes, formatNumber(changedEntries*entryBytes/1000)))
	burst := d.Slopes.Rejoin[1]
	t.row("100 changes in a minute", "every relay pulls once a second", fmt.Sprintf("%s KB to each relay, %s KB to each node in all, in whichever pulls; the leader compiles and applies 1.7/s × %s ms = %s %% of a core", formatNumber(float64(burst.RelayBytes)/1000), formatNumber(float64(burst.Bytes)/1000), formatNumber(f.change(targetServices)), formatNumber(1.67*f.change(targetServices)/10)))
	t.row("all nodes of a data centre restart together", fmt.Sprintf("%.0f nodes look for a relay", perCenter), fmt.Sprintf("pauses grow from 0.1 s to 5 s with jitter: at most %.0f requests in the first second and %.0f a second after, against %.0f relay syncs a second in any case; each node then takes %s KB", perCenter*4, perCenter/5, math.Ceil(perCenter/nodesPerRelay)*targetDataCenters, formatNumber(float64(d.Slopes.Rejoin[0].FirstBytes)/1000)))
	t.row("the leader lost at the same time", "no answer for 1 to 4 s", "nodes and relays go on with what they have; a submit under way is sent again under its id; relays report to the new leader within 1 s")
	slow, fast := d.Path.Data[0], d.Path.Data[2]
	t.row(fmt.Sprintf("a call %d deep", targetCallDepth), "what the path adds, summed", fmt.Sprintf("%d × %d µs = %s ms at the p50 of %.0f calls/s, %d × %d µs = %s ms at %.0f; retries: 1.2 attempts at most in each layer, not 1.2 to the power of %d", targetCallDepth, slow.AddedP50, formatNumber(float64(targetCallDepth)*float64(slow.AddedP50)/1000), slow.Rate, targetCallDepth, fast.AddedP50, formatNumber(float64(targetCallDepth)*float64(fast.AddedP50)/1000), fast.Rate, targetCallDepth))
	return t.String()
}

func bytesTable(d *Data) string {
	t := newTable("bringing together", "by digests", "full push", "by cursor (the entries alone)")
	for _, r := range d.Slopes.Reconcile {
		t.row(fmt.Sprintf("two relays of %d entries that differ in %d", r.Entries, r.Differ), formatNumber(float64(r.DigestBytes))+" B", formatNumber(float64(r.FullPushBytes))+" B", formatNumber(float64(r.CursorBytes))+" B")
	}
	t.WriteString("\n")
	u := newTable("rejoining after", "a node with 5 services", "a relay", "from nothing")
	for _, r := range d.Slopes.Rejoin {
		u.row(fmt.Sprintf("%d missed changes of %d services", r.Missed, r.Services), formatNumber(float64(r.Bytes))+" B", formatNumber(float64(r.RelayBytes))+" B", formatNumber(float64(r.FirstBytes))+" B")
	}
	t.WriteString(u.String() + "\n")
	v := newTable("restart of a replica", "log", "until applied")
	for _, r := range d.Slopes.Recovery {
		v.row(fmt.Sprintf("%d changes of %d services", r.Entries, r.Services), formatNumber(float64(r.LogBytes)/1000)+" KB", formatNumber(r.Millis)+" ms")
	}
	t.WriteString(v.String() + "\n")
	w := newTable("submits, one replica", "a second", "syncs a change", "one sync")
	for _, r := range d.Slopes.Submit {
		w.row(fmt.Sprintf("%d operators", r.Workers), formatNumber(r.PerSecond), formatNumber(r.SyncsPerChange), formatNumber(r.SyncMicros)+" µs")
	}
	t.WriteString(w.String())
	return t.String()
}

func pathTable(d *Data) string {
	t := newTable("calls/s on each way", "two nodes add, p50", "p99", "limit at p99", "room", "two processes that only pass bytes on, p50", "p99")
	for _, r := range d.Path.Data {
		t.row(formatNumber(r.Rate), fmt.Sprintf("%d µs", r.AddedP50), fmt.Sprintf("%d µs", r.AddedP99), fmt.Sprintf("%d µs", limitAddedMicros), headroom(float64(r.AddedP99), limitAddedMicros), fmt.Sprintf("%d µs", r.BareP50), fmt.Sprintf("%d µs", r.BareP99))
	}
	t.WriteString("\n")
	u := newTable("nodes of one data centre", "relays", "in force p50", "p99", "max", "kill noticed", "false alarms", "falsely failed")
	for _, r := range d.Scale.Data {
		u.row(fmt.Sprint(r.Nodes), fmt.Sprint(r.Relays), formatNumber(r.InForceP50)+" ms", formatNumber(r.InForceP99)+" ms", formatNumber(r.InForceMax)+" ms", formatNumber(r.FailureDetectionMax)+" ms", formatNumber(r.FalseAlarms), formatNumber(r.FalseFailed))
	}
	t.WriteString(u.String())
	return t.String()
}
