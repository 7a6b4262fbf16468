package capacity

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/balancer"
	"cactuspath/core/balancer/leastoutstanding"
	"cactuspath/core/directory"
	"cactuspath/core/estate"
	"cactuspath/core/gate"
	"cactuspath/core/rollout"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
	"cactuspath/internal/process"
	"cactuspath/internal/settings"
	"cactuspath/internal/wal"
)

var recordFolder = flag.String("record", "", "folder to write measurements to")

const slopesCommand = "go test ./internal/capacity -run '^$' -bench Slopes -benchtime 1x"

// BenchmarkSlopes measures single components within one process, without network transport,
// at several sizes that include the size of the target deployment.
//
//	go test ./internal/capacity -run '^$' -bench Slopes -benchtime 1x -args -record ../../docs/measurements
func BenchmarkSlopes(b *testing.B) {
	for b.Loop() {
		s := Slopes{Date: time.Now().UTC().Format(time.DateOnly), Cores: runtime.NumCPU(), Command: slopesCommand}
		for _, n := range []int{1000, 4400, 8800} {
			s.Directory = append(s.Directory, measureDirectory(n))
		}
		for _, differ := range []int{0, 10, 400} {
			s.Reconcile = append(s.Reconcile, measureReconcile(8800, differ))
		}
		for _, missed := range []int{1, 100, 500} {
			s.Rejoin = append(s.Rejoin, measureRejoin(990, missed))
		}
		for _, n := range []int{10, 330, 990} {
			s.Estate = append(s.Estate, measureEstate(b, n))
		}
		for _, n := range []int{13, 64} {
			s.Picker = append(s.Picker, PickerSlope{n, pickNanos(n)})
		}
		s.GateNanos = gateNanos()
		for _, w := range []int{1, 16} {
			s.Submit = append(s.Submit, measureSubmit(b, w))
		}
		for _, n := range []int{1, 250, 950} {
			s.Recovery = append(s.Recovery, measureRecovery(b, 990, n))
		}
		text, err := json.MarshalIndent(s, "", "  ")
		assert.NilError(b, err)
		fmt.Println(string(text))
		if *recordFolder != "" {
			assert.NilError(b, os.WriteFile(filepath.Join(*recordFolder, "slopes.json"), append(text, '\n'), 0o644))
		}
	}
}

// heapMB returns the size of the heap memory occupied by the value that build returns, and the
// value itself, which must stay reachable during the measurement.
func heapMB(build func() any) (mb float64, kept any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept = build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc)) / (1 << 20), kept
}

// micros returns the mean duration of f in microseconds.
func micros(times int, f func()) float64 {
	start := time.Now()
	for range times {
		f()
	}
	return float64(time.Since(start).Nanoseconds()) / float64(times) / 1000
}

func testEntry(i int) *apiv1.Entry {
	return &apiv1.Entry{Host: fmt.Sprintf("host-%05d", i), DataCenter: fmt.Sprintf("dc-%02d", i%22), Region: fmt.Sprintf("region-%d", i%7), Service: fmt.Sprintf("service-%03d", i%990),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7070", i>>16, i>>8&255, i&255), Incarnation: 1764700000000, Sequence: 3,
		State: apiv1.EndpointState_ENDPOINT_STATE_SERVING, Slots: 20, Relay: fmt.Sprintf("host-%05d", i/64*64), ChangedUnixMs: 1764700000000}
}

// testRelay returns a relay with n entries that it has received from another relay of its
// data centre.
func testRelay(n int, epoch uint64) *directory.Relay {
	r := directory.NewRelay(&apiv1.RelayInfo{Host: "relay", DataCenter: "dc-00"}, epoch, 0)
	r.SetRelays([]*apiv1.RelayInfo{{Host: "sibling", DataCenter: "dc-00"}}, 0)
	resp := &apiv1.ExchangeResponse{Cursor: &apiv1.Cursor{Epoch: 1}}
	for i := range n {
		e := testEntry(i)
		e.Relay = "sibling"
		resp.Entries = append(resp.Entries, e)
	}
	r.HandleExchangeResponse(0, "sibling", resp)
	return r
}

