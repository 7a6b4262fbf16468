package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"cactuspath/internal/operator"
)

// runOperator submits changes and checks that later reads never return an older revision.
func (s *soak) runOperator() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		s.submit(context.Background())
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		s.mu.Lock()
		accepted := s.accepted
		s.mu.Unlock()
		if shown, err := s.operator.Show(ctx, "soak"); err == nil && shown.Revision < accepted {
			s.fail("read revision %d after revision %d was accepted", shown.Revision, accepted)
		}
		cancel()
	}
}

const estateText = `{"institution": "soak", "terms": {"retryPercent": 20}, "services": {"shop": {"slots": 20, "queue": %d}}, "routes": {
	"read": {"host": "shop.example", "pathPrefix": "/read/", "kind": "safe", "service": "shop", "timeout": "1500ms", "maxAttempts": 2},
	"put": {"host": "shop.example", "pathPrefix": "/put/", "kind": "safe", "service": "shop", "timeout": "1500ms", "maxAttempts": 3},
	"post": {"host": "shop.example", "pathPrefix": "/post/", "kind": "upload", "service": "shop", "timeout": "1500ms", "maxAttempts": 3},
	"slow": {"host": "shop.example", "pathPrefix": "/slow/", "kind": "unsafe", "service": "shop", "timeout": "4500ms", "maxAttempts": 2},
	"pay": {"host": "shop.example", "pathPrefix": "/pay/", "kind": "unsafe", "service": "shop", "timeout": "1500ms", "maxAttempts": 2}}}`

// submit submits a change based on the latest revision and reports whether it was accepted.
func (s *soak) submit(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	shown, err := s.operator.Show(ctx, "soak")
	if err != nil {
		return false
	}
	text := s.withAccounts(fmt.Sprintf(estateText, 100+s.ids.Add(1)%100))
	record, err := s.operator.Submit(ctx, []byte(text), shown.Revision, operator.NewChangeID())
	var outcome *operator.OutcomeError
	if err != nil {
		if errors.As(err, &outcome) && outcome.Code == operator.ExitRefused {
			s.fail("valid change refused: %v", err)
		}
		return false
	}
	s.mu.Lock()
	s.accepted = max(s.accepted, record.Revision)
	s.mu.Unlock()
	return true
}

// checkResults checks the recorded requests and the final revision after all requests have ended.
func (s *soak) checkResults() {
	time.Sleep(routeTimeout)
	s.requests.mu.Lock()
	defer s.requests.mu.Unlock()
	for id, r := range s.requests.records {
		if !r.request.repeatable() && len(r.executedAt) > 1 {
			s.fail("%s executed %d times, at nodes %v", id, len(r.executedAt), r.executedAt)
		}
		if r.notRunReason != "" && len(r.executedAt) > 0 {
			s.fail("%s %s executed at nodes %v, but reported as not run: %s", id, r.request.mode, r.executedAt, r.notRunReason)
		}
	}
	for _, id := range s.requests.afterDrain {
		s.fail("%s reached a server whose drain was acknowledged", id)
	}
	s.checkCap()
	s.failures = append(s.failures, s.requests.violations...)
	ctx, cancel := context.WithTimeout(context.Background(), convergenceTimeout)
	defer cancel()
	if shown, err := s.operator.Show(ctx, "soak"); err != nil || shown.Revision < s.accepted {
		s.fail("revision %d was accepted, but the final read returned %v, %v", s.accepted, shown, err)
	}
}

// memoryMB returns the current resident memory of the site's processes and of the test process, in
// MB.
func (s *soak) memoryMB() (site, test int) {
	for _, p := range append(append([]*process{}, s.replicas...), s.nodes...) {
		p.mu.Lock()
		site += residentKiB(p.cmd.Process.Pid)
		p.mu.Unlock()
	}
	return site / 1024, residentKiB(os.Getpid()) / 1024
}

// residentKiB returns the resident memory of a process, or 0 if it has exited.
func residentKiB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(value)[0])
			return kib
		}
	}
	return 0
}

// keepLogs saves the process logs of a failed run.
func (s *soak) keepLogs() {
	if !s.t.Failed() {
		return
	}
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", s.seed))
	if err != nil {
		s.t.Log(err)
		return
	}
	for _, p := range append(append([]*process{}, s.replicas...), s.nodes...) {
		p.mu.Lock()
		err := os.WriteFile(filepath.Join(folder, p.name+".log"), p.log.Bytes(), 0o600)
		p.mu.Unlock()
		if err != nil {
			s.t.Log(err)
		}
	}
	s.t.Logf("to repeat: go test ./internal/soak -run Soak -seed %d -for %v; logs in %s", s.seed, *duration, folder)
}
