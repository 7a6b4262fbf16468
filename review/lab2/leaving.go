//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leaving"] = leavingCase }

const (
	idleMachines   = 7
	killedFor      = time.Second
	lateBeatAfter  = 200 * time.Millisecond
	leavingLasts   = 8 * time.Second
	leavingTimeout = time.Second
	leavingWork    = 150 * time.Millisecond
)

// leavingCase kills the node beside a server that leaves, and all control replicas, at the same moment.
// A heartbeat that the server sent before it began to leave arrives late, after the node is back. The
// machine where the requests begin runs all the while.
func leavingCase(l *lab) (bool, error) {
	front, err := l.addMachine("signoff")
	if err != nil {
		return false, err
	}
	beside, err := l.addMachine("defects")
	if err != nil {
		return false, err
	}
	for range idleMachines {
		if _, err := l.addMachine("snaglist"); err != nil {
			return false, err
		}
	}
	var servers []*server
	for _, m := range l.machines {
		s, err := l.startServer(m, 6, answerAfterWork)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	leaving := servers[1]
	routes := map[string]route{"raise": {Host: "snag.example", PathPrefix: "/raise/", Kind: "safe", TimeoutS: leavingTimeout.Seconds(), TargetS: 0.4, Priority: 2, Service: "defects", MaxAttempts: 2}}
	if err := l.configure(routes, "signoff", "snaglist", "defects"); err != nil {
		return false, err
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact + configApply)

	var mu sync.Mutex
	sent := map[string]time.Time{}
	var firstLeaving time.Time
	var wait sync.WaitGroup
	stop := make(chan struct{})
	wait.Go(func() {
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			wait.Go(func() {
				o := get(front, "snag.example", "/raise/a", leavingTimeout)
				l.log("client: %v, leaving %t", o, o.leaving)
				mu.Lock()
				defer mu.Unlock()
				sent[o.id] = o.sent
				if o.leaving && firstLeaving.IsZero() {
					firstLeaving = o.ended
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	late := leaving.beatBody("ready")
	l.log("%s begins to leave", leaving.id)
	leaving.draining.Store(true)
	time.Sleep(100 * time.Millisecond)
	ok, _ := leaving.beat()
	l.log("its node has acknowledged that it drains: %t", ok)
	time.Sleep(drainTime + 500*time.Millisecond)
	if l.trouble {
		l.log("the node of %s and all control replicas are killed", beside.name)
		killed := append([]*process{beside.node}, l.replicas...)
		for _, p := range killed {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(killedFor)
		for _, p := range killed {
			<-p.done
			if err := p.start(); err != nil {
				return false, err
			}
		}
		l.log("they are started again")
	}
	time.Sleep(lateBeatAfter)
	for range 20 {
		ok, _ := leaving.send(late)
		if ok {
			l.log("a heartbeat of before arrives late and is acknowledged")
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(leavingLasts - 3*time.Second)
	close(stop)
	wait.Wait()

	if firstLeaving.IsZero() {
		return false, fmt.Errorf("no answer of the leaving server was passed on")
	}
	tooLate := 0
	for _, a := range leaving.arrivals {
		if at, known := sent[a.id]; known && at.Sub(firstLeaving) > drainTime {
			tooLate++
			l.log("%s was sent %.3f s after the first answer that said that the server leaves, and has reached it", a.id, at.Sub(firstLeaving).Seconds())
		}
	}
	fmt.Printf("%d requests, %d sent later than %v after the first answer that said that the server leaves have reached it\n", len(sent), tooLate, drainTime)
	return tooLate > 0, nil
}

// answerAfterWork answers after some work.
func answerAfterWork(s *server, c net.Conn, r *http.Request, body []byte) bool {
	time.Sleep(leavingWork)
	return answerShort(s, c, r, body)
}

// beatBody returns the body of a heartbeat that the server sends now.
func (s *server) beatBody(state string) []byte {
	body, _ := json.Marshal(map[string]any{"service": s.m.service, "address": s.m.app, "zone": "zone-a", "version": "v1", "slots": s.slots, "state": state,
		"cold_left_s": 0, "seq": s.seq.Add(1), "born": s.born})
	return body
}

// send sends a heartbeat.
func (s *server) send(body []byte) (ok bool, at time.Time) {
	req, err := http.NewRequest(http.MethodPut, "http://"+s.m.control+names.InstancesPath+s.id, bytes.NewReader(body))
	if err != nil {
		return false, time.Now()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return false, time.Now()
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2, time.Now()
}
