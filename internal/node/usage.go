package node

import (
	"cmp"
	"slices"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/usage"
	"cactuspath/internal/proxy"
)

// usageCaps returns the usage caps of the accounts that have one.
func usageCaps(accounts []*apiv1.AccountRecord) map[string]usage.Cap {
	caps := map[string]usage.Cap{}
	for _, r := range accounts {
		if perSecond := r.Spec.GetRequestsPerSecond(); perSecond > 0 {
			caps[proxy.AccountID(r)] = usage.Cap{PerSecond: perSecond, Burst: r.Spec.GetBurst()}
		}
	}
	return caps
}

// usageMembers returns the nodes that may keep usage caps, sorted by host: those that serve
// one of the routed services and do not drain. Nodes know the entries of further services only
// if they call them. Nodes with different members would select different keepers, and a node
// that is not a keeper by its own selection does not answer. If no routed service has a node,
// those of all services are used: without any keeper, accounts with a cap would be refused.
func usageMembers(byService map[string][]*apiv1.Entry, routed []string) []usage.Member {
	unrestricted := len(routed) == 0 || len(routed) > maxPrefetched
	members := servingMembers(byService, func(service string) bool { return unrestricted || slices.Contains(routed, service) })
	if len(members) == 0 {
		return servingMembers(byService, func(string) bool { return true })
	}
	return members
}

// servingMembers returns the nodes that serve one of the included services and do not drain,
// sorted by host.
func servingMembers(byService map[string][]*apiv1.Entry, included func(service string) bool) []usage.Member {
	var members []usage.Member
	for service, entries := range byService {
		if !included(service) {
			continue
		}
		for _, e := range entries {
			if e.State == apiv1.EndpointState_ENDPOINT_STATE_SERVING {
				members = append(members, usage.Member{Host: e.Host, DataCenter: e.DataCenter})
			}
		}
	}
	slices.SortFunc(members, func(a, b usage.Member) int { return cmp.Compare(a.Host, b.Host) })
	return members
}
