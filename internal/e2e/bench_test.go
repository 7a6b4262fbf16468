package e2e

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/capacity"
	"cactuspath/internal/loadgen"
	"cactuspath/internal/testport"
)

var (
	recordDir = flag.String("record", "", "directory for measurements")
	duration  = flag.Duration("duration", 10*time.Second, "duration of the measurement at each rate")
)

// writeMeasurement writes a measurement to the directory given by -record, if any.
func writeMeasurement[T any](t testing.TB, file, description, command string, data []T) {
	t.Helper()
	if *recordDir == "" {
		return
	}
	text, err := json.MarshalIndent(capacity.Run[T]{What: description, Command: command, Date: time.Now().UTC().Format(time.DateOnly), Cores: runtime.NumCPU(), Data: data}, "", "  ")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(*recordDir, file), append(text, '\n'), 0o644))
}

// BenchmarkPath measures the latency added by nodes: requests are sent to the backend server
// directly, through its own node and through two nodes, alternating within one run.
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
	direct := backendAddress(t, n)
	path := "/?sleep=1ms"
	// Two processes that only forward bytes show the cost of two additional processes on this
	// machine, independently of what they do.
	bare := bareRelay(t, bareRelay(t, direct))
	targets := []loadgen.Target{
		{Name: "direct", Address: direct, Host: "hello.example", Path: path},
		{Name: "one node", Address: n.callers, Host: "hello.example", Path: path},
		{Name: "two nodes", Address: front.callers, Host: "hello.example", Path: path},
		{Name: "two bare relays", Address: bare, Host: "hello.example", Path: path},
	}
	loadgen.Run(t.Context(), targets, 200, 2*time.Second, 1)
	var runs []capacity.PathRun
	for _, rate := range []float64{58, 500, 2000, 5000} {
		r := loadgen.Run(t.Context(), targets, rate, *duration, 1)
		run := capacity.PathRun{Rate: rate, Results: r, AddedP50: r[2].P50 - r[0].P50, AddedP99: r[2].P99 - r[0].P99, BareP50: r[3].P50 - r[0].P50, BareP99: r[3].P99 - r[0].P99}
		runs = append(runs, run)
		for _, x := range r {
			fmt.Printf("rate %5.0f %-10s n %6d errors %d p50 %5d p99 %5d p99.9 %6d max %6d us\n", rate, x.Name, x.Count, x.Errors, x.P50, x.P99, x.P999, x.Max)
		}
		fmt.Printf("rate %5.0f two bare relays add p50 %d us, p99 %d us\n", rate, run.BareP50, run.BareP99)
		fmt.Printf("rate %5.0f two nodes add p50 %d us, p99 %d us; resident %d MB (endpoint's node), %d MB (caller's node)\n",
			rate, run.AddedP50, run.AddedP99, residentMB(t, n.process), residentMB(t, front.process))
	}
	writeMeasurement(t, "path.json", "latency added by two nodes, open loop, 1 ms backend server", "go test ./internal/e2e -run '^$' -bench Path -benchtime 1x", runs)
}

// newBenchCluster starts one control replica, a node with a backend server, and a node for callers.
func newBenchCluster(t testing.TB) *cluster {
	c := newCluster(t, 1).start()
	n := c.addNode("")
	c.spawn("backend-of-"+n.host, "cactuspath", "backend", "--service", "hello", "--admin", n.admin, "--slots", "200")
	front := c.addNode("")
	c.submit(estateText("bench", "hello"))
	front.waitServing(t, "hello")
	n.waitServing(t, "hello")
	return c
}

func backendAddress(t testing.TB, n *nodeProcess) string {
	t.Helper()
	address := n.serverStatus(t)["address"].(string)
	assert.Assert(t, strings.Contains(address, ":"))
	return address
}

// bareRelayEnv is an environment variable that makes the test binary forward bytes between two
// addresses, given as "LISTEN>TO".
const bareRelayEnv = "CACTUSPATH_E2E_BARE_RELAY"

func bareRelay(t testing.TB, to string) string {
	t.Helper()
	listen := testport.Addresses(t, 1)[0]
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), bareRelayEnv+"="+listen+">"+to)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	eventually(t, "the bare relay listens", func() bool {
		conn, err := net.Dial("tcp", listen)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	return listen
}

func runBareRelay(spec string) {
	listen, to, _ := strings.Cut(spec, ">")
	l, err := net.Listen("tcp", listen)
	if err != nil {
		panic(err)
	}
	c := &partitionProxy{listener: l, target: to, conns: map[net.Conn]bool{}}
	c.accept()
}
