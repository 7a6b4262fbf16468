package replica

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/wal"
)

func learnedMessage(percent uint32) *apiv1.ServiceLearned {
	return &apiv1.ServiceLearned{Service: "pay", ContentionPercent: percent, ContentionGates: 3, Classes: []*apiv1.ClassLearned{{Name: "work", DemandUs: 100_000, ResponseBytes: 5000, Samples: 30}}}
}

// runProfileReplica opens a replica in a folder, which a first call initializes, and runs it
// until stop is called.
func runProfileReplica(t *testing.T, folder string, enabled bool) (r *Replica, stop func()) {
	t.Helper()
	if !wal.HasIdentity(folder) {
		assert.NilError(t, wal.WriteIdentity(folder, wal.Identity{MemberID: 1, Name: "a", Founders: map[string]wal.Member{"a": {ID: 1, Address: "127.0.0.1:1"}}}))
	}
	r, err := Open(Options{Name: "a", Address: "127.0.0.1:1", DataFolder: folder, LearnedProfiles: enabled})
	assert.NilError(t, err)
	if enabled {
		// The disk of the tests may be busier than a replica that stops allows.
		r.profiles.stopTimeout = time.Minute
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = r.Run(ctx)
		close(done)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return r, stop
}

func watchReplica(t *testing.T, r *Replica, req *apiv1.WatchRequest) *apiv1.WatchResponse {
	t.Helper()
	resp, err := controlService{r}.Watch(t.Context(), connect.NewRequest(req))
	assert.NilError(t, err)
	return resp.Msg
}

func waitForFile(t *testing.T, file string) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, err := os.Stat(file); err == nil {
			return
		}
		assert.Assert(t, time.Now().Before(until), "%s was not stored in time", file)
	}
}

// All processes stop at once. A replica that restarts must have what nodes reported, and
// give it to a node whose backend server is not announced yet, or that names it in its
// entry.
func TestProfilesAreKeptAcrossARestart(t *testing.T) {
	folder := t.TempDir()
	before, stop := runProfileReplica(t, folder, true)
	watchReplica(t, before, &apiv1.WatchRequest{Host: "h", Learned: learnedMessage(105)})
	waitForFile(t, filepath.Join(folder, profilesFile))
	watchReplica(t, before, &apiv1.WatchRequest{Host: "h", Learned: learnedMessage(170)})
	stop()
	after, _ := runProfileReplica(t, folder, true)
	assert.Equal(t, after.profiles.services(), 1)
	for _, req := range []*apiv1.WatchRequest{
		{Host: "i", WantProfile: true, Learned: &apiv1.ServiceLearned{Service: "pay"}},
		{Host: "i", WantProfile: true, Entry: &apiv1.Entry{Host: "i", Incarnation: 1, Service: "pay"}},
	} {
		p := watchReplica(t, after, req).Profile
		assert.Equal(t, p.GetService(), "pay")
		assert.Equal(t, p.GetContentionPercent(), uint32(170), "the last report is stored at a planned stop")
		assert.Equal(t, p.GetClasses()[0].GetDemandUs(), uint64(100_000))
		assert.Equal(t, p.GetClasses()[0].GetResponseBytes(), uint64(5000))
	}
	assert.Assert(t, watchReplica(t, after, &apiv1.WatchRequest{Host: "i", Entry: &apiv1.Entry{Host: "i", Incarnation: 1, Service: "pay"}}).Profile == nil, "a node of an earlier release")
	assert.Assert(t, watchReplica(t, after, &apiv1.WatchRequest{Host: "i", WantProfile: true, Learned: &apiv1.ServiceLearned{Service: "other"}}).Profile == nil)
	assert.Equal(t, after.profiles.services(), 1, "a name without figures is not a profile")
}

// Guards against a gate that gets its profile only after the hold of the watch, when the
// first requests have been refused.
func TestWatchForAProfileIsNotHeld(t *testing.T) {
	r, _ := runProfileReplica(t, t.TempDir(), true)
	for until := time.Now().Add(10 * time.Second); r.detached(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "no leader")
	}
	watchReplica(t, r, &apiv1.WatchRequest{Host: "h", Learned: learnedMessage(105)})
	start := time.Now()
	p := watchReplica(t, r, &apiv1.WatchRequest{Host: "i", HoldMs: 5000, WantProfile: true, Learned: &apiv1.ServiceLearned{Service: "pay"}}).Profile
	assert.Assert(t, p != nil && time.Since(start) < 2*time.Second)
}

// A damaged, torn or empty file must only cost its contents: the replica starts and the next
// report replaces the file. A file that an interrupted write left does no harm.
func TestDamagedProfilesAreReplaced(t *testing.T) {
	for desc, content := range map[string][]byte{"empty": {}, "damaged": []byte("no profiles, longer than a checksum")} {
		t.Run(desc, func(t *testing.T) {
			folder := t.TempDir()
			file := filepath.Join(folder, profilesFile)
			assert.NilError(t, os.WriteFile(file, content, 0o600))
			assert.NilError(t, os.WriteFile(file+".new", []byte("torn"), 0o600))
			r, stop := runProfileReplica(t, folder, true)
			assert.Equal(t, r.profiles.services(), 0)
			watchReplica(t, r, &apiv1.WatchRequest{Host: "h", Learned: learnedMessage(105)})
			stop()
			assert.Equal(t, loadProfiles("a", folder).services(), 1)
		})
	}
}

// A torn write in place would lose the profiles; the earlier file must stay until the new
// one is complete.
func TestFailedWriteKeepsEarlierProfiles(t *testing.T) {
	folder := t.TempDir()
	p := loadProfiles("a", folder)
	p.observe(&apiv1.WatchRequest{Host: "h", Learned: learnedMessage(105)})
	assert.NilError(t, p.save(folder))
	// The new file cannot be created.
	assert.NilError(t, os.Mkdir(filepath.Join(folder, profilesFile+".new"), 0o700))
	p.observe(&apiv1.WatchRequest{Host: "h", Learned: learnedMessage(170)})
	assert.Assert(t, p.save(folder) != nil)
	assert.Assert(t, p.changed(), "the write is tried again")
	kept := loadProfiles("a", folder).profileFor(&apiv1.WatchRequest{WantProfile: true, Learned: &apiv1.ServiceLearned{Service: "pay"}})
	assert.Equal(t, kept.GetContentionPercent(), uint32(105))
}

// With the setting off, a replica stores nothing, writes no file and sends no profile, even
// if nodes report and ask.
func TestReplicaWithoutProfilesIsUnchanged(t *testing.T) {
	folder := t.TempDir()
	r, stop := runProfileReplica(t, folder, false)
	resp := watchReplica(t, r, &apiv1.WatchRequest{Host: "h", Learned: learnedMessage(105), WantProfile: true})
	assert.Assert(t, resp.Profile == nil)
	stop()
	_, err := os.Stat(filepath.Join(folder, profilesFile))
	assert.Assert(t, os.IsNotExist(err))
	assert.Equal(t, r.profiles.services(), 0)
}

// Guards against a replica that does not stop because the disk of its profiles hangs, during a
// write that was under way or the last one.
func TestHangingDiskDoesNotDelayTheStop(t *testing.T) {
	p := loadProfiles("a", t.TempDir())
	release := make(chan struct{})
	defer close(release)
	p.write = func(string, string, []byte) error {
		<-release
		return nil
	}
	p.observe(&apiv1.WatchRequest{Host: "h", Learned: learnedMessage(105)})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	done := make(chan struct{})
	go func() {
		p.run(ctx, "")
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * defaultProfilesStopTimeout):
		t.Fatal("still waiting for the disk")
	}
}
