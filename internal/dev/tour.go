package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/internal/operator"
)

const (
	tourNodes   = 3
	tourService = "hello"
	stepTimeout = 20 * time.Second
	loadWorkers = 8
	tourHost    = "hello.example"
)

// tour runs the steps in order and prints the outcome of each.
type tour struct {
	c      *Cluster
	out    io.Writer
	estate []byte
	step   int
	// firstFailure describes the first request under load that was not answered with 200.
	firstFailure string
}

func describe(resp *http.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get(bodyHeader))
}

// Tour demonstrates a cluster from its start to its stop with the given estate. It returns
// an error if a step does not have the expected outcome.
func Tour(out io.Writer, folder string, estate []byte) error {
	c, err := Start(folder, tourNodes, tourService)
	if err != nil {
		return err
	}
	t := &tour{c: c, out: out, estate: estate}
	err = t.run()
	if stopErr := c.Stop(); err == nil && stopErr != nil {
		err = errors.Wrap(stopErr, "stop the cluster")
	}
	if err == nil {
		fmt.Fprintln(out, "Tour done: every step came out as it should.")
	}
	return err
}

func (t *tour) run() error {
	steps := []struct {
		title string
		do    func(context.Context) (string, error)
	}{
		{"Submit an estate", t.submit},
		{"Send a request to each node", t.requestEachNode},
		{"Ask for a service that does not exist", t.requestUnknownService},
		{"Submit a text with three faults", t.submitInvalid},
		{"Submit on top of a revision that is not the newest", t.submitConflict},
		{"Send the first change again, as after a lost answer", t.resubmit},
		{"Evacuate the only data centre, and take it back", t.evacuate},
		{"Planned stop of host-1 under load", t.drainHost},
		{"A backend server dies without a word", t.killServer},
		{"Stop the process of host-3 under load", t.stopNode},
		{"Read the audit trail", t.readAudit},
	}
	for _, s := range steps {
		t.step++
		fmt.Fprintf(t.out, "%d. %s\n", t.step, s.title)
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		outcome, err := s.do(ctx)
		cancel()
		if err != nil {
			fmt.Fprintf(t.out, "   FAILED: %v\n", err)
			return errors.Wrapf(err, "step %d, %s", t.step, s.title)
		}
		for _, line := range strings.Split(outcome, "\n") {
			fmt.Fprintf(t.out, "   %s\n", line)
		}
	}
	return nil
}

const firstChangeID = "tour-first-change"

// recountInterval is the time between two status queries while nodes are counted twice.
const recountInterval = 50 * time.Millisecond

// waitInForce waits until the revision is in force on all nodes. A node that has switched to
// another relay is temporarily reported by both relays. The node count is then too high, and
// waitInForce queries the status again.
func (t *tour) waitInForce(ctx context.Context, revision uint64) (*apiv1.StatusResponse, error) {
	for {
		s, err := t.c.Operator.WaitInForce(ctx, revision, tourNodes)
		if err != nil || s.Nodes == tourNodes {
			return s, err
		}
		select {
		case <-ctx.Done():
			return s, errors.Wrapf(ctx.Err(), "status reports %d nodes, but %d are running", s.Nodes, tourNodes)
		case <-time.After(recountInterval):
		}
	}
}

func (t *tour) submit(ctx context.Context) (string, error) {
	record, err := t.c.Operator.Submit(ctx, t.estate, 0, firstChangeID)
	if err != nil {
		return "", err
	}
	s, err := t.waitInForce(ctx, record.Revision)
	if err != nil {
		return "", err
	}
	if err := t.waitServing(ctx); err != nil {
		return "", err
	}
	return fmt.Sprintf("accepted at revision %d, in force on %d of %d nodes", record.Revision, s.InForce, s.Nodes), nil
}

