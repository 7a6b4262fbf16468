package testport

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// addressesVariable is set in a process that this test starts, which prints some addresses.
const addressesVariable = "TESTPORT_ADDRESSES"

// addressesPerProcess is more than a package with end-to-end tests uses.
const addressesPerProcess = 2000

// Guards against test processes that run at the same time and take each other's ports.
func TestProcessesGetDifferentPorts(t *testing.T) {
	if os.Getenv(addressesVariable) != "" {
		for _, address := range Addresses(t, addressesPerProcess) {
			fmt.Println(address)
		}
		_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
		return
	}
	takenBy := map[string]int{}
	for process := range 3 {
		cmd := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), addressesVariable+"=1")
		stdin, err := cmd.StdinPipe()
		assert.NilError(t, err)
		stdout, err := cmd.StdoutPipe()
		assert.NilError(t, err)
		assert.NilError(t, cmd.Start())
		defer func() {
			_ = stdin.Close()
			_ = cmd.Wait()
		}()
		lines := bufio.NewScanner(stdout)
		for range addressesPerProcess {
			assert.Assert(t, lines.Scan(), "process %d ended", process)
			address := lines.Text()
			assert.Assert(t, strings.HasPrefix(address, "127.0.0.1:"), address)
			other, taken := takenBy[address]
			assert.Assert(t, !taken, "%s is given to processes %d and %d", address, other, process)
			takenBy[address] = process
		}
	}
}
