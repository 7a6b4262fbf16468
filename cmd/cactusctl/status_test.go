package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// The status must stay readable with a thousand nodes and accounts.
func TestStatusOfALargeFleetIsShort(t *testing.T) {
	s := &apiv1.StatusResponse{Revision: 7, Nodes: 1000, InForce: 999, Log: &apiv1.LogStatusResponse{Name: "control-1"}}
	for i := range 31 {
		s.Relays = append(s.Relays, &apiv1.RelayInfo{Host: fmt.Sprint("host-", i), DataCenter: fmt.Sprint("dc-", i%3), Nodes: 32})
	}
	for i := range 1000 {
		s.Accounts = append(s.Accounts, &apiv1.AccountStatus{Institution: "i", Name: fmt.Sprint("a", i), RequestsPerSecond: 2.5, Burst: 4, Keys: 2, ChangedAt: 3})
	}
	var out bytes.Buffer
	printStatus(&out, s)
	text := out.String()
	assert.Assert(t, strings.Count(text, "\n") < 40, "%d lines", strings.Count(text, "\n"))
	for _, want := range []string{"  11 in dc-0: 352 nodes\n", "client accounts: 1000\n", "  i/a0: 2.5 requests/s, burst 4, 2 keys, since revision 3\n", "  980 more;"} {
		assert.Assert(t, strings.Contains(text, want), "%q in\n%s", want, text)
	}
}
