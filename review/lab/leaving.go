//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// leavingRestart kills the node beside a server that leaves, starts it again, and lets a heartbeat of
// before arrive late. (KNOWN-RED.txt: TestServerThatLeavesByAnswerIsDrained.)
func leavingRestart(l *lab) (string, error) {
	zones := []string{"a", "b", "c"}
	if err := l.addControls(3, 1, zones); err != nil {
		return "", err
	}
	for i, zone := range zones {
		if _, err := l.addNode(zone, []string{"signoff", "snaglist", "snaglist"}[i], 6); err != nil {
			return "", err
		}
	}
	if err := l.put(configuration("00000001", "", map[string]any{"r": route("list.example", "safe", "snaglist", 1, 0.4, 2)}, "snaglist", "signoff")); err != nil {
		return "", err
	}
	if err := l.awaitReady("list.example"); err != nil {
		return "", err
	}
	front, beside := l.nodes[0], l.nodes[1]
	x := beside.server
	begin := time.Now()
	var mu sync.Mutex
	var all []*request
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; time.Since(begin) < 14*time.Second; i++ {
			clients.Go(func() {
				r := newRequest(http.MethodGet, "list.example", fmt.Sprintf("/list/%d?work=60&bytes=400", i), 1000, nil)
				_, _, _ = r.once(front.callers())
				mu.Lock()
				defer mu.Unlock()
				all = append(all, r)
			})
			time.Sleep(15 * time.Millisecond)
		}
	})
	time.Sleep(3 * time.Second)
	late := x.heartbeatBody()
	x.silentHeartbeats.Store(true)
	x.leaving.Store(true)
	if status := x.tell(http.MethodDelete, nil); status != http.StatusOK {
		return "", fmt.Errorf("the server's leave was answered %d", status)
	}
	l.log("server %s leaves, acknowledged", x.id)
	left := time.Now()
	time.Sleep(2500 * time.Millisecond)
	if l.trouble {
		l.log("SIGKILL to %s", beside.name)
		beside.signal(syscall.SIGKILL)
		beside.wait(time.Second)
		if err := beside.run(); err != nil {
			return "", err
		}
		for begin := time.Now(); !beside.ready() && time.Since(begin) < 5*time.Second; {
			time.Sleep(20 * time.Millisecond)
		}
		l.log("a heartbeat of before arrives late: %d", x.tell(http.MethodPut, late))
	}
	clients.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	reached, answered := 0, 0
	for _, r := range all {
		if r.status == http.StatusOK {
			answered++
		}
		if run := x.runs[r.id]; run != nil && run.begin.Sub(left) > 2*time.Second {
			reached++
			l.say("DRAIN: %s, sent %.3f s after the leave was acknowledged, reached the server", r.id, r.sent.Sub(left).Seconds())
		}
	}
	l.say("%d requests sent, %d answered 200, %d reached the server that left", len(all), answered, reached)
	l.appendLog(beside.process)
	if answered == 0 {
		return "", errors.New("no request was answered")
	}
	if reached > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a server later than drain_s after its leave was acknowledged", reached), nil
	}
	return "", nil
}
