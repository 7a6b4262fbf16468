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

// Guards against failures with TLS between all processes, with certificates of one authority.
// Requests must be served, and a command without a certificate must get no response.
func TestWholePathWithTLS(t *testing.T) {
	c := newCluster(t, 1)
	files := transport.TLSFiles(testcert.Write(t, c.folder))
	c.tlsSettings = fmt.Sprintf(`"tls": {"certificate": %q, "key": %q, "authority": %q},`, files.Certificate, files.Key, files.Authority)
	c.ctlTLSFlags = []string{"--tls-certificate", files.Certificate, "--tls-key", files.Key, "--tls-authority", files.Authority}
	c.start()
	security, err := transport.NewSecurity(files)
	assert.NilError(t, err)
	c.client = &operator.Client{Control: controlclient.New(security, c.controlAddresses, ""), Name: "tester"}
	c.addNode("hello")
	front := c.addNode("")
	c.submit(estateText("tls", "hello"))
	front.waitServing(t, "hello")
	for range 5 {
		resp, body, err := front.request(http.MethodGet, "hello", "/x", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, "hello GET /x\n")
	}
	code, out := c.run("cactusctl", "--control", c.controlAddresses[0], "--timeout", "2s", "status")
	assert.Equal(t, code, operator.ExitUnreachable, out)
}
