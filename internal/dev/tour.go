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

// tour runs the steps in order and tells each with its outcome.
type tour struct {
	c    *Cluster
	out  io.Writer
	text []byte
	step int
	// bad tells of the first request under load that was not answered 200.
	bad string
}

func describe(answer *http.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", answer.StatusCode, answer.Header.Get(bodyHeader))
}

// Tour shows a cluster from its start to its end. It returns an error if any
// step did not come out as it should.
func Tour(out io.Writer, folder string, text []byte) error {
	c, err := Start(folder, tourNodes, tourService)
	if err != nil {
		return err
	}
	t := &tour{c: c, out: out, text: text}
	err = t.run()
	if stopErr := c.Stop(); err == nil && stopErr != nil {
		err = errors.Wrap(stopErr, "stop everything")
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
		{"Send a request to each node", t.request},
		{"Ask for a service that does not exist", t.unknown},
		{"Submit a text with three faults", t.faults},
		{"Submit on top of a revision that is not the newest", t.conflict},
		{"Send the first change again, as after a lost answer", t.resend},
		{"Evacuate the only data centre, and take it back", t.evacuate},
		{"Planned stop of host-1 under load", t.drain},
		{"A backend server dies without a word", t.kill},
		{"Stop the process of host-3 under load", t.stop},
		{"Read the audit trail", t.audit},
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

const firstChange = "tour-first-change"

// countPause is how long to wait before nodes that were counted twice are counted anew.
const countPause = 50 * time.Millisecond

// inForce waits until the revision is in force on the tour's nodes. A node that
// changed its relay is reported by both until the former forgets it, so that
// more are counted for a while than there are.
func (t *tour) inForce(ctx context.Context, revision uint64) (*apiv1.StatusResponse, error) {
	for {
		s, err := t.c.Operator.WaitInForce(ctx, revision, tourNodes)
		if err != nil || s.Nodes == tourNodes {
			return s, err
		}
		select {
		case <-ctx.Done():
			return s, errors.Wrapf(ctx.Err(), "%d nodes are counted, %d run", s.Nodes, tourNodes)
		case <-time.After(countPause):
		}
	}
}

func (t *tour) submit(ctx context.Context) (string, error) {
	record, err := t.c.Operator.Submit(ctx, t.text, 0, firstChange)
	if err != nil {
		return "", err
	}
	s, err := t.inForce(ctx, record.Revision)
	if err != nil {
		return "", err
	}
	if err := t.waitServing(ctx); err != nil {
		return "", err
	}
	return fmt.Sprintf("accepted at revision %d, in force on %d of %d nodes", record.Revision, s.InForce, s.Nodes), nil
}

// waitServing waits until every node answers with all endpoints known.
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
	return errors.New("the nodes do not answer")
}

const pollInterval = 50 * time.Millisecond

func (t *tour) get(ctx context.Context, node int, path string) (status int, answer *http.Response, err error) {
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

// bodyHeader keeps an answer's body with the answer, for telling of it.
const bodyHeader = "Tour-Body"

func (t *tour) request(ctx context.Context) (string, error) {
	for i := range t.c.Nodes {
		status, _, err := t.get(ctx, i, "/greeting")
		if err != nil || status != http.StatusOK {
			return "", errors.Newf("node %d answered %d: %v", i+1, status, err)
		}
	}
	return "answered 200 by all of 3", nil
}

func (t *tour) unknown(ctx context.Context) (string, error) {
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

func (t *tour) faults(ctx context.Context) (string, error) {
	text := `{"institution": "trial", "services": {"hello": {"slots": 0, "dependsOn": ["nobody"], "colour": "green"}}}`
	_, err := t.c.Operator.Submit(ctx, []byte(text), 1, operator.NewChangeID())
	return expect(err, operator.ExitRefused)
}

func (t *tour) conflict(ctx context.Context) (string, error) {
	_, err := t.c.Operator.Submit(ctx, t.text, 0, operator.NewChangeID())
	return expect(err, operator.ExitConflict)
}

func (t *tour) resend(ctx context.Context) (string, error) {
	record, err := t.c.Operator.Submit(ctx, t.text, 0, firstChange)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("the first answer again: accepted at revision %d", record.Revision), nil
}

func expect(err error, code int) (string, error) {
	if operator.ExitCode(err) != code {
		return "", errors.Newf("exit code %d instead of %d: %v", operator.ExitCode(err), code, err)
	}
	return fmt.Sprintf("exit code %d, %v", code, err), nil
}

// underLoad sends requests all the while that do runs, and counts those that
// were not answered 200.
func (t *tour) underLoad(ctx context.Context, node int, do func() error) (answered, bad int64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var ok, notOK atomic.Int64
	var firstBad sync.Once
	var wait sync.WaitGroup
	for range loadWorkers {
		wait.Go(func() {
			for ctx.Err() == nil {
				status, answer, getErr := t.get(context.Background(), node, "/work?sleep=2ms")
				if getErr == nil && status == http.StatusOK {
					ok.Add(1)
					continue
				}
				notOK.Add(1)
				firstBad.Do(func() { t.bad = describe(answer, getErr) })
			}
		})
	}
	time.Sleep(pollInterval)
	err = do()
	time.Sleep(pollInterval)
	cancel()
	wait.Wait()
	return ok.Load(), notOK.Load(), err
}

func (t *tour) evacuate(ctx context.Context) (string, error) {
	if err := t.order(ctx, true); err != nil {
		return "", err
	}
	begun := time.Now()
	status, answer, err := t.get(ctx, 0, "/evacuated")
	if err != nil || status != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		return "", errors.Newf("answered %d: %v", status, err)
	}
	if took := time.Since(begun); took > time.Second {
		return "", errors.Newf("the refusal took %v", took)
	}
	if err := t.order(ctx, false); err != nil {
		return "", err
	}
	for i := range t.c.Nodes {
		if status, answer, err := t.get(ctx, i, "/back"); err != nil || status != http.StatusOK {
			return "", errors.Newf("node %d answered %d (%s) after it: %v", i+1, status, answer.Header.Get(bodyHeader), err)
		}
	}
	return "while it is evacuated: 503 at once, not run, come back in " + answer.Header.Get("Retry-After") + " s\nafter it: answered 200 by all of 3", nil
}

// order evacuates the tour's data centre, or ends that, and waits until all nodes know.
func (t *tour) order(ctx context.Context, evacuated bool) error {
	record, err := t.c.Operator.Evacuate(ctx, devDataCenter, evacuated, operator.NewChangeID())
	if err != nil {
		return err
	}
	_, err = t.inForce(ctx, record.Revision)
	return err
}

func (t *tour) drain(ctx context.Context) (string, error) {
	answered, bad, err := t.underLoad(ctx, 1, func() error {
		if _, err := t.c.Operator.Drain(ctx, "host-1", true, operator.NewChangeID()); err != nil {
			return err
		}
		return t.c.Operator.WaitDrained(ctx, "host-1")
	})
	if err != nil {
		return "", err
	}
	if bad > 0 || answered == 0 {
		return "", errors.Newf("%d requests answered, %d not; the first: %s", answered, bad, t.bad)
	}
	return "host-1 is safe to stop; every request meanwhile was answered 200, none cut", nil
}

func (t *tour) kill(ctx context.Context) (string, error) {
	t.c.Servers[1].Kill()
	for range 50 {
		status, answer, err := t.get(ctx, 2, "/after")
		if err != nil || status != http.StatusOK {
			return "", errors.Newf("answered %d (%s): %v", status, answer.Header.Get(bodyHeader), err)
		}
	}
	return "50 requests after it: every one answered 200 by the server that is left", nil
}

func (t *tour) stop(ctx context.Context) (string, error) {
	if _, err := t.c.Operator.Drain(ctx, "host-1", false, operator.NewChangeID()); err != nil {
		return "", err
	}
	answered, bad, err := t.underLoad(ctx, 0, func() error {
		if err := t.waitTakesWork(ctx, 0); err != nil {
			return err
		}
		return t.c.StopNode(ctx, 2)
	})
	if err != nil {
		return "", err
	}
	if bad > 0 || answered == 0 {
		return "", errors.Newf("%d requests answered, %d not; the first: %s", answered, bad, t.bad)
	}
	return "the process drained and ended; every request meanwhile was answered 200, none cut", nil
}

// waitTakesWork waits until a node's gate starts requests again.
func (t *tour) waitTakesWork(ctx context.Context, node int) error {
	started := func() string { return t.c.Nodes[node].Vars()["gate_started"].String() }
	for before := started(); started() == before; {
		select {
		case <-ctx.Done():
			return errors.Newf("host-%d takes no work", node+1)
		case <-time.After(pollInterval):
		}
	}
	// Its siblings hear of it with its next report.
	time.Sleep(time.Second)
	return nil
}

func (t *tour) audit(ctx context.Context) (string, error) {
	records, err := t.c.Operator.Audit(ctx, 0, "", 0)
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	for _, r := range records {
		fmt.Fprintf(&b, "%s by %s: %s, revision %d\n", r.What, r.Operator, operator.OutcomeWord(r.Outcome), r.Revision)
	}
	return strings.TrimSpace(b.String()), nil
}
