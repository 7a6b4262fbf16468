package emulator

import (
	"fmt"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// recoveryTolerance limits the difference in earned value, as a share of the possible
// value, between the time after a power loss and the same period without one. It is two
// standard errors over five seconds of requests at the smallest size.
const recoveryTolerance = 0.03

// Guards against a crash loop: servers that lost power at the same time restart cold, get
// more requests than a cold server tolerates, crash, and restart cold again.
func TestColdServersDoNotCrashAfterPowerLoss(t *testing.T) {
	for _, hosts := range []int{13, 63, 195} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			t.Parallel()
			s := readScenario(t, filepath.Join(folder, "cold", fmt.Sprintf("hosts-%d.json", hosts)))
			v, err := Find(ProductionVariant)
			assert.NilError(t, err)
			withPowerLoss := Run(s, v, 1)
			for i := range s.Events {
				s.Events[i].Kind, s.Events[i].Factor, s.Events[i].Service = eventSlow, 1, s.Services[0].Name
			}
			baseline := Run(s, v, 1)
			t.Logf("crashes %d; value earned once warm %.3f, without the power loss %.3f; worst seconds %.3f", withPowerLoss.Crashes, withPowerLoss.Afterwards, baseline.Afterwards, withPowerLoss.WorstSeconds)
			assert.Equal(t, withPowerLoss.Crashes, 0)
			assert.Assert(t, withPowerLoss.Afterwards > baseline.Afterwards-recoveryTolerance)
		})
	}
}
