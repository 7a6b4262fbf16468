package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/replica"
)

// The exchange between a relay and the leader of the control replicas.

// maxReportedNodes limits the number of nodes that a relay names in its report.
const maxReportedNodes = 64

// syncControl sends the report of this relay to the leader of the control replicas, and
// applies the configuration changes and the list of relays in the response.
func (r *relay) syncControl(ctx context.Context) {
	if !r.tryBegin("control") {
		return
	}
	go func() {
		defer r.finish("control")
		req := r.report()
		if req == nil {
			return
		}
		begin := time.Now()
		err := r.n.options.Control.Call(ctx, func(ctx context.Context, c *controlclient.Replica) error {
			sent := time.Now()
			resp, err := c.Control.RelaySync(ctx, connect.NewRequest(req))
			if err == nil {
				r.applyControlResponse(sent, resp.Msg)
			}
			return err
		})
		if err != nil {
			r.n.counters.controlFailures.Add(1)
			klog.InfoS("Relay not confirmed by the leader", "host", r.n.options.Host, "revision", req.Revision, "after", time.Since(begin), "err", err)
		}
	}()
}

// report summarizes the nodes that report to this relay.
func (r *relay) report() *apiv1.RelaySyncRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return nil
	}
	revision := r.records.Revision()
	req := &apiv1.RelaySyncRequest{Relay: r.info(), Revision: revision, RelaysDigest: replica.RelaysDigest(r.allRelays)}
	req.Relay.Nodes = uint32(r.state.WatchedNodes())
	for _, report := range r.state.Reports() {
		req.Nodes++
		if report.Revision >= revision {
			req.InForce++
		} else if len(req.Behind) < maxReportedNodes {
			req.Behind = append(req.Behind, report)
		}
		if report.Draining && len(req.Draining) < maxReportedNodes {
			req.Draining = append(req.Draining, report)
		}
	}
	return req
}

// applyControlResponse applies the leader's response to a report that was sent at the given time.
func (r *relay) applyControlResponse(sent time.Time, resp *apiv1.RelaySyncResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return
	}
	if resp.StepDown {
		r.stepDown()
		return
	}
	if !resp.RelaysUnchanged {
		r.allRelays = resp.Relays
		r.state.SetRelays(r.allRelays, r.now())
		r.state.TriggerPull()
	}
	r.relaysWanted += resp.MoreRelays
	r.confirmed = sent
	before := r.records.Revision()
	changed := r.records.Apply(resp.Delta)
	if changed {
		klog.InfoS("Relay has a revision", "host", r.n.options.Host, "revision", r.records.Revision(), "before", before, "nodes", r.state.WatchedNodes())
	}
	if changed || !resp.RelaysUnchanged || r.relaysWanted > 0 {
		r.signalChange()
	}
}
