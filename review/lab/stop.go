//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	nodesPerZone = 3
	// rollGap is the pause between the stops of a rolling restart, as the sites have it.
	rollGap = 1300 * time.Millisecond
	// stopsFrom is when the rolling restart begins, and playFor how long clients send.
	stopsFrom, playFor = 3 * time.Second, 14 * time.Second
)

// stopSite starts two zones with three nodes each, and one service.
func stopSite(l *lab, kind string, timeoutS float64, slots int) error {
	zones := []string{"a", "b"}
	if err := l.addControls(3, 1, zones); err != nil {
		return err
	}
	for _, zone := range zones {
		for range nodesPerZone {
			if _, err := l.addNode(zone, "snaglist", slots); err != nil {
				return err
			}
		}
	}
	err := l.put(configuration("00000001", "", map[string]any{"r": route("list.example", kind, "snaglist", timeoutS, timeoutS*0.4, 2)}, "snaglist"))
	if err != nil {
		return err
	}
	return l.awaitReady("list.example")
}

// readiness is what the platform knows of the nodes. It asks each of them once a second.
type readiness struct {
	lab    *lab
	mu     sync.Mutex
	misses map[*node]int
}

func (l *lab) watchReadiness(until time.Time) *readiness {
	p := &readiness{lab: l, misses: map[*node]int{}}
	for i, n := range l.nodes {
		go func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for time.Now().Before(until) {
				p.ask(n)
				time.Sleep(time.Second)
			}
		}()
	}
	return p
}

func (p *readiness) ask(n *node) {
	ready := n.ready()
	p.mu.Lock()
	defer p.mu.Unlock()
	if ready {
		p.misses[n] = 0
		return
	}
	p.misses[n]++
	p.lab.log("platform: %s is not ready, miss %d; %d of %d nodes of its zone are in", n.name, p.misses[n], p.in(n.zone), nodesPerZone)
}

// in counts the nodes of a zone that have not missed twice. The caller holds the lock.
func (p *readiness) in(zone string) (count int) {
	for _, n := range p.lab.nodes {
		if n.zone == zone && p.misses[n] < 2 {
			count++
		}
	}
	return count
}

// getsWork reports whether the clients on the machine of a node get new work: not after two misses,
// unless fewer than half of the zone's nodes are in.
func (p *readiness) getsWork(n *node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.misses[n] < 2 || 2*p.in(n.zone) < nodesPerZone
}

// stops holds when the nodes of zone a got SIGTERM.
type stops struct {
	mu sync.Mutex
	at map[*node]time.Time
}

// roll stops the nodes of zone a in turn and starts each again. Without trouble it does nothing.
func (l *lab) roll() *stops {
	s := &stops{at: map[*node]time.Time{}}
	go func() {
		time.Sleep(stopsFrom)
		for _, n := range l.nodes[:nodesPerZone] {
			s.mu.Lock()
			s.at[n] = time.Now()
			s.mu.Unlock()
			if l.trouble {
				l.log("SIGTERM to %s", n.name)
				n.signal(syscall.SIGTERM)
				go func() {
					if !n.wait(time.Duration(graceS * float64(time.Second))) {
						n.signal(syscall.SIGKILL)
						n.wait(time.Second)
					}
					time.Sleep(200 * time.Millisecond)
					l.closing.Lock()
					defer l.closing.Unlock()
					if !l.closed {
						_ = n.run()
					}
				}()
			}
			time.Sleep(rollGap)
		}
	}()
	return s
}

// judge applies the rule LOST to the requests that the clients of a node sent.
func (s *stops) judge(l *lab, n *node, all []*request, unread map[*request]bool) (lost, answered int) {
	s.mu.Lock()
	stopped := s.at[n]
	s.mu.Unlock()
	for _, r := range all {
		if judgeLost(l, n, r, stopped, unread[r]) {
			lost++
		}
		if r.status == http.StatusOK {
			answered++
		}
	}
	l.say("clients of %s: %d requests sent, %d answered 200, %d lost", n.name, len(all), answered, lost)
	return lost, answered
}

