package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
	"cactuspath/internal/transport"
)

// All processes speak TLS with certificates of one authority. The whole path
// works; a tool without a certificate gets no answer.
func TestWholePathWithTLS(t *testing.T) {
	c := newCluster(t, 1)
	files := certificates(t, c.folder)
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

// certificates writes an authority and a certificate of it for loopback.
func certificates(t *testing.T, folder string) transport.TLSFiles {
	t.Helper()
	authority, authorityKey := certificate(t, "authority", nil, nil)
	host, hostKey := certificate(t, "host", authority, authorityKey)
	files := transport.TLSFiles{Certificate: filepath.Join(folder, "host.pem"), Key: filepath.Join(folder, "host.key"), Authority: filepath.Join(folder, "ca.pem")}
	key, err := x509.MarshalECPrivateKey(hostKey)
	assert.NilError(t, err)
	write := func(file, kind string, der []byte) {
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	}
	write(files.Authority, "CERTIFICATE", authority.Raw)
	write(files.Certificate, "CERTIFICATE", host.Raw)
	write(files.Key, "EC PRIVATE KEY", key)
	return files
}

func certificate(t *testing.T, name string, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, BasicConstraintsValid: true, IsCA: parent == nil,
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	assert.NilError(t, err)
	parsed, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return parsed, key
}
