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

// serveTLS starts a server that answers "ok" to peers whose certificate is signed by the authority.
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

func get(c *http.Client, address string) error {
	resp, err := c.Get("https://" + address + "/")
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func newSecurity(t *testing.T, files testcert.Files) *Security {
	t.Helper()
	s, err := NewSecurity(TLSFiles(files))
	assert.NilError(t, err)
	s.interval = 0
	return s
}

// Guards against running processes that keep their initial certificates. After a renewal with a new
// authority, such a client could not open connections any more, because it would trust the old
// authority and present the old certificate.
func TestRenewedCertificatesAreUsedWithoutRestart(t *testing.T) {
	folder := t.TempDir()
	files := testcert.Write(t, folder)
	address := serveTLS(t, newSecurity(t, files))
	client := newSecurity(t, files).ControlClient(&Traffic{})
	assert.NilError(t, get(client, address))

	testcert.Write(t, folder)
	later := time.Now().Add(time.Second)
	assert.NilError(t, os.Chtimes(files.Certificate, later, later))
	assert.NilError(t, get(client, address))
	started := newSecurity(t, files)
	assert.NilError(t, get(client, serveTLS(t, started)), "running client, new server")
	assert.NilError(t, get(started.ControlClient(&Traffic{}), address), "new client, running server")
}

// Guards against losing the current certificate when a reload finds a partly written key. A later
// check must load the complete files.
func TestPartlyWrittenKeyKeepsCurrentCertificate(t *testing.T) {
	folder := t.TempDir()
	files := testcert.Write(t, folder)
	address := serveTLS(t, newSecurity(t, files))
	client := newSecurity(t, files).ControlClient(&Traffic{})
	assert.NilError(t, get(client, address))

	key, err := os.ReadFile(files.Key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.Key, key[:len(key)/2], 0o600))
	later := time.Now().Add(time.Second)
	assert.NilError(t, os.Chtimes(files.Certificate, later, later))
	assert.NilError(t, get(client, address))
	assert.NilError(t, os.WriteFile(files.Key, key, 0o600))
	assert.NilError(t, get(client, address))
}

// Guards against answering a peer whose certificate is not signed by the authority.
func TestPeerOfOtherAuthorityIsRefused(t *testing.T) {
	address := serveTLS(t, newSecurity(t, testcert.Write(t, t.TempDir())))
	stranger := newSecurity(t, testcert.Write(t, t.TempDir()))
	assert.Assert(t, get(stranger.ControlClient(&Traffic{}), address) != nil)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = stranger.WrapClient(conn, address).Write([]byte("x"))
	assert.Assert(t, err != nil)
}
