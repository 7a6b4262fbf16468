package e2e

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/capacity"
)

const (
	scaleServices = 10
	scaleWindow   = 20 * time.Second
	scaleChanges  = 8
)

// BenchmarkScale runs a data centre with 13, 50, 100 and 200 node processes and measures the cost
// of the control plane for each process.
//
//	go test ./internal/e2e -run '^$' -bench Scale -benchtime 1x -timeout 30m -args -record ../../docs/measurements
func BenchmarkScale(b *testing.B) {
	for b.Loop() {
		var runs []capacity.ScaleRun
		for _, n := range nodeCounts(b) {
			b.Run(fmt.Sprint(n), func(b *testing.B) {
				r := measureScale(b, n)
				fmt.Printf("%+v\n", r)
				runs = append(runs, r)
			})
		}
		writeMeasurement(b, "scale.json", "control of one data centre of node processes, no calls", "go test ./internal/e2e -run '^$' -bench Scale -benchtime 1x -timeout 30m", runs)
	}
}

var scaleSizes = flag.String("sizes", "13,50,100,200", "numbers of node processes that BenchmarkScale runs")

func nodeCounts(b *testing.B) []int {
	var list []int
	for _, s := range strings.Split(*scaleSizes, ",") {
		n, err := strconv.Atoi(s)
		assert.NilError(b, err)
		list = append(list, n)
	}
	return list
}

func measureScale(b *testing.B, size int) capacity.ScaleRun {
	c := newCluster(b, 1).start()
	for range size {
		c.addNode("")
	}
	services := make([]string, scaleServices)
	for i := range services {
		services[i] = fmt.Sprintf("service-%d", i)
	}
	c.submit(estateText("scale", services...))
	stop := announceAll(b, c)
	defer stop()
	eventually(b, "all nodes know their service's endpoints", func() bool { return allEndpointsKnown(b, c) })
	time.Sleep(3 * time.Second)

	r := capacity.ScaleRun{Nodes: size}
	before, start := c.usage(b), time.Now()
	time.Sleep(scaleWindow)
	c.computeUsage(b, &r, before, c.usage(b), time.Since(start))
	c.measureApplyTime(b, &r, services)
	c.measureFailureDetection(b, &r)
	return r
}

// announceAll announces a backend server to every node repeatedly until stop is called.
func announceAll(b *testing.B, c *cluster) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	for i, n := range c.nodes {
		wait.Go(func() {
			for {
				n.announceServer(fmt.Sprintf(`{"service": "service-%d", "address": "127.0.0.1:9"}`, i%scaleServices))
				select {
				case <-done:
					return
				case <-time.After(4 * time.Second):
				}
			}
		})
	}
	return func() { close(done); wait.Wait() }
}

func allEndpointsKnown(b *testing.B, c *cluster) bool {
	for i, n := range c.nodes {
		want := 0
		for j := range c.nodes {
			if j%scaleServices == i%scaleServices {
				want++
			}
		}
		if int(n.metrics(b)["directory_known_endpoints"].(float64)) < want {
			return false
		}
	}
	return true
}

// processUsage is the cumulative resource usage of a process.
type processUsage struct {
	cpu        float64
	residentMB float64
	relay      bool
	vars       map[string]any
}

func (c *cluster) usage(b testing.TB) []processUsage {
	var list []processUsage
	for _, n := range c.nodes {
		v := n.metrics(b)
		list = append(list, processUsage{cpuSeconds(b, n.process), float64(residentMB(b, n.process)), v["directory_acts_as_relay"].(bool), v})
	}
	l := c.replicas[0]
	return append(list, processUsage{cpu: cpuSeconds(b, l), residentMB: float64(residentMB(b, l))})
}