// measureDirectory measures a relay that holds n entries and receives heartbeats from 64 of
// the nodes.
func measureDirectory(n int) DirectorySlope {
	s := DirectorySlope{Entries: n}
	var kept any
	s.HeapMB, kept = heapMB(func() any { return testRelay(n, 1) })
	r := kept.(*directory.Relay)
	const nodes = 64
	for i := range nodes {
		e := testEntry(i * 22)
		e.Relay, e.Sequence = "relay", 4
		r.Heartbeat(0, &apiv1.NodeReport{Host: e.Host, Incarnation: e.Incarnation, Sequence: e.Sequence}, e)
	}
	_, cursor, _ := r.Entries(0, nil, nil, true)
	services := []string{"service-001", "service-002", "service-003", "service-004", "service-005"}
	i := 0
	s.HeartbeatMicros = micros(20_000, func() {
		i++
		e := testEntry(i % nodes * 22)
		r.Heartbeat(0, &apiv1.NodeReport{Host: e.Host, Incarnation: e.Incarnation, Sequence: 4}, nil)
		r.Entries(0, cursor, services, false)
	})
	now := time.Duration(0)
	s.TickMicros = micros(50, func() {
		now += 500 * time.Millisecond
		r.Exchange(now, &apiv1.ExchangeRequest{FromHost: "sibling", FromDataCenter: "dc-00", Cursor: cursor})
		for j := range nodes {
			e := testEntry(j * 22)
			r.Heartbeat(now, &apiv1.NodeReport{Host: e.Host, Incarnation: e.Incarnation, Sequence: 4}, nil)
		}
		r.Tick(now)
	})
	entries, _, _ := r.Entries(0, nil, services, true)
	for _, e := range entries {
		s.SubscriptionBytes += proto.Size(e)
	}
	return s
}

func measureReconcile(n, differ int) ReconcileSlope {
	full, part := testRelay(n, 1), directory.NewRelay(&apiv1.RelayInfo{Host: "other", DataCenter: "dc-00"}, 2, 0)
	part.SetRelays([]*apiv1.RelayInfo{{Host: "sibling", DataCenter: "dc-00"}}, 0)
	resp := &apiv1.ExchangeResponse{Cursor: &apiv1.Cursor{Epoch: 1}}
	random := rand.New(rand.NewPCG(1, 1))
	missing := map[int]bool{}
	for len(missing) < differ {
		missing[random.IntN(n)] = true
	}
	for i := range n {
		if !missing[i] {
			resp.Entries = append(resp.Entries, testEntry(i))
		}
	}
	part.HandleExchangeResponse(0, "sibling", resp)
	digests := part.Table().Digests(directory.AllDataCenters)
	withDigests := &apiv1.ExchangeRequest{FromHost: "other", FromDataCenter: "dc-00", Cursor: &apiv1.Cursor{Epoch: 99}, Digests: digests}
	withoutDigests := &apiv1.ExchangeRequest{FromHost: "other", FromDataCenter: "dc-00", Cursor: &apiv1.Cursor{Epoch: 99}}
	changed := 0
	for i := range missing {
		changed += proto.Size(testEntry(i))
	}
	return ReconcileSlope{Entries: n, Differ: differ, DigestBytes: proto.Size(withDigests) + proto.Size(full.Exchange(0, withDigests)), FullPushBytes: proto.Size(full.Exchange(0, withoutDigests)), CursorBytes: changed}
}

func testSpec(i, version int) *apiv1.ServiceSpec {
	return &apiv1.ServiceSpec{Hosts: []string{fmt.Sprintf("service-%03d.institution.example", i)}, DependsOn: []string{fmt.Sprintf("service-%03d", (i+1)%990), fmt.Sprintf("service-%03d", (i+7)%990)},
		Slots: uint32(10 + version%10), Queue: 40, TimeoutMs: 2000, IdempotentMethods: []string{"GET", "HEAD"}, MaxAttempts: 3, RetryPerMille: 100,
		Measure: &apiv1.MeasureBudget{ReportsPerSecond: 5000, BytesPerSecond: 800_000}, SlowStartMs: 2000}
}

