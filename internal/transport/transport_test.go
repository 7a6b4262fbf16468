package transport

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/testcert"
)

// serveTLS answers "ok" to peers with a certificate of the authority.
func serveTLS(t *testing.T, s *Security) string {
	t.Helper()
	l, err := s.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	server.SetKeepAlivesEnabled(false)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func ask(c *http.Client, address string) error {
	resp, err := c.Get("https://" + address + "/")
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func securityOf(t *testing.T, files testcert.Files) *Security {
	t.Helper()
	s, err := NewSecurity(TLSFiles(files))
	assert.NilError(t, err)
	s.every = 0
	return s
}

// The certificates of two running processes are renewed, with a new authority. A
// client that kept what it had read at its start could open no connection any
// more: it trusted the old authority and showed the old certificate.
func TestRenewedCertificatesServeRunningProcesses(t *testing.T) {
	folder := t.TempDir()
	files := testcert.Write(t, folder)
	address := serveTLS(t, securityOf(t, files))
	client := securityOf(t, files).ControlClient(&Traffic{})
	assert.NilError(t, ask(client, address))

	testcert.Write(t, folder)
	later := time.Now().Add(time.Second)
	assert.NilError(t, os.Chtimes(files.Certificate, later, later))
	assert.NilError(t, ask(client, address))
	started := securityOf(t, files)
	assert.NilError(t, ask(client, serveTLS(t, started)), "the running client and a process that starts now")
	assert.NilError(t, ask(started.ControlClient(&Traffic{}), address), "a process that starts now and the running one")
}

// The renewed key is being written when it is looked at: the certificate in use
// stays, and the next look finds the whole one.
func TestHalfWrittenCertificateKeepsTheOneInUse(t *testing.T) {
	folder := t.TempDir()
	files := testcert.Write(t, folder)
	address := serveTLS(t, securityOf(t, files))
	client := securityOf(t, files).ControlClient(&Traffic{})
	assert.NilError(t, ask(client, address))

	key, err := os.ReadFile(files.Key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.Key, key[:len(key)/2], 0o600))
	later := time.Now().Add(time.Second)
	assert.NilError(t, os.Chtimes(files.Certificate, later, later))
	assert.NilError(t, ask(client, address))
	assert.NilError(t, os.WriteFile(files.Key, key, 0o600))
	assert.NilError(t, ask(client, address))
}

// A peer without a certificate of the authority gets no answer.
func TestPeerOfAnotherAuthorityIsRefused(t *testing.T) {
	address := serveTLS(t, securityOf(t, testcert.Write(t, t.TempDir())))
	stranger := securityOf(t, testcert.Write(t, t.TempDir()))
	assert.Assert(t, ask(stranger.ControlClient(&Traffic{}), address) != nil)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = stranger.WrapClient(conn, address).Write([]byte("x"))
	assert.Assert(t, err != nil)
}
