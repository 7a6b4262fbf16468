// Package e2e tests the two binaries as separate processes on loopback. Every
// verdict is a state that is reached, however long it takes, or a count that
// must hold; none hangs on how fast the machine is.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
	"cactuspath/internal/testport"
)

// patience bounds every wait; only a failure reaches it.
const patience = 90 * time.Second

var binaries string

func TestMain(m *testing.M) {
	if v := os.Getenv(bareRelayEnv); v != "" {
		runBareRelay(v)
		return
	}
	folder, err := os.MkdirTemp("", "cactuspath-e2e-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", folder+"/", "cactuspath/cmd/cactuspath", "cactuspath/cmd/cactusctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	binaries = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// proc is one process that a test started.
type proc struct {
	name string
	args []string
	// env is added to the environment of the process.
	env  []string
	cmd  *exec.Cmd
	log  *syncBuffer
	done chan struct{}
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// cluster is a set of processes with their addresses.
type cluster struct {
	t       testing.TB
	folder  string
	control []string
	// advertised are the addresses by which control replicas are reached: those
	// of cuts where a test puts them in between.
	advertised []string
	replicas   []*proc
	nodes      []*nodeProc
	client     *operator.Client
	// tls is the settings' tls block, or empty.
	tls string
	// ctlTLS are cactusctl's flags for it.
	ctlTLS []string
	// watch has nodes watch control replicas, as small sites do.
	watch bool
}

type nodeProc struct {
	*proc
	host, callers, peer, admin string
}

func newCluster(t testing.TB, replicas int) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir()}
	c.control = testport.Addresses(t, replicas)
	c.advertised = c.control
	return c
}

// start founds the control replicas and starts them.
func (c *cluster) start() *cluster {
	for i := range c.control {
		c.writeReplica(i, true)
		c.mustRun("cactuspath", "init", "--settings", c.replicaFile(i))
		c.replicas = append(c.replicas, c.spawn(fmt.Sprintf("control-%d", i+1), "cactuspath", "run", "--settings", c.replicaFile(i)))
	}
	c.client = &operator.Client{Control: controlclient.New(nil, c.control, ""), Name: "tester"}
	return c
}

func (c *cluster) replicaFile(i int) string {
	return filepath.Join(c.folder, fmt.Sprintf("control-%d.jsonc", i+1))
}

func (c *cluster) dataFolder(i int) string {
	return filepath.Join(c.folder, fmt.Sprintf("data-%d", i+1))
}

func (c *cluster) writeReplica(i int, founders bool) {
	var list []string
	for j, a := range c.advertised {
		list = append(list, fmt.Sprintf("%q: %q", fmt.Sprintf("control-%d", j+1), a))
	}
	found := ""
	if founders {
		found = `"founders": {` + strings.Join(list, ", ") + `},`
	}
	c.write(c.replicaFile(i), fmt.Sprintf(`{
  "host": "control-%d", "dataCenter": "dc-a", "region": "r",
  "controlReplicas": [%s], %s
  "control": {"name": "control-%d", "address": %q, "listen": %q, "dataFolder": %q, %s},
}`, i+1, c.replicaList(), c.tls, i+1, c.advertised[i], c.control[i], c.dataFolder(i), found))
}

func (c *cluster) replicaList() string {
	quoted := make([]string, len(c.advertised))
	for i, a := range c.advertised {
		quoted[i] = fmt.Sprintf("%q", a)
	}
	return strings.Join(quoted, ", ")
}

func (c *cluster) write(file, text string) {
	c.t.Helper()
	assert.NilError(c.t, os.WriteFile(file, []byte(text), 0o600))
}

// addNode starts a node process and, if service is not empty, a stand-in
// backend server process beside it.
func (c *cluster) addNode(service string) *nodeProc {
	c.t.Helper()
	return c.addNodeIn("dc-a", service)
}

// addNodeIn is addNode in a data centre.
func (c *cluster) addNodeIn(dataCenter, service string) *nodeProc {
	c.t.Helper()
	return c.addNodeWith(nodeSetup{dataCenter: dataCenter, service: service})
}

// nodeSetup is what a test wants of a node.
type nodeSetup struct {
	dataCenter, service string
	// env is added to the environment of the node's process.
	env []string
	// before, if not nil, puts something before the listener for other nodes, and
	// returns the address by which they reach it.
	before func(peer string) string
}

func (c *cluster) addNodeWith(setup nodeSetup) *nodeProc {
	c.t.Helper()
	a := testport.Addresses(c.t, 3)
	n := &nodeProc{host: fmt.Sprintf("host-%d", len(c.nodes)+1), callers: a[0], peer: a[1], admin: a[2]}
	peerAddress := n.peer
	if setup.before != nil {
		peerAddress = setup.before(n.peer)
	}
	file := filepath.Join(c.folder, n.host+".jsonc")
	c.write(file, fmt.Sprintf(`{
  "host": %q, "dataCenter": %q, "region": "r", "stopTimeout": "60s",
  "controlReplicas": [%s], %s
  "node": {"callers": %q, "peer": %q, "peerAddress": %q, "admin": %q, "watchControl": %t},
}`, n.host, setup.dataCenter, c.replicaList(), c.tls, n.callers, n.peer, peerAddress, n.admin, c.watch))
	n.proc = c.spawnWith(setup.env, n.host, "cactuspath", "run", "--settings", file)
	c.nodes = append(c.nodes, n)
	if setup.service != "" {
		c.addBackend(n, setup.service)
	}
	return n
}

func (c *cluster) addBackend(n *nodeProc, service string) *proc {
	return c.spawn("backend-of-"+n.host, "cactuspath", "backend", "--service", service, "--admin", n.admin)
}

// spawn starts a process that ends with the test at the latest.
func (c *cluster) spawn(name, binary string, args ...string) *proc {
	c.t.Helper()
	return c.spawnWith(nil, name, binary, args...)
}

func (c *cluster) spawnWith(env []string, name, binary string, args ...string) *proc {
	c.t.Helper()
	p := &proc{name: name, args: append([]string{binary}, args...), env: env}
	p.start(c.t)
	c.t.Cleanup(func() {
		p.kill()
		if c.t.Failed() {
			c.t.Logf("--- log of %s\n%s", name, p.log)
		}
	})
	return p
}

func (p *proc) start(t testing.TB) {
	t.Helper()
	if p.log == nil {
		p.log = &syncBuffer{}
	}
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	assert.NilError(t, p.cmd.Start())
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// freeze stops the process and waits until each of its threads stands still. The
// signal returns earlier: of 400 on a busy machine 13 left a thread running for up
// to 7 ms, in which a process answers a request that a test sends to a frozen one.
func (p *proc) freeze(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(t, "all threads of the process stand still", func() bool { return p.frozen(t) })
}

func (p *proc) frozen(t testing.TB) bool {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	assert.NilError(t, err)
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false
		}
		// The state follows the name, which is in parentheses.
		_, fields, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(fields, "T") {
			return false
		}
	}
	return len(files) > 0
}

