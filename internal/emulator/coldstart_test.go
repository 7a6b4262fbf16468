package emulator

import (
	"fmt"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// backToCalm is by how much the value earned after a loss of power may lie below that
// of the same load without one: two standard errors of five seconds of requests at the
// smallest size.
const backToCalm = 0.03

// Guards against an endless loop: servers that lost power together come back cold, get
// more requests than a cold server bears, end under them, and come back cold again.
func TestServersThatLostPowerTogetherAreNotCrashedAgain(t *testing.T) {
	for _, hosts := range []int{13, 63, 195} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			t.Parallel()
			s := readScenario(t, filepath.Join(folder, "cold", fmt.Sprintf("hosts-%d.json", hosts)))
			v, err := Find(Chosen)
			assert.NilError(t, err)
			struck := Run(s, v, 1)
			for i := range s.Events {
				s.Events[i].Kind, s.Events[i].Factor, s.Events[i].Service = slow, 1, s.Services[0].Name
			}
			calm := Run(s, v, 1)
			t.Logf("crashes %d; earned %.3f once warm, %.3f without the loss; worst seconds %.3f", struck.Crashes, struck.Afterwards, calm.Afterwards, struck.WorstSeconds)
			assert.Equal(t, struck.Crashes, 0)
			assert.Assert(t, struck.Afterwards > calm.Afterwards-backToCalm)
		})
	}
}
