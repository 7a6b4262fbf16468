//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// order is one change that an operator sends until it has a clear answer.
type order struct {
	version, base uint64
	body          []byte
	status        int // the last clear answer
	begin, end    time.Time
}

// controlStress changes the configuration from two sides while control replicas are killed, frozen
// and wiped, and checks what was acknowledged.
func controlStress(l *lab) (string, error) {
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS_TO_PLAY"))
	seconds = max(seconds, 30)
	if err := l.addControls(5, 2, []string{"a", "b", "c"}); err != nil {
		return "", err
	}
	makeText := func(version, base uint64, mark string) []byte {
		c := configuration(fmt.Sprintf("%08x", version), fmt.Sprintf("%08x", base), map[string]any{"r": route(mark+".example", "safe", "one", 1, 0.4, 2)}, "one")
		if base == 0 {
			c["base_version"] = ""
		}
		text, _ := json.Marshal(c)
		return text
	}
	client := http.Client{Timeout: time.Second}
	call := func(method, address string, body []byte) (int, []byte) {
		req, _ := http.NewRequest(method, "http://"+address+names.ConfigPath, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			return 0, nil
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			return 0, nil
		}
		return resp.StatusCode, text
	}
	var addresses sync.Mutex
	anyOne := func() string {
		addresses.Lock()
		defer addresses.Unlock()
		return l.controlAddrs[rand.IntN(len(l.controlAddrs))]
	}
	var mu sync.Mutex
	var orders []*order
	acked := func() (newest uint64) {
		mu.Lock()
		defer mu.Unlock()
		for _, o := range orders {
			if o.status == 200 && o.version > newest {
				newest = o.version
			}
		}
		return newest
	}
	problems := 0
	problem := func(format string, args ...any) {
		mu.Lock()
		problems++
		mu.Unlock()
		l.say(format, args...)
	}
	send := func(o *order, limit time.Duration) {
		for begin := time.Now(); time.Since(begin) < limit; time.Sleep(time.Duration(20+rand.IntN(100)) * time.Millisecond) {
			status, text := call(http.MethodPut, anyOne(), o.body)
			if status == 200 || status >= 400 && status < 500 {
				mu.Lock()
				o.status, o.end = status, time.Now()
				mu.Unlock()
				l.log("order %x on %x: %d %s", o.version, o.base, status, bytes.TrimSpace(text))
				return
			}
		}
		l.log("order %x on %x: no clear answer", o.version, o.base)
	}
	first := &order{version: 1, body: makeText(1, 0, "first"), begin: time.Now()}
	orders = append(orders, first)
	send(first, 20*time.Second)
	if first.status != 200 {
		return "", fmt.Errorf("the first configuration was not accepted")
	}
	begin := time.Now()
	over := func() bool { return time.Since(begin) > time.Duration(seconds)*time.Second }
	var group, faults sync.WaitGroup
	if l.trouble {
		faults.Go(func() {
			for !over() {
				time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
				p := l.controls[rand.IntN(len(l.controls))]
				switch rand.IntN(7) {
				case 6:
					if err := l.replaceControl(&addresses, rand.IntN(len(l.controls)), rand.IntN(2) == 0); err != nil {
						problem("no replacement: %v", err)
					}
				case 0:
					l.log("fault: kill %s", p.name)
					p.signal(syscall.SIGKILL)
					p.wait(time.Second)
					time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
					_ = l.runAgain(p)
				case 1, 2:
					l.log("fault: freeze %s", p.name)
					p.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
					p.signal(syscall.SIGCONT)
				case 3:
					l.log("fault: kill all")
					for _, q := range l.controls {
						q.signal(syscall.SIGKILL)
					}
					for _, q := range l.controls {
						q.wait(time.Second)
					}
					for _, q := range l.controls {
						_ = l.runAgain(q)
					}
				case 4:
					victims := rand.Perm(len(l.controls))[:1+rand.IntN(2)]
					for _, i := range victims {
						l.log("fault: wipe %s", l.controls[i].name)
						l.controls[i].signal(syscall.SIGKILL)
					}
					for _, i := range victims {
						l.controls[i].wait(time.Second)
						_ = os.RemoveAll(filepath.Join(l.folder, l.controls[i].name+"-data"))
					}
					time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
					for _, i := range victims {
						_ = l.runAgain(l.controls[i])
					}
					time.Sleep(7 * time.Second)
				case 5:
					l.log("fault: SIGTERM %s", p.name)
					p.signal(syscall.SIGTERM)
					p.wait(3 * time.Second)
					_ = l.runAgain(p)
				}
			}
		})
	}
	for who := range 3 {
		group.Go(func() {
			for i := 0; !over(); i++ {
				base := acked()
				// What has no clear answer may be in force too: ask.
				if status, text := call(http.MethodGet, anyOne(), nil); status == 200 {
					var c struct{ Version string }
					if json.Unmarshal(text, &c) == nil {
						if v, err := strconv.ParseUint(c.Version, 16, 64); err == nil {
							base = v
						}
					}
				}
				o := &order{version: base + 1 + uint64(rand.IntN(3)), base: base, begin: time.Now()}
				o.body = makeText(o.version, base, fmt.Sprintf("w%d-%d", who, i))
				mu.Lock()
				orders = append(orders, o)
				mu.Unlock()
				send(o, 6*time.Second)
			}
		})
	}
	for range 2 {
		group.Go(func() {
			for !over() {
				before := acked()
				status, text := call(http.MethodGet, anyOne(), nil)
				if status == 200 {
					var c struct{ Version string }
					_ = json.Unmarshal(text, &c)
					v, _ := strconv.ParseUint(c.Version, 16, 64)
					if v < before {
						problem("CONFIG: read %x although %x had been acknowledged", v, before)
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	faults.Wait()
	time.Sleep(5 * time.Second)
	newest, final := acked(), uint64(0)
	var text []byte
	for try := 0; try < 50; try++ {
		status, body := call(http.MethodGet, anyOne(), nil)
		if status == 200 {
			var c struct{ Version string }
			_ = json.Unmarshal(body, &c)
			final, _ = strconv.ParseUint(c.Version, 16, 64)
			text = body
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if final < newest {
		problem("LOST: the newest configuration is %x at the end, although %x was acknowledged", final, newest)
	}
	byBase, accepted := map[uint64]*order{}, 0
	match := false
	for _, o := range orders {
		if bytes.Equal(bytes.TrimSpace(text), bytes.TrimSpace(o.body)) {
			match = true
			if o.status >= 400 {
				problem("CONFIG: what is in force was refused with %d", o.status)
			}
		}
		if o.status != 200 {
			continue
		}
		accepted++
		if other := byBase[o.base]; other != nil {
			problem("CONFIG: two changes on %x were acknowledged: %x and %x", o.base, other.version, o.version)
		}
		byBase[o.base] = o
	}
	if !match {
		problem("CONFIG: the final configuration is none that was sent: %s", text)
	}
	// Everything acknowledged is acknowledged again.
	for _, o := range orders {
		if o.status == 200 && rand.IntN(4) == 0 {
			if status, body := call(http.MethodPut, anyOne(), o.body); status >= 400 && status < 500 {
				problem("CONFIG: order %x, acknowledged before, was refused when sent again: %d %s", o.version, status, body)
			}
		}
	}
	l.say("%d orders, %d acknowledged, final version %x", len(orders), accepted, final)
	if problems > 0 {
		return fmt.Sprintf("%d problems", problems), nil
	}
	return "", nil
}

// runAgain starts a control replica again, with the seeds of the operator's list as it is now, as the
// platform writes them at every start.
func (l *lab) runAgain(p *process) error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		return err
	}
	control, _ := settings["control"].(map[string]any)
	group, _ := control["group"].(map[string]any)
	group["found"] = false
	seeds := append([]string{}, l.controlAddrs...)
	rand.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	settings["controlReplicas"] = seeds[:3]
	if err := l.write(p, settings); err != nil {
		return err
	}
	return p.run()
}

// replaceControl removes a control replica for good, with or without SIGTERM, and starts an empty one at
// another address.
func (l *lab) replaceControl(addresses *sync.Mutex, i int, planned bool) error {
	old := l.controls[i]
	l.replaced++
	host := fmt.Sprintf("%s.%d", l.prefix, 210+l.replaced)
	next := &process{name: fmt.Sprintf("core-new-%d", l.replaced), lab: l}
	text, err := os.ReadFile(old.settings)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		return err
	}
	control, _ := settings["control"].(map[string]any)
	address := fmt.Sprintf("%s:%d", host, portControl)
	settings["host"], settings["metrics"], control["name"], control["address"] = next.name, fmt.Sprintf("%s:%d", host, portMetrics), next.name, address
	control["dataFolder"], control["group"] = filepath.Join(l.folder, next.name+"-data"), map[string]any{"tolerate": 2, "found": false}
	// The seeds of a later start may differ: those of the operator's list.
	addresses.Lock()
	seeds := append([]string{}, l.controlAddrs...)
	addresses.Unlock()
	rand.Shuffle(len(seeds), func(a, b int) { seeds[a], seeds[b] = seeds[b], seeds[a] })
	settings["controlReplicas"] = seeds[:3]
	if err := l.write(next, settings); err != nil {
		return err
	}
	stop := func() {
		l.log("fault: %s is removed for good, planned %v, seeds %v", old.name, planned, seeds[:3])
		if planned {
			old.signal(syscall.SIGTERM)
			old.wait(6 * time.Second)
		}
		old.signal(syscall.SIGKILL)
		old.wait(time.Second)
	}
	if !planned {
		stop()
		time.Sleep(time.Second)
	}
	if err := next.run(); err != nil {
		return err
	}
	if planned {
		time.Sleep(3 * time.Second)
		stop()
	}
	addresses.Lock()
	l.controls[i], l.controlAddrs[i] = next, address
	addresses.Unlock()
	time.Sleep(5 * time.Second)
	return nil
}
