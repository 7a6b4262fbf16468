package e2e

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Guards against gates that start without what the gates of their service had learned: all
// hosts lose power and come back. The control replica, killed, must have stored what it
// heard, and the gate of a node that starts after it must be given the profile, although
// the node learns its service only from the announcement of its backend server.
func TestGateIsSeededAfterPowerLoss(t *testing.T) {
	c := newCluster(t, 1)
	c.watchControl, c.extraSettings = true, `"learnedProfiles": true,`
	c.start()
	c.addNode("")
	c.submit(estateText("hello", "hello"))
	report := &apiv1.WatchRequest{Host: "earlier", Learned: &apiv1.ServiceLearned{Service: "hello", ContentionPercent: 104, ContentionGates: 3, Classes: []*apiv1.ClassLearned{{Name: "hello", DemandUs: 1000, Samples: 9}}}}
	_, err := c.client.Control.At(c.controlAddresses[0]).Control.Watch(testContext(t), connect.NewRequest(report))
	assert.NilError(t, err)
	eventually(t, "the profile is stored", func() bool {
		_, err := os.Stat(filepath.Join(c.dataFolder(0), "profiles"))
		return err == nil
	})
	c.replicas[0].restart(t)
	n := c.addNode("hello")
	eventually(t, "the node responds", func() bool { return adminResponds(n) })
	eventually(t, "the gate is seeded", func() bool { return n.metrics(t)["gate_profile_seeded"] == 1.0 })
	n.waitServing(t, "hello")
}

// Guards against a break anywhere between a gate that measures and one that starts: the node
// runs requests, its replica stores what the gate has learned, both lose power, and the new
// gate is given it.
func TestLearnedProfileComesBackAfterPowerLoss(t *testing.T) {
	c := newCluster(t, 1)
	c.watchControl, c.extraSettings = true, `"learnedProfiles": true,`
	c.start()
	n := c.addNode("hello")
	c.submit(estateText("hello", "hello"))
	n.waitServing(t, "hello")
	for range 10 {
		resp, _, err := n.request(http.MethodGet, "hello", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	eventually(t, "the profile is stored", func() bool {
		_, err := os.Stat(filepath.Join(c.dataFolder(0), "profiles"))
		return err == nil
	})
	n.kill()
	c.replicas[0].restart(t)
	n.start(t)
	eventually(t, "the node responds", func() bool { return adminResponds(n) })
	eventually(t, "the gate is seeded", func() bool { return n.metrics(t)["gate_profile_seeded"] == 1.0 })
}

// With the setting off, which is the default, no file is written.
func TestNoProfilesWithoutTheSetting(t *testing.T) {
	c := newCluster(t, 1)
	c.watchControl = true
	c.start()
	n := c.addNode("hello")
	c.submit(estateText("hello", "hello"))
	n.waitServing(t, "hello")
	for range 10 {
		_, _, err := n.request(http.MethodGet, "hello", "/", nil)
		assert.NilError(t, err)
	}
	c.replicas[0].signal(syscall.SIGTERM)
	<-c.replicas[0].done
	_, err := os.Stat(filepath.Join(c.dataFolder(0), "profiles"))
	assert.Assert(t, os.IsNotExist(err))
}
