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

// session records what was typed and sent, and what came back, with ports,
// times and ids made equal.
type session struct {
	c   *cluster
	out strings.Builder
}

var (
	ports  = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	times  = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	logs   = regexp.MustCompile(`(term|log) \d+`)
	first  = regexp.MustCompile(`(?m)^\d+  TIME`)
	relays = regexp.MustCompile(`host-\d+ in dc-a: \d+ nodes`)
)

func (s *session) normal(text string) string {
	text = strings.ReplaceAll(text, s.c.folder, "FOLDER")
	text = ports.ReplaceAllString(text, "ADDRESS")
	text = times.ReplaceAllString(text, "TIME")
	text = first.ReplaceAllString(text, "INDEX  TIME")
	text = logs.ReplaceAllString(text, "$1 N")
	return relays.ReplaceAllString(text, "HOST in dc-a: N nodes")
}

func (s *session) ctl(args ...string) {
	code, out := s.c.ctl(args...)
	fmt.Fprintf(&s.out, "$ cactusctl %s\n%s(exit %d)\n\n", s.normal(strings.Join(args, " ")), s.normal(out), code)
}

// call sends a request with curl's notation and records the answer.
func (s *session) call(n *nodeProc, method, host, path, body string, header ...string) {
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
	fmt.Fprintf(&s.out, "\n%s\n", s.normal(string(content)))
}

// A whole session of an operator and callers, byte for byte.
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
	c.submitted(1)
	n.serves(t, "hello")
	s.ctl("submit", "--base", "0", "--change-id", "c1", good)
	s.ctl("submit", "--base", "0", "--change-id", "c1", next)
	s.ctl("submit", "--base", "0", "--change-id", "c2", next)
	s.ctl("diff", next)
	s.ctl("submit", "--base", "1", "--change-id", "c3", next)
	s.ctl("submit", "--base", "2", "--change-id", "c4", bad)
	c.submitted(2)
	s.ctl("show", "trial")
	s.ctl("show", "nobody")
	s.call(n, "GET", "hello.example", "/a?b=c", "")
	s.call(n, "POST", "hello.example", "/form?status=201", "x=1")
	s.call(n, "GET", "nobody.example", "/", "")
	s.call(n, "GET", "other.example", "/", "", "Cactus-Service", "hello")
	s.call(n, "GET", "hello.example", "/late?sleep=60s", "", "Cactus-Timeout-Ms", "0")
	s.ctl("drain", "--change-id", "c5", "host-1")
	s.call(n, "GET", "hello.example", "/drained", "")
	s.ctl("undrain", "--change-id", "c6", "host-1")
	s.ctl("audit")
	s.ctl("audit", "--change", "nothing")
	s.ctl("status", "--nonsense")
	golden.Assert(t, s.out.String(), "session.golden")
}

// submitted waits until a revision is in force on every node.
func (c *cluster) submitted(revision uint64) {
	c.t.Helper()
	_, err := c.client.WaitInForce(contextOf(c.t), revision, len(c.nodes))
	assert.NilError(c.t, err)
}
