package soak

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cactuspath/core/estate"
)

const (
	// cappedPerSecond and cappedBurst are the usage cap of the account whose callers flood.
	cappedPerSecond, cappedBurst = 40, 40
	// capWindow, capOverage and capSlack are how far a cap may be exceeded.
	capWindow  = 5 * time.Second
	capOverage = 1.1
	capSlack   = 20
	// keyTimeLimit is the time from the acknowledgement of a change until keys that it adds or
	// takes away must be in force at an undisturbed node.
	keyTimeLimit = 2 * time.Second
	// keyChangePause is the time between two changes of a key.
	keyChangePause = 3 * time.Second

	kindCapped, kindKeyed = "capped", "keyed"
	cappedKey             = "key-of-the-capped-account"
)

// Guards against exceeding a usage cap and against keys that work after they were taken away, or
// do not work after they were added, concurrently with the other faults of the soak test.
func TestSoakWithAccounts(t *testing.T) {
	n := uint64(21)
	if *onlySeed != 0 {
		n = *onlySeed
	}
	runWithFaults(t, n, extraFaults{accounts: true}, defaultDataCenter)
}

// accounts is the state of the accounts' keys and requests.
type accounts struct {
	mu sync.Mutex
	// generation numbers the keys of the changing account; acknowledged is when the change that
	// made it the only one was acknowledged, or zero until then.
	generation   int
	acknowledged time.Time
	// served holds the times at which requests of the capped account were sent that ran.
	served []time.Time
}

func keyOfGeneration(generation int) string { return fmt.Sprint("key-of-generation-", generation) }

// text returns the accounts and their routes for the estate text. All other routes are public.
func (a *accounts) text() (accountsText, routes string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	digest := func(key string) string {
		d := estate.KeyDigest(key)
		return hex.EncodeToString(d[:])
	}
	accountsText = fmt.Sprintf(`, "accounts": {"capped": {"keyDigests": [%q], "requestsPerSecond": %d, "burst": %d}, "changing": {"keyDigests": [%q]}}`,
		digest(cappedKey), cappedPerSecond, cappedBurst, digest(keyOfGeneration(a.generation)))
	for _, kind := range []string{kindCapped, kindKeyed} {
		routes += fmt.Sprintf(`, %q: {"host": "shop.example", "pathPrefix": "/%[1]s/", "kind": "unsafe", "service": "shop", "timeout": "1500ms", "maxAttempts": 2}`, kind)
	}
	return accountsText, routes
}

// withAccounts adds accounts to an estate text.
func (s *soak) withAccounts(text string) string {
	if s.accounts == nil {
		return text
	}
	accountsText, routes := s.accounts.text()
	text = strings.ReplaceAll(text, `"maxAttempts"`, `"public": true, "maxAttempts"`)
	return strings.TrimSuffix(text, "}}") + routes + "}" + accountsText + "}"
}

// runKeyChanges changes the key of the changing account until the test ends.
func (s *soak) runKeyChanges() {
	for s.sleep(keyChangePause) {
		s.accounts.mu.Lock()
		s.accounts.generation++
		s.accounts.acknowledged = time.Time{}
		generation := s.accounts.generation
		s.accounts.mu.Unlock()
		s.eventually("the change of a key is accepted", func() bool { return s.submit(s.t.Context()) })
		s.accounts.mu.Lock()
		if s.accounts.generation == generation {
			s.accounts.acknowledged = time.Now()
		}
		s.accounts.mu.Unlock()
	}
}

// keyedStatus sends a request with a key to node i and returns its status, or 0 if there is none.
func (s *soak) keyedStatus(client *http.Client, i int, kind, key string) int {
	sent := newRequest(kind, i, s.ids.Add(1), modeWhole, 0)
	req, err := http.NewRequest(sent.method(), "http://"+s.callerAddresses[i]+sent.path(), nil)
	if err != nil {
		s.fail("%v", err)
		return 0
	}
	req.Host = host
	req.Header.Set(dialect.RequestID, sent.id)
	req.Header.Set("Authorization", "Bearer "+key)
	s.requests.recordSent(sent)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	if reportsNotRun(resp) {
		s.requests.recordNotRun(sent.id, fmt.Sprint("status ", resp.StatusCode))
	}
	return resp.StatusCode
}

// runCappedCaller floods node i with requests of the capped account until the test ends.
func (s *soak) runCappedCaller(i int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: routeTimeout + 4*time.Second}
	defer client.CloseIdleConnections()
	for s.sleepBetweenRequests() {
		at := time.Now()
		if s.keyedStatus(client, i, kindCapped, cappedKey) == http.StatusOK {
			s.accounts.mu.Lock()
			s.accounts.served = append(s.accounts.served, at)
			s.accounts.mu.Unlock()
		}
	}
}

// runKeyedCaller sends requests with the newest key of the changing account and with the one
// before to node i until the test ends.
func (s *soak) runKeyedCaller(i int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: routeTimeout + 4*time.Second}
	defer client.CloseIdleConnections()
	state := func() (int, time.Time) {
		s.accounts.mu.Lock()
		defer s.accounts.mu.Unlock()
		return s.accounts.generation, s.accounts.acknowledged
	}
	for s.sleep(5 * s.requestInterval()) {
		generation, acknowledged := state()
		settled := !acknowledged.IsZero() && time.Since(acknowledged) > keyTimeLimit && s.nodes[i].undisturbed(time.Since(acknowledged)+recoveryTime)
		current := s.keyedStatus(client, i, kindKeyed, keyOfGeneration(generation))
		previous := s.keyedStatus(client, i, kindKeyed, keyOfGeneration(generation-1))
		if after, _ := state(); !settled || after != generation || !s.nodes[i].undisturbed(time.Since(acknowledged)+recoveryTime) {
			continue
		}
		if current == http.StatusUnauthorized {
			s.fail("node %d refuses a key %v after the change that added it", i+1, time.Since(acknowledged))
		}
		if generation > 0 && previous == http.StatusOK {
			s.fail("node %d accepts a key %v after it was taken away", i+1, time.Since(acknowledged))
		}
	}
}

// checkCap records a failure if more requests of the capped account ran in a window than its cap
// allows.
func (s *soak) checkCap() {
	if s.accounts == nil {
		return
	}
	allowed := int((cappedPerSecond*capWindow.Seconds()+cappedBurst)*capOverage) + capSlack
	s.accounts.mu.Lock()
	defer s.accounts.mu.Unlock()
	times := s.accounts.served
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= capWindow {
			first++
		}
		if i-first+1 > allowed {
			s.fail("%d requests of the capped account ran in %v, %d are allowed", i-first+1, capWindow, allowed)
			return
		}
	}
	if len(times) == 0 {
		s.fail("no request of the capped account ran")
	}
}
