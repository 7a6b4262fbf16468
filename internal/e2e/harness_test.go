// Package e2e tests the two binaries as separate processes on loopback. Every check waits for a
// state, however long that takes, or verifies a count. No result depends on the speed of the
// machine.
package e2e

import (
	"bytes"
	"cmp"
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

// waitTimeout limits every wait. It is reached only on failure.
const waitTimeout = 90 * time.Second

var binariesDir string

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
	binariesDir = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is a process started by a test.
type process struct {
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

// cluster consists of the control replicas, nodes and backend servers of a test.
type cluster struct {
	t                testing.TB
	folder           string
	controlAddresses []string
	// advertisedAddresses contains the addresses at which the control replicas are reached: those
	// of partition proxies in tests that use them.
	advertisedAddresses []string
	replicas            []*process
	nodes               []*nodeProcess
	client              *operator.Client
	// tlsSettings is the tls block of the settings, or empty.
	tlsSettings string
	// ctlTLSFlags contains the TLS flags of cactusctl.
	ctlTLSFlags []string
	// extraSettings are further top-level settings of replicas and nodes, each with a comma.
	extraSettings string
	// descriptors is the number that the settings allow a process.
	descriptors int
	// watchControl makes nodes watch the control replicas, as at small sites.
	watchControl bool
}

type nodeProcess struct {
	*process
	host, callers, peer, admin string
}

func newCluster(t testing.TB, replicas int) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir()}
	c.controlAddresses = testport.Addresses(t, replicas)
	c.advertisedAddresses = c.controlAddresses
	return c
}

// start initializes and starts the control replicas as founders. All are initialized first: a founder
// refuses to be initialized once the others have elected a leader.
func (c *cluster) start() *cluster {
	for i := range c.controlAddresses {
		c.writeReplicaSettings(i, true)
		c.mustRun("cactuspath", "init", "--settings", c.replicaSettingsFile(i))
	}
	for i := range c.controlAddresses {
		c.replicas = append(c.replicas, c.spawn(fmt.Sprintf("control-%d", i+1), "cactuspath", "run", "--settings", c.replicaSettingsFile(i)))
	}
	c.client = &operator.Client{Control: controlclient.New(nil, c.controlAddresses, ""), Name: "tester"}
	return c
}

func (c *cluster) replicaSettingsFile(i int) string {
	return filepath.Join(c.folder, fmt.Sprintf("control-%d.jsonc", i+1))
}

func (c *cluster) dataFolder(i int) string {
	return filepath.Join(c.folder, fmt.Sprintf("data-%d", i+1))
}

func (c *cluster) writeReplicaSettings(i int, withFounders bool) {
	var list []string
	for j, a := range c.advertisedAddresses {
		list = append(list, fmt.Sprintf("%q: %q", fmt.Sprintf("control-%d", j+1), a))
	}
	foundersSetting := ""
	if withFounders {
		foundersSetting = `"founders": {` + strings.Join(list, ", ") + `},`
	}
	c.writeFile(c.replicaSettingsFile(i), fmt.Sprintf(`{
  "host": "control-%d", "dataCenter": "dc-a", "region": "r",
  "controlReplicas": [%s], %s
  "control": {"name": "control-%d", "address": %q, "listen": %q, "dataFolder": %q, %s},
}`, i+1, c.replicaList(), c.tlsSettings+c.extraSettings, i+1, c.advertisedAddresses[i], c.controlAddresses[i], c.dataFolder(i), foundersSetting))
}

func (c *cluster) replicaList() string {
	quoted := make([]string, len(c.advertisedAddresses))
	for i, a := range c.advertisedAddresses {
		quoted[i] = fmt.Sprintf("%q", a)
	}
	return strings.Join(quoted, ", ")
}

func (c *cluster) writeFile(file, text string) {
	c.t.Helper()
	assert.NilError(c.t, os.WriteFile(file, []byte(text), 0o600))
}

// addNode starts a node and, if service is not empty, a backend server process for it.
func (c *cluster) addNode(service string) *nodeProcess {
	c.t.Helper()
	return c.addNodeIn("dc-a", service)
}

