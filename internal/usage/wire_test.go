package usage

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
	"cactuspath/core/usage"
)

// Guards against datagrams that the receiver cuts off or misreads: a lease counts from the
// report that it answers, so the report's time must come back as it was sent.
func TestDatagramsCarryLeases(t *testing.T) {
	account := strings.Repeat("i", 63) + "/" + strings.Repeat("a", 63)
	const process, sentAt = math.MaxUint64, 300 * 24 * time.Hour
	sent := usage.Message{}
	for range maxItems {
		sent.Reports = append(sent.Reports, usage.Report{Account: account, Spent: 1 << 32, Unacknowledged: 1 << 7, Refused: 1 << 14, SentAt: sentAt})
		sent.Grants = append(sent.Grants, usage.Grant{Account: account, Receiver: process, Spent: 1 << 32, Limit: 1<<32 + 9, Open: true, Wait: time.Second, SentAt: sentAt})
	}
	var received usage.Message
	for _, data := range encode(strings.Repeat("h", 63), process, sent) {
		assert.Assert(t, len(data) <= 1<<10, "%d bytes", len(data))
		_, _, m, err := decode(data, process)
		assert.NilError(t, err)
		received.Reports = append(received.Reports, m.Reports...)
		received.Grants = append(received.Grants, m.Grants...)
	}
	assert.DeepEqual(t, received, sent)
}

// Guards against a node that takes part in leases although they are switched off there, and
// against a keeper's metric that counts none.
func TestAccountantExchangesLeases(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		accountants := map[string]*Accountant{}
		members := []usage.Member{{Host: "a", DataCenter: "x"}, {Host: "b", DataCenter: "x"}}
		for _, m := range members {
			a := New(Options{Host: m.Host, DataCenter: m.DataCenter, Tolerance: usage.Tolerance{Slack: 20, Overage: 0.1}, Counters: &Counters{},
				Send: func(host string, data []byte) { accountants[host].Receive(data) }})
			t.Cleanup(a.Close)
			a.SetCaps(map[string]usage.Cap{"club": {PerSecond: 500, Burst: 500}})
			a.SetMembers(members)
			if disabled {
				a.SetDisabled(mechanism.Leases)
			}
			accountants[m.Host] = a
		}
		reasons := map[string]int{}
		for range 12 {
			for _, m := range members {
				reasons[accountants[m.Host].Admit("club").Reason]++
			}
			// Each request is reported on its own.
			time.Sleep(30 * time.Millisecond)
		}
		leases := accountants["a"].Leases() + accountants["b"].Leases()
		assert.Equal(t, leases > 0 && reasons[usage.ReasonLease] > 0, !disabled, "%d leases, %v", leases, reasons)
	}
}
