//go:build review2

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["account"] = accountCase }

const (
	droppedKey = "key-of-the-account"
	neverKey   = "key-that-no-configuration-held"
	// keyRequests is the number of requests with each key.
	keyRequests = 5
)

// accountCase removes the only client account, and then sends requests with its key and with a key
// that no configuration ever held. Without the disruption, the account stays and gets another key.
func accountCase(l *lab) (bool, error) {
	var machines []*machine
	for _, service := range []string{"signoff", "snaglist", "snaglist"} {
		m, err := l.addMachine(service)
		if err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	var mu sync.Mutex
	passedOn := map[string]string{}
	for _, m := range machines {
		_, err := l.startServer(m, 6, func(s *server, c net.Conn, r *http.Request, body []byte) bool {
			mu.Lock()
			passedOn[r.Header.Get(names.RequestID)] = r.Header.Get("Authorization")
			mu.Unlock()
			l.log("%s was told of %s: authorization %q, account %q", s.id, r.Header.Get(names.RequestID), r.Header.Get("Authorization"), r.Header.Get(names.Account))
			return answerShort(s, c, r, body)
		})
		if err != nil {
			return false, err
		}
	}
	routes := map[string]route{"list": {Host: "snag.example", PathPrefix: "/list/", Kind: "safe", TimeoutS: 1, TargetS: 0.4, Priority: 2, Service: "snaglist", MaxAttempts: 2}}
	l.accounts = map[string]any{"visitor": map[string]any{"name": "visitor", "api_keys": []string{droppedKey}}}
	if err := l.configure(routes, "signoff", "snaglist"); err != nil {
		return false, err
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact + configApply)
	for range keyRequests {
		if o := getWithKey(machines[0], droppedKey); o.status != http.StatusOK {
			return false, fmt.Errorf("a request with a valid key was not served: %v", o)
		}
		if o := getWithKey(machines[0], neverKey); o.status != http.StatusUnauthorized {
			return false, fmt.Errorf("a request with an unknown key was not refused: %v", o)
		}
	}
	change := map[string]any{"remove": map[string]any{names.AccountsTable: []string{"visitor"}}}
	if !l.trouble {
		change = map[string]any{"upsert": map[string]any{names.AccountsTable: map[string]any{"visitor": map[string]any{"name": "visitor", "api_keys": []string{"another-key"}}}}}
	}
	if err := l.patch(change); err != nil {
		return false, err
	}
	l.log("the change was acknowledged: %v", change)
	current, err := l.current()
	if err != nil {
		return false, err
	}
	l.log("the configuration read back: %s", current)
	time.Sleep(configApply + contact)

	ran := 0
	for _, key := range []string{droppedKey, neverKey} {
		for range keyRequests {
			o := getWithKey(machines[0], key)
			mu.Lock()
			told, reached := passedOn[o.id]
			mu.Unlock()
			if reached {
				ran++
			}
			l.log("client with %s: %v; reached a server: %t, which was told %q", key, o, reached, told)
		}
	}
	fmt.Printf("%d of %d requests with a dropped or unknown key ran\n", ran, 2*keyRequests)
	return ran > 0, nil
}

// getWithKey sends a GET with the key of a client account.
func getWithKey(m *machine, key string) outcome {
	o := outcome{id: newID(), sent: time.Now()}
	c, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		o.ended, o.err = time.Now(), err
		return o
	}
	defer c.Close()
	_ = c.SetDeadline(o.sent.Add(time.Second))
	_, _ = io.WriteString(c, requestHead(http.MethodGet, "snag.example", "/list/a", o.id, time.Second)+"Authorization: Bearer "+key+"\r\n\r\n")
	o.read(bufio.NewReader(c), http.MethodGet)
	return o
}

// patch sends a change of the configuration until a replica acknowledges it.
func (d *deployment) patch(change map[string]any) error {
	base := d.version
	d.version++
	change["version"], change["base_version"] = fmt.Sprintf("%08x", d.version), fmt.Sprintf("%08x", base)
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	return d.send(http.MethodPatch, body)
}

// current reads the configuration back.
func (d *deployment) current() (string, error) {
	resp, err := http.Get("http://" + d.core[0] + names.ConfigPath)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	_, err = io.Copy(&text, resp.Body)
	return text.String(), err
}