// waitServing waits until every node answers requests.
func (t *tour) waitServing(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := 0
		for i := range t.c.Nodes {
			if status, _, err := t.get(ctx, i, "/"); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(t.c.Nodes) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.New("not all nodes answer requests with 200")
}

const pollInterval = 50 * time.Millisecond

// get sends a GET request to a node. The body of the returned response has been read; its
// text is in the header field bodyHeader of the response.
func (t *tour) get(ctx context.Context, node int, path string) (status int, response *http.Response, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.c.Nodes[node].Address()+path, nil)
	if err != nil {
		return 0, nil, err
	}
	req.Host = tourHost
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	resp.Header.Set(bodyHeader, strings.TrimSpace(string(body)))
	return resp.StatusCode, resp, err
}

// bodyHeader is the header field to which get sets the body of a received response.
const bodyHeader = "Tour-Body"

func (t *tour) requestEachNode(ctx context.Context) (string, error) {
	for i := range t.c.Nodes {
		status, _, err := t.get(ctx, i, "/greeting")
		if err != nil || status != http.StatusOK {
			return "", errors.Newf("node %d answered %d: %v", i+1, status, err)
		}
	}
	return "answered 200 by all of 3", nil
}

func (t *tour) requestUnknownService(ctx context.Context) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.c.Nodes[0].Address()+"/", nil)
	if err != nil {
		return "", err
	}
	req.Host = "nobody.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.Header.Get(fault.Header) != string(fault.NoSuchService) {
		return "", errors.Newf("answered %d %s", resp.StatusCode, body)
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body))), nil
}

func (t *tour) submitInvalid(ctx context.Context) (string, error) {
	text := `{"institution": "trial", "services": {"hello": {"slots": 0, "dependsOn": ["nobody"], "colour": "green"}}}`
	_, err := t.c.Operator.Submit(ctx, []byte(text), 1, operator.NewChangeID())
	return expectExitCode(err, operator.ExitRefused)
}

func (t *tour) submitConflict(ctx context.Context) (string, error) {
	_, err := t.c.Operator.Submit(ctx, t.estate, 0, operator.NewChangeID())
	return expectExitCode(err, operator.ExitConflict)
}

func (t *tour) resubmit(ctx context.Context) (string, error) {
	record, err := t.c.Operator.Submit(ctx, t.estate, 0, firstChangeID)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("the first answer again: accepted at revision %d", record.Revision), nil
}

// expectExitCode returns an error unless cactusctl would exit with the given code because of
// err. Otherwise it returns the output for the step.
func expectExitCode(err error, code int) (string, error) {
	if operator.ExitCode(err) != code {
		return "", errors.Newf("exit code %d instead of %d: %v", operator.ExitCode(err), code, err)
	}
	return fmt.Sprintf("exit code %d, %v", code, err), nil
}

// underLoad sends requests to a node while action runs. It returns the number of requests
// that were answered with 200 and of those that were not.
func (t *tour) underLoad(ctx context.Context, node int, action func() error) (succeeded, failed int64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var successes, failures atomic.Int64
	var recordFirst sync.Once
	var workers sync.WaitGroup
	for range loadWorkers {
		workers.Go(func() {
			for ctx.Err() == nil {
				status, resp, getErr := t.get(context.Background(), node, "/work?sleep=2ms")
				if getErr == nil && status == http.StatusOK {
					successes.Add(1)
					continue
				}
				failures.Add(1)
				recordFirst.Do(func() { t.firstFailure = describe(resp, getErr) })
			}
		})
	}
	time.Sleep(pollInterval)
	err = action()
	time.Sleep(pollInterval)
	cancel()
	workers.Wait()
	return successes.Load(), failures.Load(), err
}