func (c *cluster) computeUsage(b testing.TB, r *capacity.ScaleRun, before, after []processUsage, took time.Duration) {
	seconds := took.Seconds()
	plainNodes := 0.0
	for i := range c.nodes {
		cpu := (after[i].cpu - before[i].cpu) / seconds * 100
		r.FalseAlarms += metric(after[i].vars, "directory_relay_false_alarms")
		r.FalseFailed += metric(after[i].vars, "directory_relay_marked_failed")
		if after[i].relay {
			r.Relays++
			r.RelayCPU += cpu
			r.RelayMB = max(r.RelayMB, after[i].residentMB)
			continue
		}
		plainNodes++
		r.NodeCPU += cpu
		r.NodeMB = max(r.NodeMB, after[i].residentMB)
		for _, name := range []string{"directory_bytes_in", "directory_bytes_out", "control_bytes_in", "control_bytes_out"} {
			r.NodeBytes += (metric(after[i].vars, name) - metric(before[i].vars, name)) / seconds
		}
		r.NodeMessages += (metric(after[i].vars, "directory_heartbeats") - metric(before[i].vars, "directory_heartbeats")) / seconds
	}
	r.NodeBytes /= plainNodes
	r.NodeMessages /= plainNodes
	r.NodeCPU /= plainNodes
	r.RelayCPU /= float64(max(1, r.Relays))
	last := len(after) - 1
	r.LeaderCPU = (after[last].cpu - before[last].cpu) / seconds * 100
	r.LeaderMB = after[last].residentMB
}

func metric(vars map[string]any, name string) float64 {
	v, _ := vars[name].(float64)
	return v
}

// measureApplyTime submits changes and measures when each node has applied them.
func (c *cluster) measureApplyTime(b testing.TB, r *capacity.ScaleRun, services []string) {
	var took []float64
	for i := range scaleChanges {
		revision := c.submitOnly(b, estateText(fmt.Sprint("change ", i), append(services, fmt.Sprint("extra-", i))...))
		accepted := time.Now().UnixMilli()
		eventually(b, "the revision is in force on all nodes", func() bool {
			for _, n := range c.nodes {
				if n.revision(b) < revision {
					return false
				}
			}
			return true
		})
		for _, n := range c.nodes {
			took = append(took, max(0, metric(n.metrics(b), "configuration_changed_unix_ms")-float64(accepted)))
		}
	}
	sort.Float64s(took)
	r.InForceP50, r.InForceP99, r.InForceMax = took[len(took)/2], took[len(took)*99/100], took[len(took)-1]
}

// submitOnly submits a configuration text based on the latest revision and returns the new revision
// without waiting until it is in force.
func (c *cluster) submitOnly(b testing.TB, text string) uint64 {
	ctx := testContext(b)
	shown, err := c.client.Show(ctx, "trial")
	assert.NilError(b, err)
	record, err := c.client.Submit(ctx, []byte(text), shown.Revision, fmt.Sprint("c-", time.Now().UnixNano()))
	assert.NilError(b, err)
	return record.Revision
}

// measureFailureDetection kills a node that is not a relay and waits until the other nodes of its
// service have removed its endpoint.
func (c *cluster) measureFailureDetection(b testing.TB, r *capacity.ScaleRun) {
	killed := -1
	for i, n := range c.nodes {
		if !n.metrics(b)["directory_acts_as_relay"].(bool) {
			killed = i
		}
	}
	var peers []*nodeProcess
	known := map[string]float64{}
	for i, n := range c.nodes {
		if i != killed && i%scaleServices == killed%scaleServices {
			peers = append(peers, n)
			known[n.host] = metric(n.metrics(b), "directory_known_endpoints")
		}
	}
	c.nodes[killed].kill()
	killedAt := time.Now().UnixMilli()
	for _, n := range peers {
		eventually(b, n.host+" has removed the killed node", func() bool { return metric(n.metrics(b), "directory_known_endpoints") < known[n.host] })
		r.FailureDetectionMax = max(r.FailureDetectionMax, metric(n.metrics(b), "directory_changed_unix_ms")-float64(killedAt))
	}
}

const ticksPerSecond = 100

// cpuSeconds returns the processor time used by a process.
func cpuSeconds(t testing.TB, p *process) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseFloat(fields[11], 64)
	assert.NilError(t, err)
	system, err := strconv.ParseFloat(fields[12], 64)
	assert.NilError(t, err)
	return (user + system) / ticksPerSecond
}
