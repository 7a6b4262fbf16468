// Package transport provides the HTTP clients and listeners for traffic between the processes of a
// deployment, with or without TLS.
package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// TLSFiles holds the names of the files with a process's certificate and key, and with the
// certificate of the authority that signs its peers' certificates. The zero value means that
// connections are not encrypted.
type TLSFiles struct {
	Certificate, Key, Authority string
}

// Enabled reports whether TLS is configured.
func (f TLSFiles) Enabled() bool { return f.Certificate != "" }

// reloadInterval is the minimum time between two checks whether the certificate file has changed.
const reloadInterval = 10 * time.Second

// Security holds a process's certificate and reloads it when its file changes, so that a renewed
// certificate takes effect without a restart. Open connections keep the previous certificate.
// Security is safe for concurrent use. A nil Security means that connections are not encrypted.
type Security struct {
	files TLSFiles
	// interval is reloadInterval, except in tests.
	interval time.Duration

	mu        sync.Mutex
	checked   time.Time
	modified  time.Time
	current   *tls.Certificate
	authority *x509.CertPool
}

// NewSecurity loads the certificate, the key and the authority from files. It returns nil if TLS is
// not configured.
func NewSecurity(files TLSFiles) (*Security, error) {
	if !files.Enabled() {
		return nil, nil
	}
	s := &Security{files: files, interval: reloadInterval}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Security) load() error {
	keyPair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Wrap(err, "load the certificate; check tls.certificate and tls.key in the settings")
	}
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return errors.Wrap(err, "load the authority; check tls.authority in the settings")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Newf("%s holds no certificate; check tls.authority in the settings", s.files.Authority)
	}
	s.current, s.authority = &keyPair, pool
	return nil
}

func (s *Security) currentCertificate() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) > s.interval {
		s.checked = time.Now()
		s.reload()
	}
	return s.current, s.authority
}

// reload loads a renewed certificate. If the files cannot be loaded, for example because they are
// only partly written, the current certificate stays in use until the next check.
func (s *Security) reload() {
	info, err := os.Stat(s.files.Certificate)
	if err == nil {
		if !info.ModTime().After(s.modified) {
			return
		}
		err = s.load()
	}
	if err != nil {
		klog.ErrorS(err, "Certificate not renewed: the one in use stays", "file", s.files.Certificate)
		return
	}
	renewed := !s.modified.IsZero()
	s.modified = info.ModTime()
	if renewed {
		klog.InfoS("Certificate renewed", "file", s.files.Certificate, "notAfter", s.current.Leaf.NotAfter)
	}
}

func (s *Security) serverConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		keyPair, pool := s.currentCertificate()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*keyPair}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}, nil
	}}
}

func (s *Security) clientConfig() *tls.Config {
	keyPair, pool := s.currentCertificate()
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, Certificates: []tls.Certificate{*keyPair}}
}

// Listen opens a TCP listener, with TLS unless s is nil.
func (s *Security) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s; check the address in the settings and whether another process uses it", address)
	}
	return s.Wrap(l), nil
}

// Wrap adds TLS to a listener unless s is nil.
func (s *Security) Wrap(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return tls.NewListener(l, s.serverConfig())
}

// WrapClient adds TLS to a client connection to address unless s is nil.
func (s *Security) WrapClient(conn net.Conn, address string) net.Conn {
	if s == nil {
		return conn
	}
	config := s.clientConfig()
	config.ServerName, _, _ = net.SplitHostPort(address)
	return tls.Client(conn, config)
}

const (
	// dialTimeout allows for ten round trips between distant regions. TCP retransmits a lost SYN
	// only after one second, so it is faster to give up earlier and dial again.
	dialTimeout         = 300 * time.Millisecond
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 4

	maxResponseHeaderBytes = 64 << 10
	// maxMessageBytes limits a message. The largest is an estate, whose text may have 32 MiB.
	maxMessageBytes = 40 << 20
)

// Traffic counts the bytes of a client's connections, including the overhead of TLS and HTTP.
type Traffic struct {
	In, Out expvar.Int
}

// countingConn is a connection that adds the bytes read and written to traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}

// ControlClient returns an HTTP client for calls between cactuspath processes and from cactusctl,
// as opposed to forwarded requests. The bytes of its connections are counted in traffic.
func (s *Security) ControlClient(traffic *Traffic) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, traffic}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		// A peer that fails, or another process that has got its address, may send without end.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	if s != nil {
		// Each connection uses the certificate that is current when it is opened. A client that
		// kept its initial certificate could no longer connect to any peer after a renewal.
		t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := t.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return s.WrapClient(conn, address), nil
		}
	}
	return &http.Client{Transport: controlTransport{t}}
}

// controlTransport sends calls between processes.
//
// It removes request headers that the peer processes do not need. A relay receives one heartbeat
// per second from each of its nodes, and the default headers are four times as long as the message
// of a heartbeat, which has a hundred bytes.
//
// When a call's deadline passes, it closes all idle connections of the client, so that the calls
// that follow open new ones. Whatever made one connection silent without a reset may have done so
// to all that are open, and each of them would cost another call its full timeout.
type controlTransport struct{ *http.Transport }

// RoundTrip sends a call.
func (t controlTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = nil
	r.Header.Del("Accept-Encoding")
	r.Header.Del("Connect-Protocol-Version")
	limit := stallLimitOf(r.Context())
	if limit != nil && r.Body != nil && r.Body != http.NoBody {
		r.Body = requestBody{r.Body, limit}
	}
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, t.failed(r.Context(), err)
	}
	limit.arrived()
	resp.Body = &responseBody{resp.Body, limit, func(err error) error { return t.failed(r.Context(), err) }, maxMessageBytes + progressBytes}
	return resp, nil
}

// failed handles the error of a call. It returns the reason for which the call was ended, if it was.
func (t controlTransport) failed(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		t.CloseIdleConnections()
		return context.DeadlineExceeded
	}
	return err
}

// responseBody is the body of a response; failed is called when reading fails before its end.
type responseBody struct {
	io.ReadCloser
	limit  *stallLimit
	failed func(error) error
	// left is how much of it may still be read. connect-go drops what exceeds its own limit, and would
	// do so until the call ends.
	left int64
}

var errMessageTooLong = errors.Newf("the message of another process exceeds %d bytes; check what listens at its address", maxMessageBytes)

// Read reads from the body, not more than progressBytes if the call has a stall limit: a read from
// the body waits until p is full or a chunk ends.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errMessageTooLong
	}
	if b.limit != nil {
		p = p[:min(len(p), progressBytes)]
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if n > 0 {
		b.limit.arrived()
	}
	if err != nil && err != io.EOF {
		err = b.failed(err)
	}
	return n, err
}

// OmitUnneededHeaders wraps a handler of control traffic so that its responses do not contain
// default headers that the peer processes do not need.
func OmitUnneededHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// ReadLimit returns an option that limits the messages that are read from another process.
func ReadLimit() connect.Option { return connect.WithReadMaxBytes(maxMessageBytes) }

// Uncompressed returns an option that disables compression in a handler, for responses that are too
// short to benefit from it.
func Uncompressed() connect.HandlerOption { return connect.WithCompression("gzip", nil, nil) }

// URL returns the base URL of a server at an address: https, or http if s is nil.
func (s *Security) URL(address string) string {
	if s == nil {
		return "http://" + address
	}
	return "https://" + address
}
