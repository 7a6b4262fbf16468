package explain

import (
	"fmt"
	"io"
	"strings"
)

// Cause describes in one sentence why the request ended as it did.
func (t *Timeline) Cause() string {
	final, found := t.finalEntry(t.Request)
	if !found {
		return "no log shows how this request ended: include the log of the node that the caller sent it to; a busy process skips lines (\"Lines about requests skipped\"), " +
			"and a process that is short of processor time reads requests late (\"Process overloaded\")"
	}
	switch final.Message {
	case "Given up":
		return t.explainGivenUp(final)
	case "Answered":
		return t.explainAnswered(final)
	case "Caller gone":
		return "the caller disconnected after " + final.Value("took")
	case "Caller disconnected before its request was read":
		return "the caller disconnected before the node read the request: the node was short of processor time, or the caller's timeout was very short"
	}
	return "the caller's node was short of processor time and refused the request; it did not run"
}

// finalMessages are the messages that the node that received a request from its caller logs at the
// end of the request.
var finalMessages = []string{"Given up", "Answered", "Caller gone", "Caller disconnected before its request was read", "Request refused: process overloaded"}

// finalEntry returns the last entry of a request that has one of the finalMessages.
func (t *Timeline) finalEntry(request string) (Entry, bool) {
	for i := len(t.Entries) - 1; i >= 0; i-- {
		e := t.Entries[i]
		for _, message := range finalMessages {
			if e.Message == message && e.Value("request") == request {
				return e, true
			}
		}
	}
	return Entry{}, false
}

// reasonTexts maps the codes in log lines, which are reasons of gate refusals and outcomes of
// attempts, to explanations.
var reasonTexts = map[string]string{
	"queue-full":              "the service was full",
	"too-late":                "the request could not have finished in the time that was left",
	"draining":                "the endpoint asked was draining",
	"down":                    "the backend server accepted no connection",
	"canceled":                "the caller had disconnected",
	"quarantined":             "backend servers ended while running requests like this one; look for \"Content kept away from servers\"",
	"limited":                 "the backend server had got as many requests as the limit that it names",
	"evacuated":               "an operator has evacuated the endpoint's data centre; see `cactusctl audit`",
	"short-of-processor-time": "the endpoint's node was short of processor time",
	"restarted":               "the endpoint's node had restarted",
	"unreached":               "the backend server accepted no connection",
	"fenced":                  "the attempt had been revoked before it arrived",
	"revoked":                 "the attempt had been revoked while it waited",
	"broke":                   "the connection to the backend server broke during the request, so the request may have run",
	"rejected":                "the backend server rejected the request without running it",
}

// explainGivenUp describes why the request of a "Given up" entry failed.
func (t *Timeline) explainGivenUp(final Entry) string {
	text := reasonTexts[final.Value("reason")]
	switch {
	case final.Value("fault") == "no-endpoint":
		text = "no endpoint of service " + final.Value("service") + " was known at the caller's node"
	case final.Value("fault") == "outcome-unknown" && strings.HasPrefix(final.Value("left"), "-"):
		text = "the deadline passed, and the request may have run"
	case text == "" && final.Value("fault") == "outcome-unknown":
		text = "the answer was lost, so the request may have run"
	case text == "":
		text = "no endpoint took the request"
	}
	if e, ok := t.lastRefusal(final.Value("request")); ok && e.Value("reason") == final.Value("reason") {
		text += gateState(e)
	}
	return fmt.Sprintf("%s: %s", final.Value("fault"), text)
}

// gateState describes the load of the backend server that a gate logged when it refused a request
// because its queue was full or the request could not finish in time. It returns "" for refusals
// for other reasons.
func gateState(refusal Entry) string {
	if reason := refusal.Value("reason"); reason != "queue-full" && reason != "too-late" {
		return ""
	}
	text := fmt.Sprintf("; %s had %s of %s slots in use and %s waiting, and expected the request to take %s", refusal.Value("host"), refusal.Value("running"), refusal.Value("slots"),
		refusal.Value("waiting"), refusal.Value("service"))
	if slowdown := refusal.Value("slowdown"); slowdown != "1" && slowdown != "" {
		text += ", " + slowdown + " times the usual"
	}
	if refusal.Value("everywhere") == "true" {
		text += "; its siblings were as busy"
	}
	return text
}

// lastRefusal returns the entry of the last decision of a gate to refuse the request.
func (t *Timeline) lastRefusal(request string) (Entry, bool) {
	for i := len(t.Entries) - 1; i >= 0; i-- {
		if e := t.Entries[i]; e.Message == "Gate decided" && e.Value("request") == request && e.Value("outcome") == "refused" {
			return e, true
		}
	}
	return Entry{}, false
}

// explainAnswered describes the response that an "Answered" entry reports. For a server error, it
// also describes the first failed call that a backend server made while running the request.
func (t *Timeline) explainAnswered(final Entry) string {
	text := "the backend server answered with status " + final.Value("status") + " after " + final.Value("took")
	if err := final.Value("err"); err != "" && err != "null" && err != "<nil>" {
		text += ", and the answer was cut short: " + err
	}
	if !strings.HasPrefix(final.Value("status"), "5") {
		return text
	}
	for _, e := range t.Entries {
		if id := e.Value("request"); e.Message == "Given up" && id != t.Request {
			return text + "; a call that it made failed (" + id + "): " + t.explainGivenUp(e)
		}
	}
	return text + "; the logs have no \"Given up\" line for a call that it made"
}

// Write prints the entries, with those of nested calls indented, and then the cause.
func (t *Timeline) Write(out io.Writer) error {
	var b strings.Builder
	for _, e := range t.Entries {
		fmt.Fprintf(&b, "%s  %-24s %s%s", e.Time, e.Source, strings.Repeat("  ", e.depth()), e.Message)
		for _, f := range e.Fields {
			if !omittedFields[f.Key] {
				fmt.Fprintf(&b, " %s=%s", f.Key, f.Value)
			}
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "cause: %s\n", t.Cause())
	_, err := io.WriteString(out, b.String())
	return err
}

// omittedFields are not printed, because their values are the same in most lines or useful only in
// a comparison with other requests.
var omittedFields = map[string]bool{"request": true, "content": true, "alike": true, "revision": true}
