package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
	"cactuspath/internal/testport"
	"cactuspath/platform"
)

const (
	replicas = 5
	tolerate = 2
	// usualNodes is the size of a run without flags.
	usualNodes = 4
)

// process is one running program and how to start it again.
type process struct {
	name, binary, settings string
	folder                 string
	links                  []*link

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	log    bytes.Buffer
	paused bool
	// touched is when the soak last stopped, paused or started it, hurt when it last
	// did anything but to stop it as planned, to start it or to have it read its
	// settings. struck counts the faults under way of what joins it to others.
	touched, hurt time.Time
	// started: it wrote a line since it was last started; it handles signals by then.
	started bool
	struck  int
	// stopping is when it was told to stop as planned; zero unless it runs on since.
	stopping time.Time
}

func (p *process) start(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched, p.stopping = time.Now(), time.Time{}
	cmd := exec.Command(p.binary, "run", "--settings", p.settings)
	out := &lockedWriter{p: p}
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(t, cmd.Start())
	done := make(chan struct{})
	p.cmd, p.done, p.started = cmd, done, false
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

// keptLog bounds what is kept of a process's log, its end.
const keptLog = 4 << 20

type lockedWriter struct{ p *process }

func (w *lockedWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if w.p.log.Len() > keptLog {
		w.p.log.Next(keptLog / 2)
	}
	w.p.started = true
	return w.p.log.Write(b)
}

// signal sends a signal to the process that the soak started, by its id.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = time.Now()
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		p.hurt = p.touched
	}
	p.paused = s == syscall.SIGSTOP
	if s == syscall.SIGTERM {
		p.stopping = p.touched
	}
	_ = p.cmd.Process.Signal(s)
}

func (p *process) end(s syscall.Signal) {
	if s != syscall.SIGTERM {
		p.signal(syscall.SIGCONT)
	}
	p.signal(s)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// calm tells whether nothing was done to the process for a while.
func (p *process) calm(within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && time.Since(p.touched) > within
}

// onlyStopped tells whether the process was stopped as planned and started since
// then, at most.
func (p *process) onlyStopped(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && p.struck == 0 && p.hurt.Before(since)
}

// stoppingSince is when the process was told to stop as planned, or zero.
func (p *process) stoppingSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping
}

// strike notes that a fault of what joins the process to others begins (1) or ends (-1).
func (p *process) strike(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.struck += n
	p.hurt = time.Now()
}

// site is the whole: replicas, nodes with their backend servers, and the links
// between them.
type site struct {
	replicas, nodes []*process
	callers         []string
	backends        []*backend
	seen            *runs
	operator        *operator.Client
}

func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cactuspath")
	out, err := exec.Command("go", "build", "-o", path, "cactuspath/cmd/cactuspath").CombinedOutput()
	assert.NilError(t, err, string(out))
	return path
}

// newSite starts a site whose nodes are spread over the data centres.
func newSite(t *testing.T, dataCenters ...string) *site {
	binary, folder := buildBinary(t), t.TempDir()
	s := &site{seen: newRuns()}
	var listens, addresses []string
	var links []*link
	for range replicas {
		listen := testport.Address(t)
		k := newLink(t, listen)
		listens, addresses, links = append(listens, listen), append(addresses, k.address), append(links, k)
	}
	for i := range replicas {
		name := fmt.Sprint("control-", i+1)
		p := &process{name: name, binary: binary, folder: filepath.Join(folder, name), links: links[i : i+1]}
		p.settings = s.write(t, folder, name, map[string]any{"host": name, "dataCenter": dataCenters[0], "region": "r", "controlReplicas": addresses[:3], "control": map[string]any{
			"dataCenters": dataCenters,
			"name":        name, "address": addresses[i], "listen": listens[i], "dataFolder": p.folder, "group": map[string]any{"tolerate": tolerate, "found": true}}})
		s.replicas = append(s.replicas, p)
	}
	for i := range *nodeCount {
		s.addNode(t, binary, folder, fmt.Sprint("node-", i+1), dataCenters[i%len(dataCenters)], addresses[:3])
	}
	for _, p := range append(append([]*process{}, s.replicas...), s.nodes...) {
		p.start(t)
	}
	t.Cleanup(func() {
		for _, p := range append(s.nodes, s.replicas...) {
			p.end(syscall.SIGKILL)
		}
	})
	s.operator = &operator.Client{Control: controlclient.New(nil, addresses, ""), Name: "soak"}
	return s
}

func (s *site) addNode(t *testing.T, binary, folder, name, dataCenter string, control []string) {
	peer, callers, admin := testport.Address(t), testport.Address(t), testport.Address(t)
	k := newLink(t, peer)
	p := &process{name: name, binary: binary, links: []*link{k}}
	p.settings = s.write(t, folder, name, map[string]any{"host": name, "dataCenter": dataCenter, "region": "r", "controlReplicas": control, "stopTimeout": stopLimit.String(), "adapter": map[string]any{"name": platform.Name},
		"node": map[string]any{"callers": callers, "peer": peer, "peerAddress": k.address, "admin": admin, "watchControl": true}})
	s.nodes, s.callers = append(s.nodes, p), append(s.callers, callers)
	s.backends = append(s.backends, startBackend(t, admin, len(s.backends), s.seen))
}

func (s *site) write(t *testing.T, folder, name string, settings map[string]any) string {
	text, err := json.Marshal(settings)
	assert.NilError(t, err)
	path := filepath.Join(folder, name+".json")
	assert.NilError(t, os.WriteFile(path, text, 0o600))
	return path
}

// forget has a replica that is started again not found the group anew: its disk
// was lost, and it returns as a new member.
func (p *process) loseDisk(t *testing.T) {
	text, err := os.ReadFile(p.settings)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(p.settings, bytes.Replace(text, []byte(`"found":true`), []byte(`"found":false`), 1), 0o600))
	assert.NilError(t, os.RemoveAll(p.folder))
}
