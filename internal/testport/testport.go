// Package testport selects loopback addresses for processes that tests start.
package testport

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// The ports are below the ephemeral range. A port in that range could be taken by an outgoing
// connection between its selection and its use, or while the process that listens on it is
// down.
const (
	firstPort  = 10_000
	portCount  = 20_000
	blockPorts = 100
	blockCount = portCount / blockPorts
)

// blocks are the ports that this process has reserved. All test processes of a host reserve blocks
// of ports by locks on files, which the kernel releases when a process ends.
type blocks struct {
	mu sync.Mutex
	// locks holds the locked files, so that they stay open.
	locks []*os.File
	// tried is the number of blocks that were tried.
	tried int
	// next is the next port of the last block that was reserved, and left how many it has.
	next, left int
}

var reserved blocks

// Addresses returns n loopback addresses whose ports are free for TCP and UDP, and reserved for this
// process until it ends. It can be called concurrently and never returns an address twice.
func Addresses(t testing.TB, n int) []string {
	t.Helper()
	reserved.mu.Lock()
	defer reserved.mu.Unlock()
	var addresses []string
	for len(addresses) < n {
		if reserved.left == 0 {
			assert.NilError(t, reserved.add(filepath.Join(os.TempDir(), "cactuspath-test-ports")))
		}
		address := fmt.Sprintf("127.0.0.1:%d", reserved.next)
		reserved.next++
		reserved.left--
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// add reserves one more block. The caller holds the lock.
func (b *blocks) add(folder string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	for ; b.tried < blockCount; b.tried++ {
		block := (os.Getpid() + b.tried) % blockCount
		file, err := os.OpenFile(filepath.Join(folder, fmt.Sprint(firstPort+block*blockPorts)), os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			return err
		}
		if unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
			_ = file.Close()
			continue
		}
		b.locks = append(b.locks, file)
		b.next, b.left = firstPort+block*blockPorts, blockPorts
		b.tried++
		return nil
	}
	return errors.Newf("all %d blocks of ports in %s are reserved; wait until other test processes have ended", blockCount, folder)
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
