package proxy

import (
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/estate"
	"cactuspath/core/rollout"
	"cactuspath/core/usage"
	"cactuspath/internal/logs"
)

// This file checks the keys and usage caps of client accounts.

// Usage decides which requests of client accounts are within the usage caps.
type Usage interface {
	// Admit decides on a request and charges it to the account if it is admitted.
	Admit(account string) usage.Decision
	// Refund gives back the charge for a request that was admitted but did not run.
	Refund(account, keeper string)
}

// Account is a client account at this node. It is safe for concurrent use.
type Account struct {
	// Name is told to backend servers. ID also names the institution.
	Name, ID string
	Revision uint64
	Spec     *apiv1.AccountSpec
	// admitted and refused count the account's requests at this node.
	admitted, refused atomic.Int64
}

// AccountID returns the name by which nodes identify an account in their messages.
func AccountID(r *apiv1.AccountRecord) string { return r.Institution + "/" + r.Name }

// accounts holds the client accounts by the digests of their keys. It is immutable.
type accounts struct {
	// required is set if requests need a key, also if there is no account whose key they could have.
	required bool
	byDigest map[[sha256.Size]byte]*Account
	byID     map[string]*Account
}

// newAccounts compiles the records. The counters of accounts that were there before go on.
func newAccounts(records []*apiv1.AccountRecord, previous *accounts) *accounts {
	list := &accounts{byDigest: map[[sha256.Size]byte]*Account{}, byID: map[string]*Account{}}
	for _, r := range records {
		list.required = true
		if rollout.RequiresKeys(r) {
			continue
		}
		a := &Account{Name: r.Name, ID: AccountID(r), Revision: r.ChangedAt, Spec: r.Spec}
		if before := previous.byID[a.ID]; before != nil {
			a.admitted.Store(before.admitted.Load())
			a.refused.Store(before.refused.Load())
		}
		list.byID[a.ID] = a
		for _, digest := range r.Spec.GetKeyDigests() {
			if len(digest) == sha256.Size {
				list.byDigest[[sha256.Size]byte(digest)] = a
			}
		}
	}
	return list
}

// credential is the outcome of the check of a request's key.
type credential struct {
	// account is nil if requests need no key, or if a request on a public route has no valid one.
	account *Account
	digest  [sha256.Size]byte
	table   *Table
	// keeper is the keeper of the usage cap that was charged for the request, or "".
	keeper string
}

// accountName returns the name of the account, or "".
func (c *credential) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// valid reports whether the key still belongs to the account in the current configuration.
func (c *credential) valid(current *Table) bool {
	if c.account == nil || c.table == current {
		return true
	}
	holder := current.accounts.byDigest[c.digest]
	return holder != nil && holder.ID == c.account.ID
}

const (
	bearerScheme = "bearer"
	// maxKeyBytes limits the length of a key.
	maxKeyBytes = 4096
)

// bearerKey returns the key in the Authorization field of a request. Ok is false unless
// there is exactly one such field and it holds a bearer token.
func bearerKey(h http.Header) (key string, ok bool) {
	values := h["Authorization"]
	if len(values) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) || key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t") {
		return "", false
	}
	return key, true
}

// authenticate checks the key of a request. Ok is false if the request needs a key and has
// no valid one. Keys are looked up by their digests, so the time that it takes reveals
// nothing about valid keys.
func (t *Table) authenticate(r *http.Request, target Target) (c credential, ok bool) {
	c.table = t
	if !t.accounts.required {
		return c, true
	}
	key, found := bearerKey(r.Header)
	if found {
		c.digest = estate.KeyDigest(key)
		c.account = t.accounts.byDigest[c.digest]
	}
	return c, target.public() || c.account != nil
}

// refuseUnknownKey responds to a request without a valid key. The key stands in no message
// and no log.
func (h *Handler) refuseUnknownKey(w http.ResponseWriter, r *http.Request, target Target) {
	if h.refuseUnconfirmed(w, r) {
		return
	}
	logs.Decision(true, "Request refused: no valid key", "request", r.Header.Get(h.options.Dialect.RequestID), "route", target.routeName(), "fields", len(r.Header["Authorization"]), "revision", h.options.Revision(), "configurationAge", h.configurationAge())
	w.Header().Set("WWW-Authenticate", "Bearer")
	h.writeFault(w, r, Fault{Fault: fault.UnknownKey, Message: `the request has no valid key and was not run; send "Authorization: Bearer KEY" with a key of a client account, which the operator gives out`}, 0)
}

