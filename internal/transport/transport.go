// Package transport sets up the HTTP clients and listeners that our processes
// use towards each other, with or without TLS.
package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// TLSFiles names the files of a process's certificate and of the authority
// that signs its peers'. The zero value means plain text.
type TLSFiles struct {
	Certificate, Key, Authority string
}

// Enabled tells whether TLS is configured.
func (f TLSFiles) Enabled() bool { return f.Certificate != "" }

// reloadEvery is how often changed files are noticed.
const reloadEvery = 10 * time.Second

// Security holds a process's certificate and reloads it when its files change,
// so that a renewed certificate needs no restart. Connections that are open go on.
// Safe for concurrent use.
type Security struct {
	files TLSFiles
	// every is reloadEvery, but for tests.
	every time.Duration

	mu        sync.Mutex
	checked   time.Time
	modified  time.Time
	current   *tls.Certificate
	authority *x509.CertPool
}

// NewSecurity loads the files; nil when TLS is off.
func NewSecurity(files TLSFiles) (*Security, error) {
	if !files.Enabled() {
		return nil, nil
	}
	s := &Security{files: files, every: reloadEvery}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Security) load() error {
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
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
	s.current, s.authority = &pair, pool
	return nil
}

func (s *Security) certificate() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) > s.every {
		s.checked = time.Now()
		s.reload()
	}
	return s.current, s.authority
}

// reload takes in a certificate that was renewed. A half-written pair keeps the one
// in use; the next check tries again.
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
		pair, pool := s.certificate()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}, nil
	}}
}

func (s *Security) clientConfig() *tls.Config {
	pair, pool := s.certificate()
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, Certificates: []tls.Certificate{*pair}}
}

// Listen opens a TCP listener, with TLS when s is not nil.
func (s *Security) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s; check the address in the settings and whether another process uses it", address)
	}
	return s.Wrap(l), nil
}

// Wrap adds TLS to a listener when s is not nil.
func (s *Security) Wrap(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return tls.NewListener(l, s.serverConfig())
}

// WrapClient turns a connection that was dialed to address into a TLS
// one when s is not nil.
func (s *Security) WrapClient(conn net.Conn, address string) net.Conn {
	if s == nil {
		return conn
	}
	config := s.clientConfig()
	config.ServerName, _, _ = net.SplitHostPort(address)
	return tls.Client(conn, config)
}

const (
	// dialTimeout is ten round trips between far regions, and well below the second
	// after which TCP sends a lost first packet again: dialling anew is sooner.
	dialTimeout     = 300 * time.Millisecond
	idleConnTimeout = 90 * time.Second
	idlePerHost     = 4
)

// Traffic counts the bytes of a client's connections, TLS and HTTP included.
type Traffic struct {
	In, Out expvar.Int
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}

// ControlClient returns the HTTP client for control traffic, counted in traffic.
func (s *Security) ControlClient(traffic *Traffic) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return counted{conn, traffic}, nil
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	if s != nil {
		// Each connection takes the certificate of its moment: a client that kept the
		// one of its start could reach nobody any more once that was renewed.
		t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := t.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return s.WrapClient(conn, address), nil
		}
	}
	return &http.Client{Transport: lean{t}}
}

// lean sends no header that our own processes do not need. A heartbeat's
// message is a hundred bytes; the usual headers were four times that, and a
// relay takes one a second from each of its nodes.
type lean struct{ next http.RoundTripper }

// RoundTrip sends the request without the headers.
func (l lean) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = nil
	r.Header.Del("Accept-Encoding")
	r.Header.Del("Connect-Protocol-Version")
	return l.next.RoundTrip(r)
}

// Lean serves answers without the headers that our own processes do not need.
func Lean(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// Uncompressed are the options of handlers whose answers are too short to gain
// from compression.
func Uncompressed() connect.HandlerOption { return connect.WithCompression("gzip", nil, nil) }

// URL returns the base URL of an address.
func (s *Security) URL(address string) string {
	if s == nil {
		return "http://" + address
	}
	return "https://" + address
}
