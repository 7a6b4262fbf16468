package node

import (
	"context"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/replica"
)

// What a relay reports to the leader of the control replicas, and takes in from it.

// maxNamed bounds the nodes that a relay names in its report.
const maxNamed = 64

// syncControl reports to the leader and takes in what changed.
func (r *relay) syncControl(ctx context.Context) {
	if !r.claim("control") {
		return
	}
	go func() {
		defer r.release("control")
		req := r.report()
		if req == nil {
			return
		}
		err := r.n.options.Control.Once(ctx, func(ctx context.Context, c *controlclient.Replica) error {
			resp, err := c.Control.RelaySync(ctx, connect.NewRequest(req))
			if err == nil {
				r.takeControl(resp.Msg)
			}
			return err
		})
		if err != nil {
			r.n.counters.controlFailures.Add(1)
		}
	}()
}

// report sums up the nodes that report here.
func (r *relay) report() *apiv1.RelaySyncRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return nil
	}
	revision := r.records.Revision()
	req := &apiv1.RelaySyncRequest{Relay: r.info(), Revision: revision, RelaysDigest: replica.RelaysDigest(r.all)}
	req.Relay.Nodes = uint32(r.state.Watched())
	for _, report := range r.state.Reports() {
		req.Nodes++
		if report.Revision >= revision {
			req.InForce++
		} else if len(req.Behind) < maxNamed {
			req.Behind = append(req.Behind, report)
		}
		if report.Draining && len(req.Draining) < maxNamed {
			req.Draining = append(req.Draining, report)
		}
	}
	return req
}

func (r *relay) takeControl(resp *apiv1.RelaySyncResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return
	}
	if resp.StepDown {
		r.end()
		return
	}
	if !resp.RelaysUnchanged {
		r.all = resp.Relays
		r.state.SetRelays(r.all, r.now())
		r.state.PullSoon()
	}
	r.more += resp.MoreRelays
	r.confirmed = time.Now()
	if r.records.Apply(resp.Delta) || !resp.RelaysUnchanged || r.more > 0 {
		r.tell()
	}
}