// addNodeIn starts a node in the given data centre and, if service is not empty, a backend server
// process for it.
func (c *cluster) addNodeIn(dataCenter, service string) *nodeProcess {
	c.t.Helper()
	return c.addNodeWith(nodeOptions{dataCenter: dataCenter, service: service})
}

// nodeOptions contains the options of a node.
type nodeOptions struct {
	dataCenter, service string
	// stopTimeout is the stop timeout of the node, or empty for one that no stop reaches.
	stopTimeout string
	// env is added to the environment of the node's process.
	env []string
	// interposePeer, if not nil, places a proxy in front of the peer listener and returns the
	// address at which other nodes reach it.
	interposePeer func(peer string) string
}

func (c *cluster) addNodeWith(options nodeOptions) *nodeProcess {
	c.t.Helper()
	a := testport.Addresses(c.t, 3)
	n := &nodeProcess{host: fmt.Sprintf("host-%d", len(c.nodes)+1), callers: a[0], peer: a[1], admin: a[2]}
	peerAddress := n.peer
	if options.interposePeer != nil {
		peerAddress = options.interposePeer(n.peer)
	}
	stopTimeout := cmp.Or(options.stopTimeout, "60s")
	file := filepath.Join(c.folder, n.host+".jsonc")
	c.writeFile(file, fmt.Sprintf(`{
  "host": %q, "dataCenter": %q, "region": "r", "stopTimeout": %q,
  "controlReplicas": [%s], %s
  "node": {"callers": %q, "peer": %q, "peerAddress": %q, "admin": %q, "watchControl": %t},
}`, n.host, options.dataCenter, stopTimeout, c.replicaList(), c.tlsSettings+c.extraSettings, n.callers, n.peer, peerAddress, n.admin, c.watchControl))
	n.process = c.spawnWith(options.env, n.host, "cactuspath", "run", "--settings", file)
	c.nodes = append(c.nodes, n)
	if options.service != "" {
		c.addBackend(n, options.service)
	}
	return n
}

func (c *cluster) addBackend(n *nodeProcess, service string) *process {
	return c.spawn("backend-of-"+n.host, "cactuspath", "backend", "--service", service, "--admin", n.admin)
}

// spawn starts a process that is killed at the end of the test.
func (c *cluster) spawn(name, binary string, args ...string) *process {
	c.t.Helper()
	return c.spawnWith(nil, name, binary, args...)
}

func (c *cluster) spawnWith(env []string, name, binary string, args ...string) *process {
	c.t.Helper()
	p := &process{name: name, args: append([]string{binary}, args...), env: env}
	p.start(c.t)
	c.t.Cleanup(func() {
		p.kill()
		if c.t.Failed() {
			c.t.Logf("--- log of %s\n%s", name, p.log)
		}
	})
	return p
}

func (p *process) start(t testing.TB) {
	t.Helper()
	if p.log == nil {
		p.log = &syncBuffer{}
	}
	p.cmd = exec.Command(filepath.Join(binariesDir, p.args[0]), p.args[1:]...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	assert.NilError(t, p.cmd.Start())
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// freeze stops the process and waits until all of its threads have stopped. The signal alone is not
// sufficient: of 400 processes on a busy machine, 13 had a thread that ran for up to 7 ms longer,
// in which a process could still respond to a request.
func (p *process) freeze(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(t, "all threads of the process have stopped", func() bool { return p.frozen(t) })
}

func (p *process) frozen(t testing.TB) bool {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	assert.NilError(t, err)
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false
		}
		// The state follows the process name in parentheses.
		_, fields, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(fields, "T") {
			return false
		}
	}
	return len(files) > 0
}

// kill terminates the process immediately, as a power loss does.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) restart(t testing.TB) {
	t.Helper()
	p.kill()
	p.start(t)
}

// mustRun runs a command that must succeed and returns its output.
func (c *cluster) mustRun(binary string, args ...string) string {
	c.t.Helper()
	code, out := c.run(binary, args...)
	assert.Equal(c.t, code, 0, "%s %v: %s", binary, args, out)
	return out
}

func (c *cluster) run(binary string, args ...string) (code int, out string) {
	cmd := exec.Command(filepath.Join(binariesDir, binary), args...)
	text, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		c.t.Fatalf("%s: %v", binary, err)
	}
	return cmd.ProcessState.ExitCode(), string(text)
}