// measureRejoin measures the update of a node that needs 5 of the services and has missed
// the given number of changes. Each change affects one service.
func measureRejoin(services, missed int) RejoinSlope {
	specs := map[string]*apiv1.ServiceSpec{}
	for i := range services {
		specs[fmt.Sprintf("service-%03d", i)] = testSpec(i, 0)
	}
	source := rollout.NewRecords()
	source.Replace("a", rollout.Contents{Services: specs}, 1)
	needed := []string{"service-001", "service-002", "service-003", "service-004", "service-005"}
	node := rollout.NewRecords()
	first := source.DeltaFor(0, needed, nil, "h")
	node.Apply(first)
	for v := range missed {
		i := v * 7 % services
		specs[fmt.Sprintf("service-%03d", i)] = testSpec(i, v+1)
		source.Replace("a", rollout.Contents{Services: specs}, uint64(v+2))
	}
	delta := source.DeltaFor(1, needed, nil, "h")
	heap, kept := heapMB(func() any {
		r := rollout.NewRecords()
		copied, _ := proto.Clone(first).(*apiv1.EstateDelta)
		r.Apply(copied)
		return r
	})
	runtime.KeepAlive(kept)
	return RejoinSlope{Services: services, Missed: missed, Bytes: proto.Size(delta), RelayBytes: proto.Size(source.Delta(1)), FirstBytes: proto.Size(first), NodeHeapMB: heap,
		DeltaMicros: micros(500, func() { source.DeltaFor(source.Revision(), needed, nil, "h") })}
}

func testEstate(services, version int) string {
	var b strings.Builder
	b.WriteString("{\"institution\": \"a\", \"services\": {\n")
	for i := range services {
		slots := 10
		if i == version%services {
			slots = 11 + version%7
		}
		fmt.Fprintf(&b, "  // service %d of the estate\n  \"service-%03d\": {\"hosts\": [\"service-%03d.institution.example\"], \"slots\": %d, \"timeout\": \"2s\", \"idempotent\": [\"GET\", \"HEAD\"]},\n", i, i, i, slots)
	}
	b.WriteString("}}\n")
	return b.String()
}

func measureEstate(b *testing.B, services int) EstateSlope {
	text := testEstate(services, 0)
	s := EstateSlope{Services: services, TextBytes: len(text), PackedBytes: len(estate.Gzip([]byte(text)))}
	proposer, state := estate.NewState(), estate.NewState()
	var changes []*apiv1.Change
	begin := time.Now()
	for v := range 20 {
		changes = append(changes, compiledChange(b, proposer, services, v))
	}
	s.ProposeMillis = float64(time.Since(begin).Microseconds()) / float64(len(changes)) / 1000
	i := 0
	s.ApplyMillis = micros(len(changes), func() {
		state.Apply(uint64(i+1), changes[i])
		i++
	}) / 1000
	snapshot, err := estate.Marshal(state.Snapshot())
	assert.NilError(b, err)
	s.SnapshotBytes = len(snapshot)
	return s
}

// compiledChange returns the change that makes a text of one version that of the next, as a replica
// proposes it, and applies it to the state.
func compiledChange(b *testing.B, state *estate.State, services, version int) *apiv1.Change {
	text := []byte(testEstate(services, version))
	doc, problems := estate.Parse(text)
	assert.Assert(b, len(problems) == 0, "%v", problems)
	submit := &apiv1.SubmitChange{Institution: "a", BaseRevision: uint64(version), TextGzip: estate.Gzip(text)}
	change := &apiv1.Change{Id: fmt.Sprint(version), Operator: "mai", UnixMs: 1764700000000, Kind: &apiv1.Change_Submit{Submit: submit}}
	submit.Compiled = state.Compile(change, doc)
	state.Apply(uint64(version+1), proto.CloneOf(change))
	return change
}

func pickNanos(n int) float64 {
	p := balancer.NewPool(leastoutstanding.New(rand.New(rand.NewPCG(1, 1))))
	var list []balancer.Candidate
	for i := range n {
		list = append(list, balancer.Candidate{Host: fmt.Sprint(i), Slots: 4})
	}
	p.Update(list)
	return micros(200_000, func() { p.Done(0, p.Pick(0, nil), true) }) * 1000
}

