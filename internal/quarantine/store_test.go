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

func alone() *Keeper { return New(Options{Host: "h", Counters: &Counters{}}) }

// threeEnds is a keeper under whose eyes a request ended three servers.
func threeEnds(c quarantine.Content) *Keeper {
	k := alone()
	for range 3 {
		k.Ended([]quarantine.Content{c}, nil)
	}
	return k
}

// All processes end at one moment. What a control replica knew is there again when it
// starts, as old as it is.
func TestStoredLedgerIsLoaded(t *testing.T) {
	folder, fatal := t.TempDir(), contentOf("/fatal")
	before := alone()
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
		assert.Assert(t, time.Now().Before(until), "never stored")
	}
	cancel()
	<-stored
	after := alone()
	assert.NilError(t, after.Load(folder))
	assert.Assert(t, after.Barred(fatal) > 0)
	assert.Assert(t, after.Barred(fatal) <= before.Barred(fatal)+time.Second)
}

// The time of day was set forward or back between storing and loading.
func TestLoadingWithAnotherTimeOfDay(t *testing.T) {
	fatal := contentOf("/fatal")
	for _, c := range []struct {
		desc   string
		stored time.Duration
		barred bool
	}{
		{"set back", time.Hour, true},
		{"set forward", -time.Hour, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			folder := t.TempDir()
			before := threeEnds(fatal)
			assert.NilError(t, before.write(folder))
			file := filepath.Join(folder, fileName)
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			held := &apiv1.StoredQuarantine{}
			assert.NilError(t, proto.Unmarshal(data, held))
			held.StoredUnixMs += c.stored.Milliseconds()
			data, err = proto.Marshal(held)
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(file, data, 0o600))
			k := alone()
			assert.NilError(t, k.Load(folder))
			assert.Equal(t, k.Barred(fatal) > 0, c.barred)
			assert.Assert(t, k.Barred(fatal) <= before.Barred(fatal)+time.Second, "kept away for longer than before")
		})
	}
}

// A file that cannot be read costs what it held and nothing else: the replica starts,
// and writes it anew.
func TestUnreadableFileIsLeftOut(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, fileName), []byte{255}, 0o600))
	k := threeEnds(contentOf("/fatal"))
	assert.ErrorContains(t, k.Load(folder), "written anew")
	assert.NilError(t, k.write(folder))
	assert.NilError(t, alone().Load(folder))
}

// A node that reaches no other node hears through a control replica what ended servers
// beside them.
func TestNodesHearOfEachOtherThroughControl(t *testing.T) {
	fatal := contentOf("/fatal")
	replica, one, two := alone(), threeEnds(fatal), alone()
	ask := func(_ context.Context, messages []*apiv1.QuarantineNews) ([]*apiv1.QuarantineNews, error) {
		return replica.Answer(messages), nil
	}
	one.converse(t.Context(), ask)
	assert.Assert(t, replica.Barred(fatal) > 0)
	two.converse(t.Context(), ask)
	assert.Assert(t, two.Barred(fatal) > 0)
}
