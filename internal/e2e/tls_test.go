package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
	"cactuspath/internal/testcert"
	"cactuspath/internal/transport"
)

// All processes speak TLS with certificates of one authority. The whole path
// works; a tool without a certificate gets no answer.
func TestWholePathWithTLS(t *testing.T) {
	c := newCluster(t, 1)
	files := transport.TLSFiles(testcert.Write(t, c.folder))
	c.tls = fmt.Sprintf(`"tls": {"certificate": %q, "key": %q, "authority": %q},`, files.Certificate, files.Key, files.Authority)
	c.ctlTLS = []string{"--tls-certificate", files.Certificate, "--tls-key", files.Key, "--tls-authority", files.Authority}
	c.start()
	security, err := transport.NewSecurity(files)
	assert.NilError(t, err)
	c.client = &operator.Client{Control: controlclient.New(security, c.control, ""), Name: "tester"}
	c.addNode("hello")
	front := c.addNode("")
	c.submit(estateText("tls", "hello"))
	front.serves(t, "hello")
	for range 5 {
		resp, body, err := front.request(http.MethodGet, "hello", "/x", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, "hello GET /x\n")
	}
	code, out := c.run("cactusctl", "--control", c.control[0], "--timeout", "2s", "status")
	assert.Equal(t, code, operator.ExitUnreachable, out)
}
