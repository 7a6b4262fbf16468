// Package testcert creates TLS certificates for tests.
package testcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Files holds the paths of a process's certificate, its private key and the certificate
// authority.
type Files struct{ Certificate, Key, Authority string }

// Write creates a certificate authority and a host certificate that it signs for loopback, and
// writes both to folder. Existing files are overwritten.
func Write(t testing.TB, folder string) Files {
	t.Helper()
	authority, authorityKey := newCertificate(t, "authority", nil, nil)
	host, hostKey := newCertificate(t, "host", authority, authorityKey)
	files := Files{Certificate: filepath.Join(folder, "host.pem"), Key: filepath.Join(folder, "host.key"), Authority: filepath.Join(folder, "ca.pem")}
	key, err := x509.MarshalECPrivateKey(hostKey)
	assert.NilError(t, err)
	write := func(file, blockType string, der []byte) {
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
	}
	write(files.Authority, "CERTIFICATE", authority.Raw)
	write(files.Certificate, "CERTIFICATE", host.Raw)
	write(files.Key, "EC PRIVATE KEY", key)
	return files
}

// newCertificate creates a certificate that is valid for an hour and signed by parent, or a
// self-signed authority if parent is nil.
func newCertificate(t testing.TB, name string, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
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
