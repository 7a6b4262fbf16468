// Package testport selects loopback addresses for processes that tests start.
package testport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// The ports are below the ephemeral range. A port in that range could be taken by an outgoing
// connection between its selection and its use, or while the process that listens on it is
// down.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portsPerProcess is the distance between the first ports of consecutive process ids, so that
// test processes that run concurrently start at different ports.
const portsPerProcess = 97

var portsTried atomic.Int64

// Addresses returns n loopback addresses whose ports are free for TCP and UDP. It can be called
// concurrently and never returns an address twice.
func Addresses(t testing.TB, n int) []string {
	t.Helper()
	var addresses []string
	for attempts := 0; len(addresses) < n && attempts < portCount; attempts++ {
		offset := (int64(os.Getpid())*portsPerProcess + portsTried.Add(1)) % portCount
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	assert.Equal(t, len(addresses), n, "not enough free ports")
	return addresses
}

// Address returns a loopback address whose port is free for TCP and UDP.
func Address(t testing.TB) string {
	t.Helper()
	return Addresses(t, 1)[0]
}

func isFree(address string) bool {
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