// kill ends the process at once, as a power loss does.
func (p *proc) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *proc) restart(t testing.TB) {
	t.Helper()
	p.kill()
	p.start(t)
}

// mustRun runs a command to its end and returns what it printed.
func (c *cluster) mustRun(binary string, args ...string) string {
	c.t.Helper()
	code, out := c.run(binary, args...)
	assert.Equal(c.t, code, 0, "%s %v: %s", binary, args, out)
	return out
}

func (c *cluster) run(binary string, args ...string) (code int, out string) {
	cmd := exec.Command(filepath.Join(binaries, binary), args...)
	text, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		c.t.Fatalf("%s: %v", binary, err)
	}
	return cmd.ProcessState.ExitCode(), string(text)
}

// ctl runs cactusctl against the control replicas.
func (c *cluster) ctl(args ...string) (code int, out string) {
	return c.run("cactusctl", append([]string{"--control", strings.Join(c.control, ","), "--as", "tester", "--timeout", "60s"}, append(args, c.ctlTLS...)...)...)
}

func (c *cluster) estateFile(name, text string) string {
	file := filepath.Join(c.folder, name)
	c.write(file, text)
	return file
}

// eventually waits until the condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func contextOf(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// estateText is an estate of one institution with the named services.
func estateText(note string, services ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "// %s\n{\"institution\": \"trial\", \"services\": {", note)
	for _, s := range services {
		fmt.Fprintf(&b, "%q: {\"hosts\": [\"%s.example\"], \"slots\": 4, \"timeout\": \"20s\"}, ", s, s)
	}
	b.WriteString("}}\n")
	return b.String()
}

