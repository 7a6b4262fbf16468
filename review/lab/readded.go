//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// readded removes a service from the configuration and adds it again, while its servers run on.
func readded(l *lab) (string, error) {
	zones := []string{"a", "b", "c"}
	if err := l.addControls(3, 1, zones); err != nil {
		return "", err
	}
	for i := range 6 {
		if _, err := l.addNode(zones[i%3], []string{"one", "two"}[i/3], 6); err != nil {
			return "", err
		}
	}
	one, two := route("one.example", "safe", "one", 1, 0.4, 2), route("two.example", "safe", "two", 1, 0.4, 2)
	if err := l.put(configuration("00000001", "", map[string]any{"one": one, "two": two}, "one", "two")); err != nil {
		return "", err
	}
	if err := l.awaitReady("one.example", "two.example"); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if l.trouble {
		if err := l.put(configuration("00000002", "00000001", map[string]any{"one": one}, "one")); err != nil {
			return "", err
		}
	}
	time.Sleep(14 * time.Second)
	if l.trouble {
		if err := l.put(configuration("00000003", "00000002", map[string]any{"one": one, "two": two}, "one", "two")); err != nil {
			return "", err
		}
	}
	time.Sleep(5 * time.Second)
	served := map[string]int{}
	const each = 100
	statuses := map[string]map[int]int{"one.example": {}, "two.example": {}}
	for i := range each {
		for _, host := range []string{"one.example", "two.example"} {
			r := newRequest(http.MethodGet, host, fmt.Sprintf("/x/%d?work=20&bytes=100", i), 1000, nil)
			status, _, _ := r.once(l.nodes[i%len(l.nodes)].callers())
			statuses[host][status]++
			if status == http.StatusOK {
				served[host]++
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	l.say("answers by status: %v", statuses)
	l.appendLog(l.nodes[3].process)
	if served["two.example"]*4 < served["one.example"] {
		return fmt.Sprintf("CONFIG: requests on the route that was added later were served %d times of %d, those on the first route %d times", served["two.example"], each, served["one.example"]), nil
	}
	return "", nil
}
