package e2e

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// session records commands, requests and their output, with variable parts such as ports, times and
// IDs replaced.
type session struct {
	c   *cluster
	out strings.Builder
}

var (
	addressPattern    = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	timePattern       = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	termOrLogPattern  = regexp.MustCompile(`(term|log) \d+`)
	auditIndexPattern = regexp.MustCompile(`(?m)^\d+  TIME`)
	relayPattern      = regexp.MustCompile(`host-\d+ in dc-a: \d+ nodes`)
)

func (s *session) normalize(text string) string {
	text = strings.ReplaceAll(text, s.c.folder, "FOLDER")
	text = addressPattern.ReplaceAllString(text, "ADDRESS")
	text = timePattern.ReplaceAllString(text, "TIME")
	text = auditIndexPattern.ReplaceAllString(text, "INDEX  TIME")
	text = termOrLogPattern.ReplaceAllString(text, "$1 N")
	return relayPattern.ReplaceAllString(text, "HOST in dc-a: N nodes")
}

func (s *session) ctl(args ...string) {
	code, out := s.c.ctl(args...)
	fmt.Fprintf(&s.out, "$ cactusctl %s\n%s(exit %d)\n\n", s.normalize(strings.Join(args, " ")), s.normalize(out), code)
}

// request sends a request and records it in the notation of curl, with the response.
func (s *session) request(n *nodeProcess, method, host, path, body string, header ...string) {
	req, err := http.NewRequest(method, "http://"+n.callers+path, strings.NewReader(body))
	assert.NilError(s.c.t, err)
	req.Host = host
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.c.t, err)
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	assert.NilError(s.c.t, err)
	fmt.Fprintf(&s.out, "> %s http://%s%s %s\n< %d", method, host, path, strings.Join(header, " "), resp.StatusCode)
	for _, name := range []string{"Cactus-Fault", "Retry-After", "Content-Type"} {
		if v := resp.Header.Get(name); v != "" {
			fmt.Fprintf(&s.out, " %s: %s;", name, v)
		}
	}
	fmt.Fprintf(&s.out, "\n%s\n", s.normalize(string(content)))
}

// Guards against unintended changes in what operators and callers see: a complete session must equal
// the golden file, byte for byte.
func TestSessionIsAsRecorded(t *testing.T) {
	c := newCluster(t, 1).start()
	n := c.addNode("hello")
	s := &session{c: c}
	good := c.estateFile("good.jsonc", estateText("v1", "hello"))
	bad := c.estateFile("bad.jsonc", `{"institution": "trial", "services": {"hello": {"slots": 0, "timeout": "soon"}}, "extra": 1}`)
	next := c.estateFile("next.jsonc", estateText("v2", "hello", "more"))

	s.ctl("check", bad)
	s.ctl("check", good)
	s.ctl("submit", "--base", "0", "--change-id", "c1", good)
	c.waitInForce(1)
	n.waitServing(t, "hello")
	s.ctl("submit", "--base", "0", "--change-id", "c1", good)
	s.ctl("submit", "--base", "0", "--change-id", "c1", next)
	s.ctl("submit", "--base", "0", "--change-id", "c2", next)
	s.ctl("diff", next)
	s.ctl("submit", "--base", "1", "--change-id", "c3", next)
	s.ctl("submit", "--base", "2", "--change-id", "c4", bad)
	c.waitInForce(2)
	s.ctl("show", "trial")
	s.ctl("show", "nobody")
	s.request(n, "GET", "hello.example", "/a?b=c", "")
	s.request(n, "POST", "hello.example", "/form?status=201", "x=1")
	s.request(n, "GET", "nobody.example", "/", "")
	s.request(n, "GET", "other.example", "/", "", "Cactus-Service", "hello")
	s.request(n, "GET", "hello.example", "/late?sleep=60s", "", "Cactus-Timeout-Ms", "0")
	s.ctl("drain", "--change-id", "c5", "host-1")
	s.request(n, "GET", "hello.example", "/drained", "")
	s.ctl("undrain", "--change-id", "c6", "host-1")
	s.ctl("audit")
	s.ctl("audit", "--change", "nothing")
	s.ctl("status", "--nonsense")
	golden.Assert(t, s.out.String(), "session.golden")
}

// waitInForce waits until a revision is in force on every node.
func (c *cluster) waitInForce(revision uint64) {
	c.t.Helper()
	_, err := c.client.WaitInForce(testContext(c.t), revision, len(c.nodes))
	assert.NilError(c.t, err)
}
