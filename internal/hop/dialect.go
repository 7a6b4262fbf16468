package hop

import (
	"net/http"
	"time"
)

// Dialect names the header fields that callers and backend servers use. A field
// left empty is neither read nor sent. The zero Dialect is our own, in which
// only the time left has a name.
type Dialect struct {
	// RequestID identifies a request; backend servers give it back.
	RequestID string
	// Timeout holds the milliseconds that are left.
	Timeout string
	// ExpectInstance names the instance of the backend server that is to run the
	// request; any other refuses it.
	ExpectInstance string
	// Instance names the instance that answered.
	Instance string
	// CallerService names the service of the host where the request began.
	CallerService string
	// NotRun marks an answer to a request that the backend server did not run.
	NotRun string
	// Load holds the backend server's load, read by ParseLoad.
	Load      string
	ParseLoad func(string) (ServerLoad, bool)
	// Cold holds, in answers about health, for how long the backend server stays cold,
	// read by ParseCold.
	Cold      string
	ParseCold func(string) (time.Duration, bool)
	// FractionalRetryAfter: callers understand fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// ServerLoad is what a backend server says of its load with an answer.
type ServerLoad struct {
	Running, Waiting, Slots int
	// Slowdown is how many times longer than usual work takes at this moment.
	Slowdown float64
}

// timeout is the name of the field with the time left.
func (d *Dialect) timeout() string {
	if d.Timeout == "" {
		return TimeoutHeader
	}
	return d.Timeout
}

// TimeoutField names the field with the time left.
func (d *Dialect) TimeoutField() string { return d.timeout() }

// CleanCaller removes what a caller may not say, and sets whose service calls.
// Without it a caller could pass for another service, or choose an instance.
func (d *Dialect) CleanCaller(h http.Header, service string) {
	for _, name := range []string{d.ExpectInstance, d.Instance, d.NotRun, d.Load, d.Cold} {
		if name != "" {
			h.Del(name)
		}
	}
	if d.CallerService != "" {
		h.Set(d.CallerService, service)
	}
}

// SaysNotRun tells whether an answer states that the request did not run.
func (d *Dialect) SaysNotRun(resp *http.Response) bool {
	if d.NotRun == "" {
		return false
	}
	return resp.Header.Get(d.NotRun) != "" || d.OtherInstance(resp)
}

// OtherInstance tells whether the answer comes from another instance than the
// one that the request named.
func (d *Dialect) OtherInstance(resp *http.Response) bool {
	return d.ExpectInstance != "" && resp.StatusCode == http.StatusMisdirectedRequest
}
