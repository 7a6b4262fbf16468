//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// A small deployment of separate processes on loopback addresses.

const (
	controlReplicas = 5
	tolerated       = 2
	// contact is the time after which processes that run and are connected count as in touch, and
	// configApply the time in which an acknowledged configuration is in force.
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	drainTime   = 2 * time.Second
)

// process is a process that the test has started.
type process struct {
	name string
	args []string
	log  *os.File
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) start() error {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// machine is a sidecar machine: a node and the address of the server beside it.
type machine struct {
	node                               *process
	name, service                      string
	outbound, ready, control, app, ops string
}

// deployment is the running system.
type deployment struct {
	folder   string
	program  string
	core     []string
	replicas []*process
	machines []*machine
	version  int
	// accounts are the client accounts of the configuration; nil for none.
	accounts map[string]any
	// trace records what is sent to the control replicas and what they answer.
	trace func(format string, args ...any)

	mu  sync.Mutex
	all []*process
}

// newDeployment starts the control replicas and waits for no more than their listeners.
func newDeployment(program string, trace func(string, ...any)) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, program: program, trace: trace}
	for range controlReplicas {
		d.core = append(d.core, freeAddress())
	}
	for i, address := range d.core {
		name := fmt.Sprintf("core-%d", i+1)
		settings := replicaSettings(name, address, filepath.Join(folder, name), d.core[:3], true)
		p, err := d.run(name, settings)
		if err != nil {
			return d, err
		}
		d.replicas = append(d.replicas, p)
	}
	return d, nil
}

// replicaSettings returns the settings of a control replica. Found is set at the first start of the
// whole system only.
func replicaSettings(name, address, folder string, seeds []string, found bool) map[string]any {
	return map[string]any{
		"host": name, "dataCenter": "zone-a", "region": "region", "controlReplicas": seeds, "allowPlainText": true, "gcPercent": 30, "learnedProfiles": true,
		"control": map[string]any{"name": name, "address": address, "dataFolder": folder, "dataCenters": []string{"zone-a"},
			"group": map[string]any{"tolerate": tolerated, "found": found}},
		"adapter": map[string]any{"name": "platform", "options": names.Options},
	}
}

// addMachine starts a node of a service and returns its machine.
func (d *deployment) addMachine(service string) (*machine, error) {
	m := &machine{name: fmt.Sprintf("side-%d", len(d.machines)+1), service: service, outbound: freeAddress(), ready: freeAddress(), control: freeAddress(), app: freeAddress()}
	settings := map[string]any{
		"host": m.name, "dataCenter": "zone-a", "region": "region", "controlReplicas": d.core[:3], "allowPlainText": true, "gcPercent": 30,
		"linkMbps": 1000, "learnedProfiles": true, "retryOrder": "by-need",
		"node":    map[string]any{"callers": m.outbound, "peer": freeAddress(), "admin": freeAddress(), "service": service, "backend": m.app, "watchControl": true},
		"adapter": map[string]any{"name": "platform", "listen": []string{m.ready, m.control}, "options": names.Options},
	}
	var err error
	m.node, err = d.run(m.name, settings)
	d.machines = append(d.machines, m)
	return m, err
}

func (d *deployment) run(name string, settings map[string]any) (*process, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(d.folder, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, args: []string{d.program, "run", "--settings", file}, log: log}
	if err := p.start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, p)
	return p, nil
}

// stop ends all processes and removes the folder unless keep is set.
func (d *deployment) stop(keep bool) {
	for _, p := range d.all {
		p.kill()
		_ = p.log.Close()
	}
	if !keep {
		_ = os.RemoveAll(d.folder)
	}
}

// freeAddress returns a free loopback address. The listener is closed again, so that a process can
// use the address.
func freeAddress() string {
	taken.Lock()
	defer taken.Unlock()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !taken.addresses[address] {
			taken.addresses[address] = true
			return address
		}
	}
}

var taken = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: map[string]bool{}}

// route is a route of a configuration.
type route struct {
	Host        string  `json:"host"`
	PathPrefix  string  `json:"path_prefix"`
	Kind        string  `json:"kind"`
	TimeoutS    float64 `json:"timeout_s"`
	TargetS     float64 `json:"target_latency_s"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
}

// configure sends a complete configuration until a replica acknowledges it.
func (d *deployment) configure(routes map[string]route, services ...string) error {
	table := map[string]any{}
	for _, s := range services {
		table[s] = map[string]any{"health_path": "/health", "max_conns": 220, "protocol": "h1", "tls": false}
	}
	base := d.version
	d.version++
	config := map[string]any{
		"version": fmt.Sprintf("%08x", d.version), "base_version": fmt.Sprintf("%08x", base), "routes": routes, "services": table,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
	if d.accounts != nil {
		config[names.AccountsTable] = d.accounts
	}
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return d.send(http.MethodPut, body)
}

// send sends a change of the configuration, unchanged, until a replica acknowledges it.
func (d *deployment) send(method string, body []byte) error {
	var last string
	for i := range 100 {
		req, err := http.NewRequest(method, "http://"+d.core[i%len(d.core)]+names.ConfigPath, bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := (&http.Client{Timeout: 2 * time.Second}).Do(req)
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			d.trace("operator: %s %.60s to %s: %d", method, body, req.URL.Host, resp.StatusCode)
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Sprintf("%d %s", resp.StatusCode, text)
		} else {
			last = err.Error()
			d.trace("operator: %s %.60s to %s: %v", method, body, req.URL.Host, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no replica has acknowledged the configuration: %s", last)
}

// awaitReady waits until the node of each machine says that it is ready.
func (d *deployment) awaitReady() error {
	for _, m := range d.machines {
		ok := false
		for range 150 {
			resp, err := http.Get("http://" + m.ready + names.ReadyPath)
			if err == nil {
				_ = resp.Body.Close()
				if ok = resp.StatusCode == http.StatusOK; ok {
					break
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !ok {
			return fmt.Errorf("the node of %s is not ready", m.name)
		}
	}
	return nil
}
