//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// brokenOff has one of three servers break off a few of its answers, while clients pipeline.
func brokenOff(l *lab) (string, error) {
	if err := stopSite(l, "safe", 1, 6); err != nil {
		return "", err
	}
	n := l.nodes[0]
	const clients, interval, workMs, deadlineMs = 4, 30 * time.Millisecond, 80, 1000
	faulty := l.nodes[2].server
	const from, until, share = 2 * time.Second, 7500 * time.Millisecond, 0.02
	begin := time.Now()
	faulty.breakOff = func() bool {
		at := time.Since(begin)
		return l.trouble && at > from && at < until && rand.Float64() < share
	}
	var all []*pipeline
	var group sync.WaitGroup
	for c := range clients {
		p := &pipeline{lab: l, name: fmt.Sprintf("pipeliner-%d", c+1), address: n.callers(), closed: map[*request]bool{}}
		all = append(all, p)
		group.Go(func() {
			for i := 0; time.Since(begin) < 9*time.Second; i++ {
				_ = p.send(newRequest("GET", "list.example", fmt.Sprintf("/list/%d-%d?work=%d&bytes=5000", c, i, workMs), deadlineMs, nil))
				time.Sleep(interval)
			}
		})
	}
	group.Wait()
	time.Sleep(1500 * time.Millisecond)
	lost, answered, total := 0, 0, 0
	for _, p := range all {
		p.mu.Lock()
		for _, r := range p.all {
			total++
			if r.status == 200 {
				answered++
			}
			if r.status != 0 || r.err == nil || p.closed[r] || r.ended.Sub(r.sent) >= deadlineMs*time.Millisecond {
				continue
			}
			s, run := l.ranAt(r.id)
			if run == nil || s == faulty {
				continue
			}
			lost++
			l.say("LOST: %s was passed on to the sound server %s (%s), and its connection was closed %.3f s after it was sent, without an answer", r.id, s.id, run.outcome, r.ended.Sub(r.sent).Seconds())
		}
		p.mu.Unlock()
	}
	l.say("%d requests sent, %d answered 200, %d lost", total, answered, lost)
	if lost > 3 {
		return fmt.Sprintf("LOST: %d requests that were passed on to a sound server ended without an answer; 3 are allowed", lost), nil
	}
	return "", nil
}
