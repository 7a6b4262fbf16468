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
	// defaultNodes is the number of nodes without the -nodes flag.
	defaultNodes = 4
	// linkMbps is the bandwidth that the nodes assume for their links. Their large responses
	// take a part of it that makes some of them wait.
	linkMbps = 50
)

// process is a running program with everything needed to restart it.
type process struct {
	name, binary, settings string
	folder                 string
	links                  []*link

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	log    bytes.Buffer
	paused bool
	// lastAction is the time of the last signal or start. lastDisruption is the time of the last
	// signal other than SIGTERM and SIGHUP, or of the last start or end of a fault counted in
	// activeFaults. activeFaults is the number of active faults of the process's link and backend
	// server.
	lastAction, lastDisruption time.Time
	// started reports whether the process has written to its log since its last start. From then
	// on it handles signals.
	started      bool
	activeFaults int
	// stopRequestedAt is the time of SIGTERM, or zero if the process has been restarted since.
	stopRequestedAt time.Time
}

func (p *process) start(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAction, p.stopRequestedAt = time.Now(), time.Time{}
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

// maxLogBytes limits the stored log of a process. Older output is discarded.
const maxLogBytes = 4 << 20

type lockedWriter struct{ p *process }

func (w *lockedWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if w.p.log.Len() > maxLogBytes {
		w.p.log.Next(maxLogBytes / 2)
	}
	w.p.started = true
	return w.p.log.Write(b)
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAction = time.Now()
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		p.lastDisruption = p.lastAction
	}
	p.paused = s == syscall.SIGSTOP
	if s == syscall.SIGTERM {
		p.stopRequestedAt = p.lastAction
	}
	_ = p.cmd.Process.Signal(s)
}

func (p *process) terminate(s syscall.Signal) {
	if s != syscall.SIGTERM {
		p.signal(syscall.SIGCONT)
	}
	p.signal(s)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// undisturbed reports whether the process is not paused and has been neither signalled nor started
// within the last period.
func (p *process) undisturbed(period time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && time.Since(p.lastAction) > period
}

// onlyGracefulStops reports whether graceful stops and restarts are the only disturbances of the
// process since the given time.
func (p *process) onlyGracefulStops(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && p.activeFaults == 0 && p.lastDisruption.Before(since)
}

// stopRequested returns the time of SIGTERM, or zero if there is no stop in progress.
func (p *process) stopRequested() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequestedAt
}

// addFaults adds delta to the number of active faults: 1 when a fault begins and -1 when it ends.
func (p *process) addFaults(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.activeFaults += delta
	p.lastDisruption = time.Now()
}

// site consists of control replicas, nodes with their backend servers, and the links between them.
type site struct {
	replicas, nodes []*process
	callerAddresses []string
	backends        []*backend
	requests        *requestLog
	operator        *operator.Client
}

func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cactuspath")
	out, err := exec.Command("go", "build", "-o", path, "cactuspath/cmd/cactuspath").CombinedOutput()
	assert.NilError(t, err, string(out))
	return path
}

// newSite starts a site with its nodes distributed over the data centres.
func newSite(t *testing.T, dataCenters ...string) *site {
	binary, folder := buildBinary(t), t.TempDir()
	s := &site{requests: newRequestLog()}
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
		p.settings = s.writeSettings(t, folder, name, map[string]any{"host": name, "dataCenter": dataCenters[0], "region": "r", "controlReplicas": addresses[:3], "control": map[string]any{
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
			p.terminate(syscall.SIGKILL)
		}
	})
	s.operator = &operator.Client{Control: controlclient.New(nil, addresses, ""), Name: "soak"}
	return s
}

func (s *site) addNode(t *testing.T, binary, folder, name, dataCenter string, control []string) {
	peer, callers, admin := testport.Address(t), testport.Address(t), testport.Address(t)
	k := newLink(t, peer)
	p := &process{name: name, binary: binary, links: []*link{k}}
	p.settings = s.writeSettings(t, folder, name, map[string]any{"host": name, "dataCenter": dataCenter, "region": "r", "controlReplicas": control, "stopTimeout": stopTimeout.String(), "linkMbps": linkMbps, "adapter": map[string]any{"name": platform.Name},
		"node": map[string]any{"callers": callers, "peer": peer, "peerAddress": k.address, "admin": admin, "watchControl": true}})
	s.nodes, s.callerAddresses = append(s.nodes, p), append(s.callerAddresses, callers)
	s.backends = append(s.backends, startBackend(t, admin, len(s.backends), s.requests))
}

func (s *site) writeSettings(t *testing.T, folder, name string, settings map[string]any) string {
	text, err := json.Marshal(settings)
	assert.NilError(t, err)
	path := filepath.Join(folder, name+".json")
	assert.NilError(t, os.WriteFile(path, text, 0o600))
	return path
}

// loseDisk deletes the data folder of a replica and changes its settings, so that after a restart
// it joins as a new member instead of founding the group again.
func (p *process) loseDisk(t *testing.T) {
	text, err := os.ReadFile(p.settings)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(p.settings, bytes.Replace(text, []byte(`"found":true`), []byte(`"found":false`), 1), 0o600))
	assert.NilError(t, os.RemoveAll(p.folder))
}
