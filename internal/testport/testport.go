// Package testport picks loopback addresses for the processes that tests start.
package testport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Ports below the range that the system gives to outgoing connections: one of
// those could be taken between its choice and its use, or while the process that
// listens on it is down.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portsPerProcess spreads tests that run at once: each starts at another port.
const portsPerProcess = 97

var nextPort atomic.Int64

// Addresses returns n loopback addresses whose ports are free for TCP and UDP. It
// may be called from several goroutines and never returns an address twice.
func Addresses(t testing.TB, n int) []string {
	t.Helper()
	var list []string
	for tries := 0; len(list) < n && tries < portCount; tries++ {
		offset := (int64(os.Getpid())*portsPerProcess + nextPort.Add(1)) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		if free(address) {
			list = append(list, address)
		}
	}
	assert.Equal(t, len(list), n, "no free ports")
	return list
}

// Address returns one such address.
func Address(t testing.TB) string {
	t.Helper()
	return Addresses(t, 1)[0]
}

func free(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
