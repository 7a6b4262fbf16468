package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/api/fault"
	"cactuspath/core/gate"
)

// Guards against final refusals by an old configuration: a node that has not heard of a change
// tells callers of a new route, or with a new key, not to come back. What it knows it still serves.
func TestNodeRefusesNothingForGoodByAnUnconfirmedConfiguration(t *testing.T) {
	const lease = 2 * time.Second
	node := newFakeNode(t, respondWith("ok"))
	large := httptest.NewRequest("POST", "http://pay.example/", strings.NewReader(strings.Repeat("x", 2<<20)))
	var age time.Duration
	newHandler := func(accounts bool) *Handler {
		h := newTestHandler(gate.RevokeUnknown, node.Listener.Addr().String())
		h.options.ConfigurationAge, h.options.ConfigurationLease = func() time.Duration { return age }, lease
		if accounts {
			withAccounts(h, accountRecord("club", 1, "k1"))
		}
		return h
	}
	withKeys, withoutKeys := newHandler(true), newHandler(false)
	cases := []struct {
		desc      string
		serve     func() *httptest.ResponseRecorder
		confirmed fault.Kind
	}{
		{"a known route and key", func() *httptest.ResponseRecorder { return serveRequest(withKeys, "/keyed/", bearer("k1")) }, ""},
		{"an unknown route", func() *httptest.ResponseRecorder { return serveRequest(withKeys, "/new/", bearer("k1")) }, fault.NoSuchService},
		{"an unknown key", func() *httptest.ResponseRecorder { return serveRequest(withKeys, "/keyed/", bearer("k2")) }, fault.UnknownKey},
		{"a body over the limit of the service", func() *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			withoutKeys.ServeHTTP(w, large)
			return w
		}, fault.TooLarge},
	}
	for _, c := range cases {
		for _, age = range []time.Duration{0, lease - time.Millisecond, lease, time.Hour} {
			want := c.confirmed
			if want != "" && age >= lease {
				want = fault.NotReady
			}
			w := c.serve()
			assert.Equal(t, w.Header().Get(fault.Header), string(want), "%s, %v after the configuration was confirmed", c.desc, age)
			if want == fault.NotReady {
				assert.Equal(t, w.Code, http.StatusServiceUnavailable, c.desc)
				assert.Assert(t, w.Header().Get(RetryAfterHeader) != "", c.desc)
			}
		}
	}
}
