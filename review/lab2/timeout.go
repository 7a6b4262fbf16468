//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["timeout"] = func(l *lab) (bool, error) {
		return timeoutCase(l, frozenAnswers{
			service: "snaglist", kind: "safe", servers: 3, interval: 10 * time.Millisecond, answer: answerInParts,
			send: func(m *machine) outcome { return get(m, "snag.example", "/route/a", clientLimit) },
		})
	}
	cases["upload"] = func(l *lab) (bool, error) {
		return timeoutCase(l, frozenAnswers{
			service: "defects", kind: "upload", servers: 4, interval: 12500 * time.Microsecond, answer: answerUploadInParts,
			send: func(m *machine) outcome { return post(m, "snag.example", "/route/a", clientLimit, uploadBytes) },
		})
	}
}

// frozenAnswers is a case in which a machine stands still within answers that have begun.
type frozenAnswers struct {
	service, kind string
	// servers is the number of the service's servers.
	servers int
	// interval is the time between two requests.
	interval time.Duration
	send     func(*machine) outcome
	answer   func(*server, net.Conn, *http.Request, []byte) bool
}

const (
	routeTimeout = time.Second
	// freezeTime is how long a machine stands still, freezes how often one does.
	freezeTime = 4 * time.Second
	freezes    = 2
	// serverSlots is what a server runs at once.
	serverSlots = 18
	// clientLimit is how long the clients wait. It is longer than the route's timeout.
	clientLimit = 6 * time.Second
	// lookupTime and uploadTime are how long a server takes.
	lookupTime = 300 * time.Millisecond
	uploadTime = 500 * time.Millisecond
	// uploadBytes is the size of a picture.
	uploadBytes = 60_000
)

// timeoutCase freezes a node whose server answers in parts. The clients are at another machine, which
// runs and is connected all the time.
func timeoutCase(l *lab, x frozenAnswers) (bool, error) {
	var machines []*machine
	for i := range 1 + x.servers {
		service := "signoff"
		if i > 0 {
			service = x.service
		}
		m, err := l.addMachine(service)
		if err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	for _, m := range machines {
		if _, err := l.startServer(m, serverSlots, x.answer); err != nil {
			return false, err
		}
	}
	routes := map[string]route{"route": {Host: "snag.example", PathPrefix: "/route/", Kind: x.kind, TimeoutS: routeTimeout.Seconds(), TargetS: 0.6, Priority: 2, Service: x.service, MaxAttempts: 2}}
	if err := l.configure(routes, "signoff", x.service); err != nil {
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
		ticker := time.NewTicker(x.interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			wait.Go(func() {
				o := x.send(machines[0])
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
	time.Sleep(lookupTime)
	_, _ = c.Write(part)
	return false
}

// answerUploadInParts sends the head and a part of the answer at once and the rest when its work is
// done. The answer has a length; its first part is longer than a buffer of 4 KiB.
func answerUploadInParts(s *server, c net.Conn, r *http.Request, _ []byte) bool {
	if _, err := io.WriteString(c, s.head(r)+"Content-Length: 9000\r\n\r\n"+strings.Repeat("a", 6000)); err != nil {
		return false
	}
	time.Sleep(uploadTime)
	_, err := io.WriteString(c, strings.Repeat("b", 3000))
	return err == nil
}
