//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// stress mixes faults and checks that requests which may run once do, that a refusal is true, and that
// answers are those of their requests.
func stress(l *lab) (string, error) {
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS_TO_PLAY"))
	seconds = max(seconds, 30)
	zones := []string{"a", "b", "c"}
	if err := l.addControls(3, 1, zones); err != nil {
		return "", err
	}
	for i := range 6 {
		if _, err := l.addNode(zones[i%3], []string{"one", "two"}[i/3], 6); err != nil {
			return "", err
		}
	}
	routes := map[string]any{"u1": route("u1.example", "unsafe", "one", 1.2, 0.5, 2), "u2": route("u2.example", "upload", "two", 1.2, 0.5, 2), "s1": route("s1.example", "safe", "one", 1, 0.4, 2), "s2": route("s2.example", "safe", "two", 1, 0.4, 2)}
	if err := l.put(configuration("00000001", "", routes, "one", "two")); err != nil {
		return "", err
	}
	if err := l.awaitReady("s1.example", "s2.example"); err != nil {
		return "", err
	}
	for _, n := range l.nodes {
		n.server.faulty = 0.03
	}
	begin := time.Now()
	over := func() bool { return time.Since(begin) > time.Duration(seconds)*time.Second }
	var faults, clients sync.WaitGroup
	if l.trouble {
		faults.Go(func() {
			for !over() {
				time.Sleep(time.Duration(300+rand.IntN(900)) * time.Millisecond)
				n := l.nodes[rand.IntN(len(l.nodes))]
				switch rand.IntN(6) {
				case 0:
					l.log("fault: kill %s", n.name)
					n.signal(syscall.SIGKILL)
					n.wait(time.Second)
					time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
					_ = n.run()
				case 1:
					l.log("fault: freeze %s", n.name)
					n.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
					n.signal(syscall.SIGCONT)
				case 2:
					l.log("fault: server of %s crashes and starts again under its id", n.name)
					n.server.kill()
					time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
					_ = n.server.runAs(n.server.id)
				case 3:
					l.log("fault: server of %s is replaced", n.name)
					n.server.kill()
					time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
					_ = n.server.run()
				case 4:
					l.log("fault: SIGTERM %s", n.name)
					n.signal(syscall.SIGTERM)
					n.wait(7 * time.Second)
					_ = n.run()
				case 5:
					c := l.controls[rand.IntN(len(l.controls))]
					l.log("fault: kill %s", c.name)
					c.signal(syscall.SIGKILL)
					c.wait(time.Second)
					_ = c.run()
				}
			}
		})
	}
	var mu sync.Mutex
	var all []*request
	for range 40 {
		clients.Go(func() {
			for !over() {
				n := l.nodes[rand.IntN(len(l.nodes))]
				method, host, size := http.MethodGet, "s1.example", 0
				switch rand.IntN(6) {
				case 0:
					host = "s2.example"
				case 1, 2:
					method, host, size = http.MethodPost, "u1.example", rand.IntN(3000)
				case 3, 4:
					method, host, size = http.MethodPost, "u2.example", []int{100, 20000, 60000, 100000, 300000}[rand.IntN(5)]
				}
				var body []byte
				if method == http.MethodPost {
					body = bytes.Repeat([]byte("b"), size)
				}
				r := newRequest(method, host, fmt.Sprintf("/x/%d?work=%d&bytes=%d", rand.IntN(1000), rand.IntN(250), rand.IntN(20000)), 1200, body)
				limit := 1700 * time.Millisecond
				if rand.IntN(15) == 0 {
					limit = time.Duration(rand.IntN(400)) * time.Millisecond
				}
				_, _, _ = r.waitFor(n.callers(), limit)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			}
		})
	}
	clients.Wait()
	faults.Wait()
	time.Sleep(2 * time.Second)
	runs, known := map[string]int{}, map[string]*request{}
	sizes := map[string]int{}
	for _, n := range l.nodes {
		n.server.mu.Lock()
		for id, r := range n.server.runs {
			runs[id] += r.times
			sizes[id] = r.received
		}
		n.server.mu.Unlock()
	}
	problems := 0
	problem := func(format string, args ...any) {
		problems++
		l.say(format, args...)
	}
	statuses := map[int]int{}
	for _, r := range all {
		known[r.id] = r
		statuses[r.status]++
		unsafe := r.method == http.MethodPost
		if unsafe && runs[r.id] > 1 {
			problem("TWICE: %s ran %d times", r.id, runs[r.id])
		}
		if unsafe && runs[r.id] > 0 && (r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421) {
			problem("REFUSED: %s was answered %d and has run", r.id, r.status)
		}
		if r.status != 0 && !r.whole {
			problem("MIXED: %s got %d, stamp %q", r.id, r.status, r.stamp)
		}
		if r.status == 200 && (r.stamp == "" || runs[r.id] == 0) {
			problem("MIXED: %s got 200, stamp %q, runs %d", r.id, r.stamp, runs[r.id])
		}
		if r.status == 200 && unsafe && sizes[r.id] != len(r.body) {
			problem("UNASKED: %s ran with %d bytes of %d", r.id, sizes[r.id], len(r.body))
		}
	}
	for id := range runs {
		if known[id] == nil && id != "" {
			l.log("ran without a known request (readiness): %s", id)
		}
	}
	l.say("%d requests; answers by status: %v", len(all), statuses)
	if problems > 0 {
		return fmt.Sprintf("%d problems", problems), nil
	}
	return "", nil
}
