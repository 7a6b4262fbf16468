package node

import (
	"expvar"
	"maps"
	"time"

	"cactuspath/core/directory"
	"cactuspath/internal/logs"
	"cactuspath/internal/quarantine"
	"cactuspath/internal/usage"
)

type counters struct {
	heartbeats, relayFailures, relaySearches, controlFailures expvar.Int
	exchanges, exchangeFailures, probes                       expvar.Int
	watches, watchFailures                                    expvar.Int
	reportsSent, reportsReceived, reportsMalformed            expvar.Int
	quarantine                                                quarantine.Counters
	usage                                                     usage.Counters
	// relayBytes counts the bytes that this node sent as a relay, by content.
	relayBytes expvar.Map
	// viewChanged and configurationChanged hold the times of the last change of the
	// directory view and of the configuration, in Unix milliseconds.
	viewChanged, configurationChanged expvar.Int
}

// Vars returns the node's metrics by name; docs/operators/metrics.md describes each of
// them.
func (n *Node) Vars() map[string]expvar.Var {
	vars := map[string]expvar.Var{
		"calls_answered":                &n.calls.Answered,
		"calls_canceled":                &n.calls.Canceled,
		"calls_cut_short":               &n.calls.Truncated,
		"calls_faults":                  &n.calls.Faults,
		"calls_latency_microseconds":    expvar.Func(n.calls.Latency.Summary),
		"calls_in_flight":               expvar.Func(func() any { return n.callers.current() }),
		"attempts_lost":                 &n.calls.LostAttempts,
		"attempts_moved":                &n.calls.Moves,
		"attempts_retried":              &n.calls.Retries,
		"attempts_hedged":               &n.calls.Hedges,
		"retries_by_need":               &n.calls.RetriesByNeed,
		"retries_refused_by_need":       expvar.Func(func() any { return n.proxy.RetriesRefusedByNeed() }),
		"peers_silent":                  &n.calls.SilentPeers,
		"attempts_revokes":              &n.calls.Revokes,
		"gate_started":                  &n.gates.Started,
		"gate_moved":                    &n.gates.Moved,
		"gate_refused":                  &n.gates.Refused,
		"gate_sender_gone":              &n.gates.SenderGone,
		"gate_wait_microseconds":        expvar.Func(n.gates.Waited.Summary),
		"gate_run_microseconds":         expvar.Func(n.gates.Ran.Summary),
		"gate_read_ahead_bytes":         &n.gates.ReadAhead,
		"gate_transit_microseconds":     expvar.Func(n.gates.Transit.Summary),
		"gate_load_probes":              &n.gates.Probes,
		"gate_limit_changes":            &n.gates.LimitChanges,
		"gate_limit_malformed":          &n.gates.LimitMalformed,
		"gate_profile_seeded":           expvar.Func(func() any { return n.profiles.seededGates() }),
		"gate_load_malformed":           &n.gates.LoadMalformed,
		"log_lines_skipped":             expvar.Func(func() any { return logs.Skipped() }),
		"measure_reports_sent":          &n.counters.reportsSent,
		"measure_reports_received":      &n.counters.reportsReceived,
		"measure_reports_malformed":     &n.counters.reportsMalformed,
		"quarantine_server_ends":        &n.counters.quarantine.Ends,
		"quarantine_refused":            &n.counters.quarantine.Refused,
		"quarantine_messages_sent":      &n.counters.quarantine.MessagesSent,
		"quarantine_malformed":          &n.counters.quarantine.Malformed,
		"quarantine_contents":           expvar.Func(func() any { return n.quarantine.Contents() }),
		"account_requests":              expvar.Func(func() any { return n.proxy.AccountRequests() }),
		"usage_leases":                  expvar.Func(func() any { return n.usage.Leases() }),
		"usage_messages_sent":           &n.counters.usage.MessagesSent,
		"usage_messages_received":       &n.counters.usage.MessagesReceived,
		"usage_messages_malformed":      &n.counters.usage.Malformed,
		"processor_shortages":           &n.overload.Shortages,
		"processor_refused":             &n.overload.Refused,
		"processor_refused_share":       expvar.Func(func() any { return n.overload.Share() }),
		"processor_delay_microseconds":  expvar.Func(func() any { return n.overload.Delay().Microseconds() }),
		"directory_heartbeats":          &n.counters.heartbeats,
		"directory_relay_failures":      &n.counters.relayFailures,
		"directory_relay_searches":      &n.counters.relaySearches,
		"directory_exchanges":           &n.counters.exchanges,
		"configuration_watches":         &n.counters.watches,
		"configuration_watch_failures":  &n.counters.watchFailures,
		"directory_exchange_failures":   &n.counters.exchangeFailures,
		"directory_probes":              &n.counters.probes,
		"directory_control_failures":    &n.counters.controlFailures,
		"directory_bytes_in":            &n.peers.traffic.In,
		"directory_bytes_out":           &n.peers.traffic.Out,
		"control_bytes_in":              &n.options.Control.Traffic.In,
		"control_bytes_out":             &n.options.Control.Traffic.Out,
		"directory_relay_bytes_sent":    &n.counters.relayBytes,
		"directory_changed_unix_ms":     &n.counters.viewChanged,
		"configuration_changed_unix_ms": &n.counters.configurationChanged,
		"configuration_heard_ms_ago":    expvar.Func(func() any { return min(n.sinceControlHeard(), time.Since(n.start)).Milliseconds() }),
		"configuration_revision":        expvar.Func(func() any { return n.Revision() }),
		"configuration_confirmed":       expvar.Func(func() any { return n.isConfirmed() }),
		"directory_known_endpoints":     expvar.Func(func() any { return n.knownEndpoints() }),
		"directory_acts_as_relay":       expvar.Func(func() any { return n.relay.active() }),
		"directory_relay_entries":       expvar.Func(func() any { return n.relay.entries() }),
		"directory_relay_false_alarms":  expvar.Func(func() any { return n.relay.falseSuspicions() }),
		"directory_relay_marked_failed": expvar.Func(func() any { return n.relay.failures() }),
	}
	maps.Copy(vars, n.options.Resources.Vars())
	if e := n.currentEndpoint(); e != nil {
		vars["gate_load"] = expvar.Func(func() any { return e.Load() })
	}
	if n.link != nil {
		vars["link_transfers"] = &n.link.Transfers
		vars["link_transfers_active"] = expvar.Func(func() any { return n.link.Active() })
		vars["link_backlog_ms"] = expvar.Func(func() any { return n.link.Backlog().Milliseconds() })
		vars["link_waited"] = expvar.Func(n.link.Waited.Summary)
	}
	return vars
}

func (n *Node) isConfirmed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.confirmed
}

func (n *Node) knownEndpoints() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, list := range n.view.ByService() {
		total += len(list)
	}
	return total
}

func (r *relay) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state != nil
}

// relayStat reads a value from the relay's state, or returns zero if this node is not a
// relay.
func relayStat[T any](r *relay, read func(*directory.Relay) T) (value T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil {
		value = read(r.state)
	}
	return value
}

func (r *relay) entries() int {
	return relayStat(r, func(s *directory.Relay) int { return s.Table().Len() })
}

func (r *relay) falseSuspicions() uint64 {
	return relayStat(r, func(s *directory.Relay) uint64 { return s.FalseSuspicions })
}

func (r *relay) failures() uint64 {
	return relayStat(r, func(s *directory.Relay) uint64 { return s.Failures })
}