// ctl runs cactusctl against the control replicas.
func (c *cluster) ctl(args ...string) (code int, out string) {
	return c.run("cactusctl", append([]string{"--control", strings.Join(c.controlAddresses, ","), "--as", "tester", "--timeout", "60s"}, append(args, c.ctlTLSFlags...)...)...)
}

func (c *cluster) estateFile(name, text string) string {
	file := filepath.Join(c.folder, name)
	c.writeFile(file, text)
	return file
}

// eventually waits until the condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// estateText returns the configuration text of an institution with the named services.
func estateText(note string, services ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "// %s\n{\"institution\": \"trial\", \"services\": {", note)
	for _, s := range services {
		fmt.Fprintf(&b, "%q: {\"hosts\": [\"%s.example\"], \"slots\": 4, \"timeout\": \"20s\"}, ", s, s)
	}
	b.WriteString("}}\n")
	return b.String()
}

// submit submits a configuration text based on the latest revision and waits until it is in force on
// all nodes.
func (c *cluster) submit(text string) uint64 {
	c.t.Helper()
	ctx := testContext(c.t)
	shown, err := c.client.Show(ctx, "trial")
	assert.NilError(c.t, err)
	record, err := c.client.Submit(ctx, []byte(text), shown.Revision, operator.NewChangeID())
	assert.NilError(c.t, err)
	_, err = c.client.WaitInForce(ctx, record.Revision, len(c.nodes))
	assert.NilError(c.t, err)
	return record.Revision
}

// request sends a request for a service through the node.
func (n *nodeProcess) request(method, service, path string, body io.Reader) (*http.Response, string, error) {
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

// waitServing waits until the node serves requests for the service.
func (n *nodeProcess) waitServing(t testing.TB, service string) {
	t.Helper()
	eventually(t, n.host+" serves "+service, func() bool {
		resp, _, err := n.request(http.MethodGet, service, "/", nil)
		return err == nil && resp.StatusCode == http.StatusOK
	})
}

// waitEndpoints waits until the node knows the given number of endpoints.
func (n *nodeProcess) waitEndpoints(t testing.TB, endpoints int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s knows %d endpoints", n.host, endpoints), func() bool {
		return metric(n.metrics(t), "directory_known_endpoints") == float64(endpoints)
	})
}

// metrics reads the node's metrics.
func (n *nodeProcess) metrics(t testing.TB) map[string]any {
	t.Helper()
	resp, err := http.Get("http://" + n.admin + "/debug/vars")
	assert.NilError(t, err)
	defer resp.Body.Close()
	out := map[string]any{}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

func (n *nodeProcess) revision(t testing.TB) uint64 {
	t.Helper()
	return uint64(n.metrics(t)["configuration_revision"].(float64))
}

// leader waits until there is a leader and returns its index.
func (c *cluster) leader() int {
	c.t.Helper()
	index := -1
	eventually(c.t, "there is a leader", func() bool {
		s, err := c.client.Status(testContext(c.t))
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
	records, err := c.client.Audit(testContext(c.t), 0, "", 0)
	assert.NilError(c.t, err)
	return records
}

func logStatusRequest() *connect.Request[apiv1.LogStatusRequest] {
	return connect.NewRequest(&apiv1.LogStatusRequest{})
}

// adminResponds reports whether the node's admin listener responds.
func adminResponds(n *nodeProcess) bool {
	resp, err := http.Get("http://" + n.admin + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// ready reports whether the node reports that it is ready for callers.
func (n *nodeProcess) ready(t testing.TB) bool {
	t.Helper()
	resp, err := http.Get("http://" + n.admin + "/readyz")
	assert.NilError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// announceServer announces a backend server to the node and reports whether the node accepted it.
func (n *nodeProcess) announceServer(announcement string) bool {
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

// serverStatus returns the node's report about its backend server.
func (n *nodeProcess) serverStatus(t testing.TB) map[string]any {
	t.Helper()
	resp, err := http.Get("http://" + n.admin + "/v1/server")
	assert.NilError(t, err)
	defer resp.Body.Close()
	out := map[string]any{}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}
