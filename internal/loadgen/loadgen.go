// Package loadgen is an open-loop load generator: it sends requests at a given
// rate, however fast the responses come, and measures each latency from the time
// at which the request was due. A stall then counts for every request that it
// delays (no coordinated omission).
package loadgen

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactuspath/internal/hop"
)

// Target is one way to reach a service, for example directly or through a node.
// Requests are sent to the targets in turn, so that disturbances of the machine affect
// the latencies of all targets alike.
type Target struct {
	Name, Address, Host, Path string
}

// Result summarizes the requests to one target. P50, P99, P999 and Max are the median,
// the 99th and 99.9th percentile and the maximum of the latency in microseconds.
type Result struct {
	Name   string  `json:"name"`
	Count  int64   `json:"count"`
	Errors int64   `json:"errors"`
	P50    int64   `json:"p50us"`
	P99    int64   `json:"p99us"`
	P999   int64   `json:"p999us"`
	Max    int64   `json:"maxus"`
	Rate   float64 `json:"perSecond"`
}

const (
	minMicros         = 1
	maxMicros         = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	requestTimeout    = 20 * time.Second
)

type target struct {
	Target
	pool   *hop.Pool
	errors atomic.Int64

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// Run sends requests to all targets for the duration and returns a result for each
// target. The arrivals are a Poisson process, drawn from the seed, with a mean of rate
// requests per second for each target.
func Run(ctx context.Context, targets []Target, rate float64, duration time.Duration, seed uint64) []Result {
	var list []*target
	for _, t := range targets {
		list = append(list, &target{Target: t, pool: hop.NewPool(t.Address, nil), latency: hdrhistogram.New(minMicros, maxMicros, significantDigits)})
	}
	random := rand.New(rand.NewPCG(seed, seed))
	var wait sync.WaitGroup
	start := time.Now()
	due := start
	for i := 0; due.Sub(start) < duration && ctx.Err() == nil; i++ {
		if pause := time.Until(due); pause > 0 {
			time.Sleep(pause)
		}
		t, at := list[i%len(list)], due
		wait.Go(func() { t.send(ctx, at) })
		due = due.Add(time.Duration(random.ExpFloat64() / (rate * float64(len(list))) * float64(time.Second)))
	}
	wait.Wait()
	results := make([]Result, len(list))
	for i, t := range list {
		results[i] = t.result(time.Since(start))
	}
	return results
}

func (t *target) send(ctx context.Context, due time.Time) {
	resp, err := t.pool.Do(ctx, &hop.Outgoing{Method: http.MethodGet, URI: t.Path, Host: t.Host, Deadline: time.Now().Add(requestTimeout)})
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		t.errors.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.latency.RecordValue(max(minMicros, time.Since(due).Microseconds()))
}

func (t *target) result(took time.Duration) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.latency
	return Result{Name: t.Name, Count: h.TotalCount(), Errors: t.errors.Load(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(), Rate: float64(h.TotalCount()) / took.Seconds()}
}
