//go:build review2

package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["member"] = memberCase }

const (
	// replicaFreeze is how long a control replica stands still, downTime how long two are down that
	// come back with empty disks, and recovery the time in which the system works again.
	replicaFreeze = 4 * time.Second
	downTime      = 1200 * time.Millisecond
	recovery      = 15 * time.Second
	catchUp       = 4 * time.Second
)

// memberCase replaces a control replica as planned: an empty one is added, then the old one is stopped
// for good. In between, another one stands still for some seconds. Later two others lose their disks,
// right after a configuration was acknowledged.
func memberCase(l *lab) (bool, error) {
	routes := map[string]route{"list": {Host: "snag.example", PathPrefix: "/list/", Kind: "safe", TimeoutS: 1, TargetS: 0.4, Priority: 2, Service: "snaglist", MaxAttempts: 2}}
	if err := l.configure(routes, "snaglist"); err != nil {
		return false, err
	}
	l.log("version %d is acknowledged", l.version)
	time.Sleep(contact)

	l.log("an empty replica is added")
	if _, err := l.addReplica(freeAddress(), "disk"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if l.trouble {
		l.log("%s stands still for %v", l.replicas[1].name, replicaFreeze)
		l.replicas[1].signal(syscall.SIGSTOP)
	}
	time.Sleep(replicaFreeze)
	if l.trouble {
		l.replicas[1].signal(syscall.SIGCONT)
		l.log("%s continues", l.replicas[1].name)
	}
	time.Sleep(2 * time.Second)
	l.log("%s is stopped for good", l.replicas[2].name)
	l.replicas[2].signal(syscall.SIGTERM)
	time.Sleep(2*catchUp + contact)

	if err := l.configure(routes, "snaglist", "signoff"); err != nil {
		return false, err
	}
	l.log("version %d is acknowledged; %s and %s lose their disks", l.version, l.replicas[3].name, l.replicas[4].name)
	for _, p := range l.replicas[3:5] {
		p.kill()
	}
	time.Sleep(downTime)
	for i := 3; i < 5; i++ {
		if _, err := l.addReplica(l.core[i], "second-disk"); err != nil {
			return false, err
		}
	}
	want := fmt.Sprintf("%08x", l.version)
	began := time.Now()
	last := "no answer"
	for time.Since(began) < 2*recovery {
		for i, address := range l.core {
			if i == 2 {
				continue
			}
			status, text := readConfig(address)
			l.log("operator: GET from %s: %d %.130s", address, status, text)
			if status == http.StatusOK && strings.Contains(text, `"version":"`+want+`"`) {
				l.log("version %s is read back %.3f s after the machines are back", want, time.Since(began).Seconds())
				fmt.Println("the configuration was read back after", time.Since(began).Round(time.Millisecond))
				return false, nil
			}
			last = fmt.Sprintf("%s: %d %.200s", address, status, text)
		}
		time.Sleep(500 * time.Millisecond)
	}
	l.log("version %s is not read back in %v; the last answer: %s", want, 2*recovery, last)
	fmt.Println("the acknowledged configuration was not read back in", 2*recovery)
	return true, nil
}

// addReplica starts a control replica with an empty data folder, which is not one of the founders.
func (d *deployment) addReplica(address, disk string) (*process, error) {
	number := len(d.core) + 1
	for i, a := range d.core {
		if a == address {
			number = i + 1
		}
	}
	name := fmt.Sprintf("core-%d", number)
	if number > len(d.core) {
		d.core = append(d.core, address)
	}
	p, err := d.run(name+"-"+disk, replicaSettings(name, address, filepath.Join(d.folder, name+"-"+disk), d.core[:3], false))
	if err != nil {
		return nil, err
	}
	d.replicas = append(d.replicas, p)
	return p, nil
}

// readConfig reads the configuration from a replica, and follows a redirect to the leader.
func readConfig(address string) (status int, text string) {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + address + names.ConfigPath)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b := make([]byte, 1<<16)
	n := 0
	for n < len(b) {
		m, err := resp.Body.Read(b[n:])
		n += m
		if err != nil {
			break
		}
	}
	return resp.StatusCode, strings.TrimSpace(string(b[:n]))
}
