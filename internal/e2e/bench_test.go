package e2e

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/loadgen"
)

var (
	record   = flag.String("record", "", "folder to write measurements to")
	duration = flag.Duration("duration", 10*time.Second, "how long each rate is measured")
)

// measurement is one run, as it is kept in docs/measurements.
type measurement struct {
	What    string `json:"what"`
	Command string `json:"command"`
	Date    string `json:"date"`
	Cores   int    `json:"cores"`
	Data    any    `json:"data"`
}

func keep(t testing.TB, file, what, command string, data any) {
	t.Helper()
	if *record == "" {
		return
	}
	text, err := json.MarshalIndent(measurement{what, command, time.Now().UTC().Format(time.DateOnly), runtime.NumCPU(), data}, "", "  ")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(*record, file), append(text, '\n'), 0o644))
}

type pathRun struct {
	RatePerTarget float64          `json:"ratePerTarget"`
	Results       []loadgen.Result `json:"results"`
	AddedP50      int64            `json:"twoNodesAddedP50us"`
	AddedP99      int64            `json:"twoNodesAddedP99us"`
}

// BenchmarkPath measures what the path adds: the stand-in asked directly, through
// its own node, and through two nodes, in turn within one run.
//
//	go test ./internal/e2e -run '^$' -bench Path -benchtime 1x -args -record ../../docs/measurements
func BenchmarkPath(b *testing.B) {
	for b.Loop() {
		measurePath(b)
	}
}

func measurePath(b *testing.B) {
	t := b
	c := newBenchCluster(t)
	n, front := c.nodes[0], c.nodes[1]
	direct := standinAddress(t, n)
	path := "/?sleep=1ms"
	targets := []loadgen.Target{
		{Name: "direct", Address: direct, Host: "hello.example", Path: path},
		{Name: "one node", Address: n.callers, Host: "hello.example", Path: path},
		{Name: "two nodes", Address: front.callers, Host: "hello.example", Path: path},
	}
	loadgen.Run(t.Context(), targets, 200, 2*time.Second, 1)
	var runs []pathRun
	for _, rate := range []float64{58, 500, 2000} {
		r := loadgen.Run(t.Context(), targets, rate, *duration, 1)
		run := pathRun{rate, r, r[2].P50 - r[0].P50, r[2].P99 - r[0].P99}
		runs = append(runs, run)
		for _, x := range r {
			fmt.Printf("rate %5.0f %-10s n %6d errors %d p50 %5d p99 %5d p99.9 %6d max %6d us\n", rate, x.Name, x.Count, x.Errors, x.P50, x.P99, x.P999, x.Max)
		}
		fmt.Printf("rate %5.0f two nodes add p50 %d us, p99 %d us; resident %d MB (endpoint's node), %d MB (caller's node)\n",
			rate, run.AddedP50, run.AddedP99, residentMB(t, n.proc), residentMB(t, front.proc))
	}
	keep(t, "path.json", "latency added by two nodes, open loop, 1 ms backend server", "go test ./internal/e2e -run '^$' -bench Path -benchtime 1x", runs)
}

// newBenchCluster is one control replica, a node with a stand-in, and a node
// for callers.
func newBenchCluster(t testing.TB) *cluster {
	c := newCluster(t, 1).start()
	n := c.addNode("")
	c.spawn("backend-of-"+n.host, "cactuspath", "backend", "--service", "hello", "--admin", n.admin, "--slots", "200")
	front := c.addNode("")
	c.submit(estateText("bench", "hello"))
	front.serves(t, "hello")
	n.serves(t, "hello")
	return c
}

func standinAddress(t testing.TB, n *nodeProc) string {
	t.Helper()
	address := n.server(t)["address"].(string)
	assert.Assert(t, strings.Contains(address, ":"))
	return address
}
