package quarantine

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/quarantine"
)

func newTracker() *Tracker { return New(Options{Host: "h", Counters: &Counters{}}) }

// trackerWithThreeCrashes returns a Tracker that recorded three crashes of its server during a
// request.
func trackerWithThreeCrashes(c quarantine.Content) *Tracker {
	k := newTracker()
	for range 3 {
		k.Ended([]quarantine.Content{c}, nil)
	}
	return k
}

// All processes stop at once. When a control replica restarts, it must load its ledger with
// the ages of the crashes.
func TestStoredLedgerIsLoaded(t *testing.T) {
	folder, fatal := t.TempDir(), contentOf("/fatal")
	before := newTracker()
	assert.NilError(t, before.Load(folder), "an empty folder")
	ctx, cancel := context.WithCancel(t.Context())
	stored := make(chan struct{})
	go func() {
		before.Store(ctx, folder)
		close(stored)
	}()
	for range 3 {
		before.Ended([]quarantine.Content{fatal}, nil)
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, err := os.Stat(filepath.Join(folder, fileName)); err == nil {
			break
		}
		assert.Assert(t, time.Now().Before(until), "the file was not stored in time")
	}
	cancel()
	<-stored
	after := newTracker()
	assert.NilError(t, after.Load(folder))
	assert.Assert(t, after.QuarantinedFor(fatal) > 0)
	assert.Assert(t, after.QuarantinedFor(fatal) <= before.QuarantinedFor(fatal)+time.Second)
}

// The clock is set forward or back between storing and loading the ledger. The crashes must
// not become younger than they were when they were stored.
func TestLoadAfterClockChange(t *testing.T) {
	fatal := contentOf("/fatal")
	for _, c := range []struct {
		desc        string
		stored      time.Duration
		quarantined bool
	}{
		{"clock set back", time.Hour, true},
		{"clock set forward", -time.Hour, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			folder := t.TempDir()
			before := trackerWithThreeCrashes(fatal)
			assert.NilError(t, before.save(folder))
			file := filepath.Join(folder, fileName)
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			held := &apiv1.StoredQuarantine{}
			assert.NilError(t, proto.Unmarshal(data, held))
			held.StoredUnixMs += c.stored.Milliseconds()
			data, err = proto.Marshal(held)
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(file, data, 0o600))
			k := newTracker()
			assert.NilError(t, k.Load(folder))
			assert.Equal(t, k.QuarantinedFor(fatal) > 0, c.quarantined)
			assert.Assert(t, k.QuarantinedFor(fatal) <= before.QuarantinedFor(fatal)+time.Second, "quarantined for longer than before")
		})
	}
}

// An unreadable file must only cost its content: the replica starts and overwrites the file.
func TestUnreadableFileIsIgnored(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, fileName), []byte{255}, 0o600))
	k := trackerWithThreeCrashes(contentOf("/fatal"))
	assert.ErrorContains(t, k.Load(folder), "will be overwritten")
	assert.NilError(t, k.save(folder))
	assert.NilError(t, newTracker().Load(folder))
}

// A node that reaches no other node must learn through a control replica which requests
// crashed servers elsewhere.
func TestNodesExchangeThroughControl(t *testing.T) {
	fatal := contentOf("/fatal")
	replica, one, two := newTracker(), trackerWithThreeCrashes(fatal), newTracker()
	send := func(_ context.Context, messages []*apiv1.QuarantineNews) ([]*apiv1.QuarantineNews, error) {
		return replica.Answer(messages), nil
	}
	one.exchange(t.Context(), send)
	assert.Assert(t, replica.QuarantinedFor(fatal) > 0)
	two.exchange(t.Context(), send)
	assert.Assert(t, two.QuarantinedFor(fatal) > 0)
}
