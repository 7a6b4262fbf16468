package soak

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cactuspath/api/fault"
)

const (
	// routeTimeout is the route's time limit; a final answer may come answerSlack
	// later, on a machine that runs other things beside.
	routeTimeout = 1500 * time.Millisecond
	answerSlack  = 1500 * time.Millisecond
	// callerPause is how long a caller of the usual site rests between requests. A
	// larger site's callers rest longer, so that all nodes together get as much work.
	callerPause = 10 * time.Millisecond
	// callersPerNode send requests without bodies, uploadersPerNode send bodies.
	callersPerNode, uploadersPerNode = 3, 3
)

func (s *soak) pause() time.Duration {
	return callerPause * time.Duration(max(1, len(s.nodes)/usualNodes))
}

// rest waits between two requests; false means that the soak is over.
func (s *soak) rest() bool { return s.goesOn(s.pause()) }

// goesOn waits; false means that the soak is over.
func (s *soak) goesOn(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// call sends requests through one node until the soak ends.
func (s *soak) call(i int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: routeTimeout + 4*time.Second}
	defer client.CloseIdleConnections()
	for n := 0; s.rest(); n++ {
		s.one(client, i, n%2 == 0)
	}
}

func (s *soak) one(client *http.Client, i int, safe bool) bool {
	kind := kindPay
	if safe {
		kind = kindRead
	}
	asked := newRequest(kind, i, s.ids.Add(1), whole, 0)
	req, err := http.NewRequest(asked.method(), "http://"+s.callers[i]+asked.path(), nil)
	if err != nil {
		s.fail("%v", err)
		return false
	}
	req.Host = host
	req.Header.Set(dialect.RequestID, asked.id)
	s.seen.send(asked)
	start := time.Now()
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
	}
	took := time.Since(start)
	if took > routeTimeout+answerSlack && s.nodes[i].calm(took+calmAfter) {
		s.fail("%s: final answer after %v, the time limit is %v", asked.id, took, routeTimeout)
	}
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && strange(resp, body) {
		s.fail("%s: an answer that it cannot have: %d %.200q", asked.id, resp.StatusCode, body)
	}
	switch {
	case resp.StatusCode == http.StatusOK && err == nil:
		if string(body) != asked.answer() {
			s.fail("%s: got another answer, or half of one: %.60q, %d bytes", asked.id, body, len(body))
		}
		s.served.Add(1)
		return true
	case saysNotRun(resp):
		s.seen.saidNotRun(asked.id, "told "+resp.Header.Get(fault.Header))
		s.refused.Add(1)
	}
	return false
}

// saysNotRun tells whether an answer of a node's own says that the request did not run.
func saysNotRun(resp *http.Response) bool {
	kind := fault.Kind(resp.Header.Get(fault.Header))
	return kind != "" && !kind.Ran() && resp.StatusCode != http.StatusOK
}

// strange tells whether a whole answer is none that a caller of a configured service
// can have who sends valid requests: a server's own answer, or a fault of those that a
// disturbance excuses.
func strange(resp *http.Response, body []byte) bool {
	kind := fault.Kind(resp.Header.Get(fault.Header))
	switch kind {
	case "":
		return resp.StatusCode != http.StatusOK
	case fault.NotRun, fault.Overloaded, fault.OutcomeUnknown, fault.NoEndpoint, fault.DeadlinePassed, fault.NotReady:
		return resp.StatusCode < http.StatusInternalServerError || !json.Valid(body)
	}
	return true
}

func (s *soak) allServe() bool {
	client := &http.Client{Timeout: routeTimeout + 4*time.Second}
	defer client.CloseIdleConnections()
	for i := range s.callers {
		if !s.one(client, i, true) || !s.one(client, i, false) {
			return false
		}
	}
	return true
}