// trustsKey reports whether the key of a request may be accepted.
func (h *Handler) trustsKey(target Target, c *credential) bool {
	return c.account == nil || target.public() || h.options.KeysTrusted == nil || h.options.KeysTrusted()
}

// untrustedRetryAfter is when a caller whose key cannot be checked should come back.
const untrustedRetryAfter = time.Second

// refuseUntrustedKey responds to a request with a key while this node cannot tell whether it
// was taken away.
func (h *Handler) refuseUntrustedKey(w http.ResponseWriter, r *http.Request, c *credential) {
	logs.Decision(true, "Request refused: keys cannot be checked", "request", r.Header.Get(h.options.Dialect.RequestID), "account", c.account.ID, "revision", h.options.Revision())
	h.writeFault(w, r, Fault{Fault: fault.NotReady, Message: "this node has lost the control replicas and cannot tell which keys are valid, so the request was not run; ask another node, or restore the connection to the control replicas"}, untrustedRetryAfter)
}

// admitAccount charges the request to its account and reports whether it may run. If not,
// the caller has its response. Requests on public routes are not charged: a caller could
// leave out its key.
func (h *Handler) admitAccount(w http.ResponseWriter, r *http.Request, target Target, c *credential) bool {
	if c.account == nil || h.options.Usage == nil || target.public() {
		return true
	}
	d := h.options.Usage.Admit(c.account.ID)
	if d.Admitted {
		c.keeper = d.Keeper
		c.account.admitted.Add(1)
		if detailed := klog.V(2); detailed.Enabled() {
			detailed.InfoS("Request within its usage cap", "request", r.Header.Get(h.options.Dialect.RequestID), "account", c.account.ID, "reason", d.Reason, "keeper", d.Keeper)
		}
		return true
	}
	c.account.refused.Add(1)
	// Callers that are refused together must not come back together.
	retryAfter := d.RetryAfter + rand.N(max(d.RetryAfter, time.Millisecond))
	logs.Decision(true, "Request refused: usage cap reached", "request", r.Header.Get(h.options.Dialect.RequestID), "account", c.account.ID, "perSecond", c.account.Spec.RequestsPerSecond, "burst", c.account.Spec.Burst,
		"accountRevision", c.account.Revision, "reason", d.Reason, "keeper", d.Keeper, "retryAfter", retryAfter)
	h.writeFault(w, r, Fault{Fault: fault.CapReached, Reason: d.Reason, Message: "client account " + c.account.Name + " has reached its usage cap, so the request was not run; come back after the time given"}, retryAfter)
	return false
}

// refund gives back the charge for a request that did not run.
func (h *Handler) refund(c *credential) {
	if c.keeper != "" {
		h.options.Usage.Refund(c.account.ID, c.keeper)
		c.keeper = ""
	}
}

// AccountRequests is the number of requests of a client account at this node.
type AccountRequests struct {
	Admitted int64 `json:"admitted"`
	Refused  int64 `json:"refused"`
}

// maxReportedAccounts bounds the size of the metric by account.
const maxReportedAccounts = 1000

// AccountRequests returns the requests of the client accounts that have sent any, by
// account.
func (h *Handler) AccountRequests() map[string]AccountRequests {
	out := map[string]AccountRequests{}
	for id, a := range h.table.Load().accounts.byID {
		n := AccountRequests{a.admitted.Load(), a.refused.Load()}
		if n != (AccountRequests{}) && len(out) < maxReportedAccounts {
			out[id] = n
		}
	}
	return out
}

// setAccountFields removes what only this node may tell backend servers of the account, and
// the key, and sets the name of the account.
func (h *Handler) setAccountFields(header http.Header, c *credential) {
	name := h.options.Dialect.AccountField()
	header.Del(name)
	if !c.table.accounts.required {
		return
	}
	header.Del("Authorization")
	if c.account != nil {
		header[http.CanonicalHeaderKey(name)] = []string{c.account.Name}
	}
}
