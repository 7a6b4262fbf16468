//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["timeout"] = timeoutCase }

const (
	routeTimeout = time.Second
	// freezeTime is how long a machine stands still, freezes how often one does.
	freezeTime = 4 * time.Second
	freezes    = 2
	// requestInterval is the time between two requests, serverSlots what a server runs at once.
	requestInterval = 10 * time.Millisecond
	serverSlots     = 18
	// clientLimit is how long the clients wait. It is longer than the route's timeout.
	clientLimit = 6 * time.Second
	workTime    = 300 * time.Millisecond
)

// timeoutCase freezes a node whose server answers in parts. The answers have no length and end with
// their connections. The clients are at another machine, which runs and is connected all the time.
func timeoutCase(l *lab) (bool, error) {
	var machines []*machine
	for _, service := range []string{"signoff", "snaglist", "snaglist", "snaglist"} {
		m, err := l.addMachine(service)
		if err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	for _, m := range machines {
		if _, err := l.startServer(m, serverSlots, answerInParts); err != nil {
			return false, err
		}
	}
	routes := map[string]route{"list": {Host: "snag.example", PathPrefix: "/list/", Kind: "safe", TimeoutS: routeTimeout.Seconds(), TargetS: 0.4, Priority: 2, Service: "snaglist", MaxAttempts: 2}}
	if err := l.configure(routes, "signoff", "snaglist"); err != nil {
		return false, err
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact + configApply)

	var mu sync.Mutex
	var outcomes []outcome
	var wait sync.WaitGroup
	stop := make(chan struct{})
	wait.Go(func() {
		ticker := time.NewTicker(requestInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			wait.Go(func() {
				o := get(machines[0], "snag.example", "/list/a", clientLimit)
				l.log("client: %v", o)
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, o)
			})
		}
	})
	time.Sleep(4 * time.Second)
	for range freezes {
		if l.trouble {
			l.log("the node of %s is stopped for %v", machines[1].name, freezeTime)
			machines[1].node.signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if l.trouble {
			machines[1].node.signal(syscall.SIGCONT)
			l.log("the node of %s continues", machines[1].name)
		}
		time.Sleep(8 * time.Second)
	}
	close(stop)
	wait.Wait()

	served, unanswered, late := 0, 0, 0
	for _, o := range outcomes {
		if o.complete && o.status == http.StatusOK {
			served++
		}
		if o.took() > routeTimeout {
			unanswered++
		}
		if o.took() > routeTimeout+500*time.Millisecond {
			late++
		}
	}
	l.log("%d requests, %d served; %d had no final answer at the route's timeout, %d of these none half a second later", len(outcomes), served, unanswered, late)
	fmt.Printf("%d requests, %d served, %d without a final answer at the timeout, %d half a second later\n", len(outcomes), served, unanswered, late)
	if served < len(outcomes)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(outcomes))
	}
	return late >= 8 && 4*late > unanswered, nil
}

// answerInParts sends the head and a part of the answer at once and the rest when its work is done.
// The answer has no length and ends with the connection.
func answerInParts(s *server, c net.Conn, r *http.Request, _ []byte) bool {
	part := make([]byte, 2000)
	for i := range part {
		part[i] = 'a' + byte(i%26)
	}
	if _, err := io.WriteString(c, s.head(r)+"Connection: close\r\n\r\n"+string(part)); err != nil {
		return false
	}
	time.Sleep(workTime)
	_, _ = c.Write(part)
	return false
}
