package hop

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
)

// TestLimitedRefusalIsReadableByEarlierReleases guards against a refusal whose reason a node of
// an earlier release does not know and cannot print.
func TestLimitedRefusalIsReadableByEarlierReleases(t *testing.T) {
	reply := Reply{ID: gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: 3}, Verdict: Refused, Reason: gate.Limited, RetryAfter: time.Second, Incarnation: 4, Revision: 5}
	encoded := reply.Encode()
	parsed, err := ParseReply(encoded)
	assert.NilError(t, err)
	assert.Equal(t, parsed, reply)
	const reasonField = 3
	assert.Equal(t, strings.Split(encoded, separator)[reasonField], strconv.Itoa(int(gate.QueueFull)))
}