// judgeLost applies the rule LOST around a SIGTERM to one request.
func judgeLost(l *lab, n *node, r *request, stopped time.Time, unread bool) bool {
	grace := time.Duration(graceS * float64(time.Second))
	switch {
	case r.sent.IsZero() || r.status != 0 || r.err == nil:
		return false
	case r.ended.Sub(stopped) > grace+time.Second || r.ended.Before(stopped):
		return false
	case r.ended.Sub(r.sent) >= time.Duration(r.deadlineMs)*time.Millisecond:
		return false // the time limit, which is also the route's timeout, was reached
	case unread:
		return false // sent behind an answer that closes the connection
	}
	s, run := l.ranAt(r.id)
	if run == nil {
		l.log("not counted: %s was not passed on", r.id)
		return false
	}
	if r.sent.Sub(stopped) <= 3*time.Second && (run.end.IsZero() || run.end.Sub(stopped) >= grace*5/6) {
		l.log("not counted: %s was sent up to 3 s after SIGTERM and ran in the last sixth of the grace period", r.id)
		return false
	}
	l.say("LOST: %s, sent to %s %.3f s after its SIGTERM, was passed on to server %s, and its connection ended %.3f s after SIGTERM, %.3f s after it was sent, without an answer", r.id,
		n.name, r.sent.Sub(stopped).Seconds(), s.id, r.ended.Sub(stopped).Seconds(), r.ended.Sub(r.sent).Seconds())
	return true
}

// outcome ends a case of the rule LOST.
func (l *lab) outcome(lost, answered int) (string, error) {
	for _, n := range l.nodes[:nodesPerZone] {
		l.appendLog(n.process)
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d requests that were passed on ended without an answer around a SIGTERM of the machine that took them", lost), nil
	}
	if answered == 0 {
		return "", errors.New("no request was answered")
	}
	return "", nil
}

// stopPipelined restarts the nodes of a zone, in each of which a client always has more than one
// request under way on its connection.
func stopPipelined(l *lab) (string, error) {
	const interval, workMs, deadlineMs = 100 * time.Millisecond, 240, 1000
	if err := stopSite(l, "safe", deadlineMs/1000.0, 6); err != nil {
		return "", err
	}
	begin := time.Now()
	platform, stopped := l.watchReadiness(begin.Add(playFor)), l.roll()
	var clients []*pipeline
	var group sync.WaitGroup
	for _, n := range l.nodes[:nodesPerZone] {
		p := &pipeline{lab: l, name: "of " + n.name, address: n.callers(), closed: map[*request]bool{}}
		clients = append(clients, p)
		group.Go(func() {
			for i := 0; time.Since(begin) < playFor; i++ {
				if platform.getsWork(n) {
					if err := p.send(newRequest(http.MethodGet, "list.example", fmt.Sprintf("/list/%s-%d?work=%d&bytes=5000", n.name, i, workMs), deadlineMs, nil)); err != nil {
						l.log("client %s could not send: %v", p.name, err)
					}
				}
				time.Sleep(interval)
			}
		})
	}
	group.Wait()
	time.Sleep(1500 * time.Millisecond)
	lost, answered := 0, 0
	for i, p := range clients {
		p.mu.Lock()
		lostHere, answeredHere := stopped.judge(l, l.nodes[i], p.all, p.closed)
		p.mu.Unlock()
		lost, answered = lost+lostHere, answered+answeredHere
	}
	return l.outcome(lost, answered)
}

// stopBusy restarts the nodes of a zone whose own servers still work on requests, while their clients
// go on to send requests that may run once only, each on a connection of its own.
func stopBusy(l *lab) (string, error) {
	// 310 ms on average and 1.8 s at most, with a time limit of 2.5 s, is what a sheet has for
	// confirmations.
	const shortMs, longMs, deadlineMs, interval = 150, 1800, 2500, 70 * time.Millisecond
	if err := stopSite(l, "unsafe", deadlineMs/1000.0, 13); err != nil {
		return "", err
	}
	begin := time.Now()
	platform, stopped := l.watchReadiness(begin.Add(playFor)), l.roll()
	sent := make([][]*request, nodesPerZone)
	var group sync.WaitGroup
	for which, n := range l.nodes[:nodesPerZone] {
		group.Go(func() {
			for i := 0; time.Since(begin) < playFor; i++ {
				workMs := shortMs
				if i%4 == 0 {
					workMs = longMs
				}
				if platform.getsWork(n) {
					r := newRequest(http.MethodPost, "list.example", fmt.Sprintf("/confirm/%s-%d?work=%d&bytes=400", n.name, i, workMs), deadlineMs, bytes.Repeat([]byte("x"), 300))
					sent[which] = append(sent[which], r)
					group.Go(func() {
						l.log("client of %s sends %s, work %d ms", n.name, r.id, workMs)
						status, stamp, err := r.once(n.callers())
						l.log("client of %s got %d to %s, stamp %q, err %v", n.name, status, r.id, stamp, err)
					})
				}
				time.Sleep(interval)
			}
		})
	}
	group.Wait()
	lost, answered := 0, 0
	for i, n := range l.nodes[:nodesPerZone] {
		lostHere, answeredHere := stopped.judge(l, n, sent[i], nil)
		lost, answered = lost+lostHere, answered+answeredHere
	}
	return l.outcome(lost, answered)
}