func (t *tour) evacuate(ctx context.Context) (string, error) {
	if err := t.setEvacuated(ctx, true); err != nil {
		return "", err
	}
	start := time.Now()
	status, resp, err := t.get(ctx, 0, "/evacuated")
	if err != nil || status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		return "", errors.Newf("answered %d: %v", status, err)
	}
	if took := time.Since(start); took > time.Second {
		return "", errors.Newf("the refusal took %v", took)
	}
	if err := t.setEvacuated(ctx, false); err != nil {
		return "", err
	}
	for i := range t.c.Nodes {
		if status, resp, err := t.get(ctx, i, "/back"); err != nil || status != http.StatusOK {
			return "", errors.Newf("node %d answered %d (%s) after the evacuation: %v", i+1, status, resp.Header.Get(bodyHeader), err)
		}
	}
	return "while it is evacuated: 503 at once, not run, come back in " + resp.Header.Get("Retry-After") + " s\nafter it: answered 200 by all of 3", nil
}

// setEvacuated evacuates the cluster's data centre or ends its evacuation, and waits until the
// change is in force on all nodes.
func (t *tour) setEvacuated(ctx context.Context, evacuated bool) error {
	record, err := t.c.Operator.Evacuate(ctx, devDataCenter, evacuated, operator.NewChangeID())
	if err != nil {
		return err
	}
	_, err = t.waitInForce(ctx, record.Revision)
	return err
}

func (t *tour) drainHost(ctx context.Context) (string, error) {
	succeeded, failed, err := t.underLoad(ctx, 1, func() error {
		if _, err := t.c.Operator.Drain(ctx, "host-1", true, operator.NewChangeID()); err != nil {
			return err
		}
		return t.c.Operator.WaitDrained(ctx, "host-1")
	})
	if err != nil {
		return "", err
	}
	if failed > 0 || succeeded == 0 {
		return "", errors.Newf("%d requests succeeded and %d failed; first failure: %s", succeeded, failed, t.firstFailure)
	}
	return "host-1 is safe to stop; every request meanwhile was answered 200, none cut", nil
}

func (t *tour) killServer(ctx context.Context) (string, error) {
	t.c.Servers[1].Kill()
	for range 50 {
		status, resp, err := t.get(ctx, 2, "/after")
		if err != nil || status != http.StatusOK {
			return "", errors.Newf("answered %d (%s): %v", status, resp.Header.Get(bodyHeader), err)
		}
	}
	return "50 requests after it: every one answered 200 by the server that is left", nil
}

func (t *tour) stopNode(ctx context.Context) (string, error) {
	if _, err := t.c.Operator.Drain(ctx, "host-1", false, operator.NewChangeID()); err != nil {
		return "", err
	}
	succeeded, failed, err := t.underLoad(ctx, 0, func() error {
		if err := t.waitStartsRequests(ctx, 0); err != nil {
			return err
		}
		return t.c.StopNode(ctx, 2)
	})
	if err != nil {
		return "", err
	}
	if failed > 0 || succeeded == 0 {
		return "", errors.Newf("%d requests succeeded and %d failed; first failure: %s", succeeded, failed, t.firstFailure)
	}
	return "the process drained and ended; every request meanwhile was answered 200, none cut", nil
}

// waitStartsRequests waits until a node's gate passes requests to its backend server again,
// and then until the gates of the other nodes have learned this.
func (t *tour) waitStartsRequests(ctx context.Context, node int) error {
	started := func() string { return t.c.Nodes[node].Vars()["gate_started"].String() }
	for before := started(); started() == before; {
		select {
		case <-ctx.Done():
			return errors.Newf("the gate of host-%d starts no requests", node+1)
		case <-time.After(pollInterval):
		}
	}
	// The other gates learn of it from the gate's next load report.
	time.Sleep(time.Second)
	return nil
}

func (t *tour) readAudit(ctx context.Context) (string, error) {
	records, err := t.c.Operator.Audit(ctx, 0, "", 0)
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	for _, r := range records {
		fmt.Fprintf(&b, "%s by %s: %s, revision %d\n", r.What, r.Operator, operator.OutcomeText(r.Outcome), r.Revision)
	}
	return strings.TrimSpace(b.String()), nil
}
