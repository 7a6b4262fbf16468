package hop

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect names the header fields that callers and backend servers use. A field with an empty
// name is neither read nor sent. The zero Dialect is this project's own; it has only the
// field with the remaining time, TimeoutHeader.
type Dialect struct {
	// RequestID identifies a request; backend servers return it in the response.
	RequestID string
	// Timeout holds the remaining time in milliseconds.
	Timeout string
	// ExpectInstance names the instance of the backend server that must run the request;
	// any other instance refuses it.
	ExpectInstance string
	// Instance names the instance that sent the response.
	Instance string
	// CallerService names the calling service, that is, the service of the host where the
	// request originated.
	CallerService string
	// Account names the client account of a request to the backend server. If it is empty,
	// AccountHeader is used.
	Account string
	// NotRun marks a response to a request that the backend server did not run.
	NotRun string
	// Load holds the backend server's load, parsed by ParseLoad.
	Load      string
	ParseLoad func(string) (ServerLoad, bool)
	// Cold holds, in responses to health checks, the remaining duration of the backend
	// server's cold start, parsed by ParseCold.
	Cold      string
	ParseCold func(string) (time.Duration, bool)
	// Limit holds, in any response, the number of requests per second that the backend
	// server accepts from all nodes together, as a decimal number. Leaving is LeavingValue
	// in all responses of a backend server that is shutting down. If they are empty,
	// LimitHeader and LeavingHeader are used.
	Limit, Leaving string
	// FractionalRetryAfter means that callers accept fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// ServerLoad is the load that a backend server reports in a response.
type ServerLoad struct {
	// Running and Waiting are the numbers of requests that run and wait in the server, Slots
	// is the number that it can run at the same time.
	Running, Waiting, Slots int
	// Slowdown is the current service time as a multiple of the usual one.
	Slowdown float64
}

// timeoutHeader returns the name of the field with the remaining time.
func (d *Dialect) timeoutHeader() string {
	return orDefault(d.Timeout, TimeoutHeader)
}

// TimeoutField returns the name of the field with the remaining time, which is TimeoutHeader
// unless Timeout is set.
func (d *Dialect) TimeoutField() string { return d.timeoutHeader() }

// AccountField returns the name of the field that names the client account of a request.
func (d *Dialect) AccountField() string { return orDefault(d.Account, AccountHeader) }

// LeavingValue is the value of the field with which a backend server says that it is shutting
// down.
const LeavingValue = "1"

// ServerLimit returns the limit that a response names. Ok is false if the response has a
// malformed limit, which neither names nor withdraws one.
func (d *Dialect) ServerLimit(h http.Header) (perSecond float64, named, ok bool) {
	value := h.Get(orDefault(d.Limit, LimitHeader))
	if value == "" {
		return 0, false, true
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return 0, false, false
	}
	return perSecond, true, true
}

// ServerLeaving reports whether a response states that the backend server is shutting down.
func (d *Dialect) ServerLeaving(h http.Header) bool {
	return strings.TrimSpace(h.Get(orDefault(d.Leaving, LeavingHeader))) == LeavingValue
}

func orDefault(name, standard string) string {
	if name == "" {
		return standard
	}
	return name
}

// SanitizeRequest removes the fields that callers may not set, and sets the calling
// service. Otherwise a caller could impersonate another service or choose an instance.
func (d *Dialect) SanitizeRequest(h http.Header, service string) {
	for _, name := range []string{d.ExpectInstance, d.Instance, d.NotRun, d.Load, d.Cold} {
		if name != "" {
			h.Del(name)
		}
	}
	if d.CallerService != "" {
		h.Set(d.CallerService, service)
	}
}

// ReportsNotRun reports whether a response states that the request was not run, or comes from
// another instance, which does not run it either.
func (d *Dialect) ReportsNotRun(resp *http.Response) bool {
	if d.NotRun == "" {
		return false
	}
	return resp.Header.Get(d.NotRun) != "" || d.OtherInstance(resp)
}

// OtherInstance reports whether the response comes from an instance other than the one
// that the request named.
func (d *Dialect) OtherInstance(resp *http.Response) bool {
	return d.ExpectInstance != "" && resp.StatusCode == http.StatusMisdirectedRequest
}
