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

// BenchmarkScale runs one data centre of 13, 50, 100 and 200 node processes and
// measures what control costs each.
//
//	go test ./internal/e2e -run '^$' -bench Scale -benchtime 1x -timeout 30m -args -record ../../docs/measurements
func BenchmarkScale(b *testing.B) {
	for b.Loop() {
		var runs []capacity.ScaleRun
		for _, n := range sizes(b) {
			b.Run(fmt.Sprint(n), func(b *testing.B) {
				r := measureScale(b, n)
				fmt.Printf("%+v\n", r)
				runs = append(runs, r)
			})
		}
		keep(b, "scale.json", "control of one data centre of node processes, no calls", "go test ./internal/e2e -run '^$' -bench Scale -benchtime 1x -timeout 30m", runs)
	}
}

var scaleSizes = flag.String("sizes", "13,50,100,200", "numbers of node processes that BenchmarkScale runs")

func sizes(b *testing.B) []int {
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
	eventually(b, "all nodes know their service's endpoints", func() bool { return knowAll(b, c) })
	time.Sleep(3 * time.Second)

	r := capacity.ScaleRun{Nodes: size}
	before, start := c.snapshots(b), time.Now()
	time.Sleep(scaleWindow)
	c.costs(b, &r, before, c.snapshots(b), time.Since(start))
	c.measureForce(b, &r, services)
	c.measureNotice(b, &r)
	return r
}

// announceAll announces a backend server beside every node and renews it.
func announceAll(b *testing.B, c *cluster) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	for i, n := range c.nodes {
		wait.Go(func() {
			for {
				n.putServer(fmt.Sprintf(`{"service": "service-%d", "address": "127.0.0.1:9"}`, i%scaleServices))
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

func knowAll(b *testing.B, c *cluster) bool {
	for i, n := range c.nodes {
		want := 0
		for j := range c.nodes {
			if j%scaleServices == i%scaleServices {
				want++
			}
		}
		if int(n.vars(b)["directory_known_endpoints"].(float64)) < want {
			return false
		}
	}
	return true
}

// procCost is a process's use of the machine so far.
type procCost struct {
	cpu   float64
	mb    float64
	relay bool
	vars  map[string]any
}

func (c *cluster) snapshots(b testing.TB) []procCost {
	var list []procCost
	for _, n := range c.nodes {
		v := n.vars(b)
		list = append(list, procCost{cpuSeconds(b, n.proc), float64(residentMB(b, n.proc)), v["directory_acts_as_relay"].(bool), v})
	}
	l := c.replicas[0]
	return append(list, procCost{cpu: cpuSeconds(b, l), mb: float64(residentMB(b, l))})
}

func (c *cluster) costs(b testing.TB, r *capacity.ScaleRun, before, after []procCost, took time.Duration) {
	seconds := took.Seconds()
	plain := 0.0
	for i := range c.nodes {
		cpu := (after[i].cpu - before[i].cpu) / seconds * 100
		r.FalseAlarms += number(after[i].vars, "directory_relay_false_alarms")
		r.FalseFailed += number(after[i].vars, "directory_relay_marked_failed")
		if after[i].relay {
			r.Relays++
			r.RelayCPU += cpu
			r.RelayMB = max(r.RelayMB, after[i].mb)
			continue
		}
		plain++
		r.NodeCPU += cpu
		r.NodeMB = max(r.NodeMB, after[i].mb)
		for _, name := range []string{"directory_bytes_in", "directory_bytes_out", "control_bytes_in", "control_bytes_out"} {
			r.NodeBytes += (number(after[i].vars, name) - number(before[i].vars, name)) / seconds
		}
		r.NodeMessages += (number(after[i].vars, "directory_heartbeats") - number(before[i].vars, "directory_heartbeats")) / seconds
	}
	r.NodeBytes /= plain
	r.NodeMessages /= plain
	r.NodeCPU /= plain
	r.RelayCPU /= float64(max(1, r.Relays))
	last := len(after) - 1
	r.LeaderCPU = (after[last].cpu - before[last].cpu) / seconds * 100
	r.LeaderMB = after[last].mb
}

func number(vars map[string]any, name string) float64 {
	v, _ := vars[name].(float64)
	return v
}

// measureForce submits changes and reads when each node applied them.
func (c *cluster) measureForce(b testing.TB, r *capacity.ScaleRun, services []string) {
	var took []float64
	for i := range scaleChanges {
		revision := c.submitOnly(b, estateText(fmt.Sprint("change ", i), append(services, fmt.Sprint("extra-", i))...))
		accepted := time.Now().UnixMilli()
		eventually(b, "in force everywhere", func() bool {
			for _, n := range c.nodes {
				if n.revision(b) < revision {
					return false
				}
			}
			return true
		})
		for _, n := range c.nodes {
			took = append(took, max(0, number(n.vars(b), "configuration_changed_unix_ms")-float64(accepted)))
		}
	}
	sort.Float64s(took)
	r.ForceP50, r.ForceP99, r.ForceMax = took[len(took)/2], took[len(took)*99/100], took[len(took)-1]
}

// submitOnly has a text accepted and does not wait for it to be in force.
func (c *cluster) submitOnly(b testing.TB, text string) uint64 {
	ctx := contextOf(b)
	shown, err := c.client.Show(ctx, "trial")
	assert.NilError(b, err)
	record, err := c.client.Submit(ctx, []byte(text), shown.Revision, fmt.Sprint("c-", time.Now().UnixNano()))
	assert.NilError(b, err)
	return record.Revision
}

// measureNotice kills a node that is no relay and waits until the others of its
// service dropped it.
func (c *cluster) measureNotice(b testing.TB, r *capacity.ScaleRun) {
	victim := -1
	for i, n := range c.nodes {
		if !n.vars(b)["directory_acts_as_relay"].(bool) {
			victim = i
		}
	}
	var peers []*nodeProc
	known := map[string]float64{}
	for i, n := range c.nodes {
		if i != victim && i%scaleServices == victim%scaleServices {
			peers = append(peers, n)
			known[n.host] = number(n.vars(b), "directory_known_endpoints")
		}
	}
	c.nodes[victim].kill()
	killed := time.Now().UnixMilli()
	for _, n := range peers {
		eventually(b, n.host+" dropped the dead node", func() bool { return number(n.vars(b), "directory_known_endpoints") < known[n.host] })
		r.NoticeMax = max(r.NoticeMax, number(n.vars(b), "directory_changed_unix_ms")-float64(killed))
	}
}

const ticksPerSecond = 100

// cpuSeconds is the processor time a process has used.
func cpuSeconds(t testing.TB, p *proc) float64 {
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
