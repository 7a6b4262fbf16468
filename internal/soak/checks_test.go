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

// operate submits changes and reads back, and never sees an older one.
func (s *soak) operate() {
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
			s.fail("revision %d was read after %d was accepted", shown.Revision, accepted)
		}
		cancel()
	}
}

const estateText = `{"institution": "soak", "terms": {"retryPercent": 20}, "services": {"shop": {"slots": 20, "queue": %d}}, "routes": {
	"read": {"host": "shop.example", "pathPrefix": "/read/", "kind": "safe", "service": "shop", "timeout": "1500ms", "maxAttempts": 2},
	"put": {"host": "shop.example", "pathPrefix": "/put/", "kind": "safe", "service": "shop", "timeout": "1500ms", "maxAttempts": 3},
	"post": {"host": "shop.example", "pathPrefix": "/post/", "kind": "upload", "service": "shop", "timeout": "1500ms", "maxAttempts": 3},
	"pay": {"host": "shop.example", "pathPrefix": "/pay/", "kind": "unsafe", "service": "shop", "timeout": "1500ms", "maxAttempts": 2}}}`

// submit has one change accepted on top of the newest; false means not now.
func (s *soak) submit(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	shown, err := s.operator.Show(ctx, "soak")
	if err != nil {
		return false
	}
	text := fmt.Sprintf(estateText, 100+s.ids.Add(1)%100)
	record, err := s.operator.Submit(ctx, []byte(text), shown.Revision, operator.NewChangeID())
	var outcome *operator.OutcomeError
	if err != nil {
		if errors.As(err, &outcome) && outcome.Code == operator.ExitRefused {
			s.fail("a valid change was refused: %v", err)
		}
		return false
	}
	s.mu.Lock()
	s.accepted = max(s.accepted, record.Revision)
	s.mu.Unlock()
	return true
}

// check looks at what the backend servers saw, once everything has come to rest.
func (s *soak) check() {
	time.Sleep(routeTimeout)
	s.seen.mu.Lock()
	defer s.seen.mu.Unlock()
	for id, r := range s.seen.sent {
		if !r.asked.repeatable() && len(r.ran) > 1 {
			s.fail("%s ran %d times, at nodes %v", id, len(r.ran), r.ran)
		}
		if r.notRun != "" && len(r.ran) > 0 {
			s.fail("%s %s ran at nodes %v, and its caller knows that it did not: %s", id, r.asked.mode, r.ran, r.notRun)
		}
	}
	for _, id := range s.seen.afterDrain {
		s.fail("%s reached a server whose drain was acknowledged", id)
	}
	s.failures = append(s.failures, s.seen.wrong...)
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	if shown, err := s.operator.Show(ctx, "soak"); err != nil || shown.Revision < s.accepted {
		s.fail("revision %d was accepted; read at the end: %v, %v", s.accepted, shown, err)
	}
}

// memory is what the processes of the site have in memory at this moment, and this
// test's own, in MB.
func (s *soak) memory() (site, own int) {
	for _, p := range append(append([]*process{}, s.replicas...), s.nodes...) {
		p.mu.Lock()
		site += resident(p.cmd.Process.Pid)
		p.mu.Unlock()
	}
	return site / 1024, resident(os.Getpid()) / 1024
}

// resident is the resident memory of a process in KiB; 0 for one that has ended.
func resident(pid int) int {
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

// keepLogs keeps the logs of a failed run.
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
	s.t.Logf("again: go test ./internal/soak -run Soak -seed %d -for %v; logs in %s", s.seed, *duration, folder)
}