// submit has a text accepted on top of the newest and in force on all nodes.
func (c *cluster) submit(text string) uint64 {
	c.t.Helper()
	ctx := contextOf(c.t)
	shown, err := c.client.Show(ctx, "trial")
	assert.NilError(c.t, err)
	record, err := c.client.Submit(ctx, []byte(text), shown.Revision, operator.NewChangeID())
	assert.NilError(c.t, err)
	_, err = c.client.WaitInForce(ctx, record.Revision, len(c.nodes))
	assert.NilError(c.t, err)
	return record.Revision
}

// request sends one request for a service through a node.
func (n *nodeProc) request(method, service, path string, body io.Reader) (*http.Response, string, error) {
	req, err := http.NewRequest(method, "http://"+n.callers+path, body)
	if err != nil {
		return nil, "", err
	}
	req.Host = service + ".example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// serves waits until the node answers for the service.
func (n *nodeProc) serves(t testing.TB, service string) {
	t.Helper()
	eventually(t, n.host+" answers for "+service, func() bool {
		resp, _, err := n.request(http.MethodGet, service, "/", nil)
		return err == nil && resp.StatusCode == http.StatusOK
	})
}

// knows waits until a node knows the number of endpoints.
func (n *nodeProc) knows(t testing.TB, endpoints int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s knows %d endpoints", n.host, endpoints), func() bool {
		return number(n.vars(t), "directory_known_endpoints") == float64(endpoints)
	})
}

// vars reads a node's metrics.
func (n *nodeProc) vars(t testing.TB) map[string]any {
	t.Helper()
	resp, err := http.Get("http://" + n.admin + "/debug/vars")
	assert.NilError(t, err)
	defer resp.Body.Close()
	out := map[string]any{}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

func (n *nodeProc) revision(t testing.TB) uint64 {
	t.Helper()
	return uint64(n.vars(t)["configuration_revision"].(float64))
}

// leader waits until one replica leads and returns its place in the list.
func (c *cluster) leader() int {
	c.t.Helper()
	index := -1
	eventually(c.t, "a replica leads", func() bool {
		s, err := c.client.Status(contextOf(c.t))
		if err != nil {
			return false
		}
		for i := range c.replicas {
			if s.Log.Name == fmt.Sprintf("control-%d", i+1) {
				index = i
				return true
			}
		}
		return false
	})
	return index
}

func (c *cluster) audit() []*apiv1.AuditRecord {
	c.t.Helper()
	records, err := c.client.Audit(contextOf(c.t), 0, "", 0)
	assert.NilError(c.t, err)
	return records
}

func logStatusRequest() *connect.Request[apiv1.LogStatusRequest] {
	return connect.NewRequest(&apiv1.LogStatusRequest{})
}

// answers tells whether the node's admin listener is up.
func answers(n *nodeProc) bool {
	resp, err := http.Get("http://" + n.admin + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// ready tells whether the node says that callers may be sent to it.
func (n *nodeProc) ready(t testing.TB) bool {
	t.Helper()
	resp, err := http.Get("http://" + n.admin + "/readyz")
	assert.NilError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// putServer announces a backend server to the node and tells whether it was taken in.
func (n *nodeProc) putServer(announcement string) bool {
	req, err := http.NewRequest(http.MethodPut, "http://"+n.admin+"/v1/server", strings.NewReader(announcement))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// server is what the node says of its backend server.
func (n *nodeProc) server(t testing.TB) map[string]any {
	t.Helper()
	resp, err := http.Get("http://" + n.admin + "/v1/server")
	assert.NilError(t, err)
	defer resp.Body.Close()
	out := map[string]any{}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}
