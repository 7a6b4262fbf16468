package replica

import (
	"expvar"

	"cactuspath/internal/quarantine"
	"cactuspath/internal/transport"
)

// counters are the metrics of this replica. The process publishes them under /debug/vars.
type counters struct {
	messagesSent, messagesDropped, messagesFailed expvar.Int
	syncs, compactions, diskFailures              expvar.Int
	changes                                       expvar.Map
	relaySyncs, findRelays, watches               expvar.Int
	quarantine                                    quarantine.Counters
	traffic                                       transport.Traffic
}

func newCounters() *counters { return &counters{} }

// Vars returns the replica's metrics by name.
func (r *Replica) Vars() map[string]expvar.Var {
	gauge := func(f func() any) expvar.Var { return expvar.Func(f) }
	return map[string]expvar.Var{
		"control_messages_sent":       &r.counters.messagesSent,
		"control_messages_dropped":    &r.counters.messagesDropped,
		"control_messages_failed":     &r.counters.messagesFailed,
		"control_syncs":               &r.counters.syncs,
		"control_compactions":         &r.counters.compactions,
		"control_disk_failures":       &r.counters.diskFailures,
		"control_changes":             &r.counters.changes,
		"control_relay_syncs":         &r.counters.relaySyncs,
		"control_find_relays":         &r.counters.findRelays,
		"control_watches":             &r.counters.watches,
		"control_peer_bytes_in":       &r.counters.traffic.In,
		"control_peer_bytes_out":      &r.counters.traffic.Out,
		"control_quarantine_contents": gauge(func() any { return r.quarantine.Contents() }),
		"control_profiles":            gauge(func() any { return r.profiles.services() }),
		"control_revision":            gauge(func() any { return r.Revision() }),
		"control_role":                gauge(func() any { return r.Status().Role.String() }),
		"control_voters":              gauge(func() any { return r.Status().Voters() }),
		"control_silent_voters":       gauge(func() any { return len(silentVoters(r.Status(), r.options.Tick)) }),
		"control_confirmed_age_ms":    gauge(func() any { return r.confirmedAge().Milliseconds() }),
		"control_term":                gauge(func() any { return r.Status().Term }),
		"control_commit":              gauge(func() any { return r.Status().Commit }),
		"control_commit_bound":        gauge(func() any { return r.Status().CommitBound }),
		"control_applied":             gauge(func() any { return r.Status().Applied }),
	}
}
