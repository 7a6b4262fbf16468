//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["behind"] = behindCase }

const (
	packBytes     = 200 << 10
	behindTimeout = 2 * time.Second
	// brokenOff is the share of its answers that the faulty server breaks off.
	brokenOff = 0.02
	// clients send batches, each on a connection of its own that it keeps. A batch is a request for a
	// large answer and behindEach requests behind it.
	clients       = 8
	batches       = 125
	behindEach    = 2
	batchInterval = 300 * time.Millisecond
)

// behindCase lets one of two servers of a service break off one in fifty of its large answers. The
// clients send safe requests for another service behind each, on kept connections.
func behindCase(l *lab) (bool, error) {
	var machines []*machine
	for _, service := range []string{"signoff", "results", "results", "snaglist"} {
		m, err := l.addMachine(service)
		if err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	var breaks atomic.Int64
	pack := func(s *server, c net.Conn, r *http.Request, _ []byte) bool {
		body := strings.Repeat("abcdefgh", packBytes/8)
		if l.trouble && s.m == machines[1] && rand.Float64() < brokenOff {
			breaks.Add(1)
			l.log("%s breaks off its answer to %s", s.id, r.Header.Get(names.RequestID))
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", s.head(r), len(body), body[:packBytes*3/4])
			return false
		}
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", s.head(r), len(body), body)
		return err == nil
	}
	lookup := func(s *server, c net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(60 * time.Millisecond)
		_, err := io.WriteString(c, s.head(r)+"Content-Length: 5\r\n\r\nfound")
		return err == nil
	}
	sound := (*server)(nil)
	for i, m := range machines {
		work := pack
		if i == 3 {
			work = lookup
		}
		s, err := l.startServer(m, 18, work)
		if err != nil {
			return false, err
		}
		sound = s
	}
	routes := map[string]route{
		"pack": {Host: "snag.example", PathPrefix: "/pack/", Kind: "download", TimeoutS: behindTimeout.Seconds(), TargetS: 1, Priority: 2, Service: "results", MaxAttempts: 2},
		"list": {Host: "snag.example", PathPrefix: "/list/", Kind: "safe", TimeoutS: behindTimeout.Seconds(), TargetS: 1, Priority: 2, Service: "snaglist", MaxAttempts: 2},
	}
	if err := l.configure(routes, "signoff", "results", "snaglist"); err != nil {
		return false, err
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact + configApply)

	var mu sync.Mutex
	unanswered := map[string]bool{}
	served := 0
	var wait sync.WaitGroup
	for range clients {
		wait.Go(func() {
			c := &keptConn{address: machines[0].outbound}
			defer c.close()
			for range batches {
				list := c.batch()
				mu.Lock()
				for i, o := range list {
					l.log("client: %v", o)
					if o.complete {
						served++
					} else if i > 0 {
						unanswered[o.id] = true
					}
				}
				mu.Unlock()
				time.Sleep(batchInterval)
			}
		})
	}
	wait.Wait()

	lost := 0
	for _, a := range sound.arrivals {
		if unanswered[a.id] {
			lost++
			l.log("%s was passed on to %s and its connection was closed without an answer", a.id, sound.id)
		}
	}
	l.log("%d batches, %d answers complete, %d answers broken off by a server, %d requests behind were passed on and not answered", clients*batches, served, breaks.Load(), lost)
	fmt.Printf("%d batches, %d answers complete, %d broken off by a server, %d requests behind were passed on and not answered\n", clients*batches, served, breaks.Load(), lost)
	return lost > 3, nil
}

// keptConn is a connection that a client keeps for many requests.
type keptConn struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (k *keptConn) close() {
	if k.conn != nil {
		_ = k.conn.Close()
	}
	k.conn = nil
}

// batch sends a request for a large answer and others behind it.
func (k *keptConn) batch() []outcome {
	if k.conn == nil {
		c, err := net.DialTimeout("tcp", k.address, time.Second)
		if err != nil {
			return nil
		}
		k.conn, k.reader = c, bufio.NewReader(c)
	}
	list := make([]outcome, 1+behindEach)
	for i := range list {
		list[i] = outcome{id: newID(), sent: time.Now()}
	}
	_ = k.conn.SetDeadline(time.Now().Add(behindTimeout))
	text := requestHead(http.MethodGet, "snag.example", "/pack/a", list[0].id, behindTimeout) + "\r\n"
	for i := range list[1:] {
		text += requestHead(http.MethodGet, "snag.example", "/list/a", list[i+1].id, behindTimeout) + "\r\n"
	}
	_, _ = io.WriteString(k.conn, text)
	for i := range list {
		closes := list[i].read(k.reader, http.MethodGet)
		if closes && list[i].err == nil && i+1 < len(list) {
			list[i].err = io.EOF
		}
		if list[i].err == nil && !closes {
			continue
		}
		k.close()
		for j := range list[i+1:] {
			list[i+1+j].ended, list[i+1+j].err = time.Now(), list[i].err
		}
		break
	}
	return list
}