func gateNanos() float64 {
	g := gate.New("a", gate.Config{Slots: 20, Queue: 40, Siblings: true, ReportsPerSecond: 500, BytesPerSecond: 80_000}, 0)
	var siblings []gate.Sibling
	for i := range 8 {
		siblings = append(siblings, gate.Sibling{Host: fmt.Sprint(i)})
	}
	g.SetSiblings(siblings)
	now, h := time.Duration(0), gate.Handle(0)
	return micros(200_000, func() {
		h++
		now += 100 * time.Microsecond
		g.Arrive(now, gate.Request{Handle: h, ID: gate.AttemptID{Request: [2]uint64{1, uint64(h)}}, Caller: "c", Deadline: now + time.Second, Movable: true})
		now += 100 * time.Microsecond
		g.Finish(now, h, gate.Completed)
	}) * 1000
}

// startReplica runs one control replica within this process.
func startReplica(b *testing.B, folder string) (*operator.Client, *process.Process, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	address := l.Addr().String()
	assert.NilError(b, l.Close())
	if !wal.HasIdentity(folder) {
		assert.NilError(b, wal.WriteIdentity(folder, wal.Identity{MemberID: 1, Name: "c", Founders: map[string]wal.Member{"c": {ID: 1, Address: address}}}))
	}
	p, err := process.Open(&settings.Settings{Host: "c", Control: &settings.Control{Name: "c", Address: address, Listen: address, DataFolder: folder}}, nil)
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = p.Run(ctx); close(done) }()
	return &operator.Client{Control: controlclient.New(nil, []string{address}, "")}, p, func() { cancel(); <-done }
}

func measureSubmit(b *testing.B, workers int) SubmitSlope {
	client, p, stop := startReplica(b, filepath.Join(b.TempDir(), "data"))
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := client.Submit(ctx, []byte(testEstate(10, 0)), 0, "first")
	assert.NilError(b, err)
	const each = 150
	syncs := p.Replica.Vars()["control_syncs"].String()
	start := time.Now()
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			for i := range each {
				_, _ = client.Drain(ctx, fmt.Sprintf("host-%d", w), i%2 == 0, fmt.Sprintf("%d-%d", w, i))
			}
		})
	}
	wait.Wait()
	took := time.Since(start)
	var before, after float64
	_, _ = fmt.Sscan(syncs, &before)
	_, _ = fmt.Sscan(p.Replica.Vars()["control_syncs"].String(), &after)
	changes := float64(workers * each)
	return SubmitSlope{Workers: workers, PerSecond: changes / took.Seconds(), SyncsPerChange: (after - before) / changes, SyncMicros: syncMicros(b)}
}

// syncMicros returns the time of one small write and sync on this disk, in microseconds.
func syncMicros(b *testing.B) float64 {
	f, err := os.Create(filepath.Join(b.TempDir(), "sync"))
	assert.NilError(b, err)
	defer f.Close()
	return micros(200, func() {
		_, _ = f.Write(make([]byte, 200))
		_ = f.Sync()
	})
}

func measureRecovery(b *testing.B, services, entries int) RecoverySlope {
	folder := filepath.Join(b.TempDir(), "data")
	assert.NilError(b, wal.WriteIdentity(folder, wal.Identity{MemberID: 1, Name: "c", Founders: map[string]wal.Member{"c": {ID: 1, Address: "127.0.0.1:1"}}}))
	log, _, _, err := wal.Open(folder)
	assert.NilError(b, err)
	proposer := estate.NewState()
	for i := range entries {
		data, err := proto.Marshal(compiledChange(b, proposer, services, i))
		assert.NilError(b, err)
		assert.NilError(b, log.Append([]*apiv1.LogEntry{{Term: 1, Index: uint64(i + 1), Data: data}}, nil))
	}
	assert.NilError(b, log.Append(nil, &apiv1.HardState{Term: 1, Commit: uint64(entries)}))
	assert.NilError(b, log.Flush(true))
	size := log.Size()
	assert.NilError(b, log.Close())
	start := time.Now()
	_, p, stop := startReplica(b, folder)
	for p.Replica.Revision() < uint64(entries) {
		time.Sleep(time.Millisecond)
	}
	took := time.Since(start)
	stop()
	return RecoverySlope{Services: services, Entries: entries, LogBytes: size, Millis: float64(took.Milliseconds())}
}
