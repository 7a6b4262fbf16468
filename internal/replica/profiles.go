package replica

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/profile"
	"cactuspath/internal/wal"
)

const (
	// profilesFile is the file in the data folder that holds what gates have learned.
	profilesFile = "profiles"
	// profilesInterval is the minimum interval between writes of the file.
	profilesInterval = 5 * time.Second
	// profilesCheck is the interval at which changes are noticed. The first change after a
	// quiet time is written within this time.
	profilesCheck = 250 * time.Millisecond
	// defaultProfilesStopTimeout limits how long a replica that stops waits for its last write. A
	// disk that hangs must not delay the stop, and lost profiles cost little.
	defaultProfilesStopTimeout = time.Second
)

// profiles keeps what gates have reported to this replica, for gates that start. It is not
// replicated: a lost profile costs speed for some seconds, and nodes report to two
// replicas. A nil *profiles keeps nothing. It is safe for concurrent use.
type profiles struct {
	replica string
	// write replaces a file in a folder; wal.WriteSynced except in tests.
	write func(folder, name string, data []byte) error
	// stopTimeout is defaultProfilesStopTimeout except in tests.
	stopTimeout time.Duration

	mu    sync.Mutex
	store *profile.Store
	// storedVersion is the version of the store on disk.
	storedVersion uint64
}

// loadProfiles returns the profiles in a data folder. If the file is damaged, it starts
// without them, and the next write replaces the file.
func loadProfiles(replica, folder string) *profiles {
	p := &profiles{replica: replica, write: wal.WriteSynced, stopTimeout: defaultProfilesStopTimeout, store: profile.NewStore()}
	data, err := os.ReadFile(filepath.Join(folder, profilesFile))
	if errors.Is(err, os.ErrNotExist) {
		return p
	}
	if err == nil {
		var store *profile.Store
		if store, err = profile.Unmarshal(data); err == nil {
			p.store, p.storedVersion = store, store.Version()
			klog.InfoS("Service profiles loaded", "replica", replica, "services", store.Services())
			return p
		}
	}
	klog.ErrorS(err, "Service profiles not loaded; starting without them", "replica", replica, "file", filepath.Join(folder, profilesFile))
	return p
}

// observe stores what a node reports of its gate.
func (p *profiles) observe(req *apiv1.WatchRequest) {
	if p == nil || req.Learned == nil {
		return
	}
	learned := profile.FromMessage(req.Learned)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.Observe(req.Host, req.Learned.Service, learned)
}

// profileFor returns the profile that a node wants; nil if it wants none or there is none.
func (p *profiles) profileFor(req *apiv1.WatchRequest) *apiv1.ServiceLearned {
	if p == nil || !req.WantProfile {
		return nil
	}
	// A node whose backend server is not announced yet names the service in learned.
	service := req.Learned.GetService()
	if service == "" {
		service = req.Entry.GetService()
	}
	p.mu.Lock()
	learned := p.store.Profile(service)
	p.mu.Unlock()
	if learned.IsEmpty() {
		return nil
	}
	return profile.ToMessage(service, learned)
}

// services is the number of services with a profile.
func (p *profiles) services() int {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.Services()
}

// run keeps the file up to date until ctx is done. It then waits for the last write for
// stopTimeout at most.
func (p *profiles) run(ctx context.Context, folder string) {
	if p == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.storeChanges(ctx, folder)
	}()
	<-ctx.Done()
	select {
	case <-done:
	case <-time.After(p.stopTimeout):
		klog.InfoS("Service profiles not stored in time; stopping without them", "replica", p.replica, "folder", folder)
	}
}

// storeChanges writes the file after changes, at most once in profilesInterval, until ctx is
// done, and then once more.
func (p *profiles) storeChanges(ctx context.Context, folder string) {
	ticker := time.NewTicker(profilesCheck)
	defer ticker.Stop()
	var written time.Time
	failing := false
	for {
		select {
		case <-ctx.Done():
			p.saveAtStop(folder)
			return
		case <-ticker.C:
		}
		if time.Since(written) < profilesInterval || !p.changed() {
			continue
		}
		written = time.Now()
		err := p.save(folder)
		if err != nil && !failing {
			klog.ErrorS(err, "Service profiles not stored; retrying", "replica", p.replica, "folder", folder)
		}
		failing = err != nil
	}
}

// saveAtStop writes what has changed since the last write, for a planned stop.
func (p *profiles) saveAtStop(folder string) {
	if !p.changed() {
		return
	}
	if err := p.save(folder); err != nil {
		klog.ErrorS(err, "Service profiles not stored", "replica", p.replica, "folder", folder)
	}
}

func (p *profiles) changed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.Version() != p.storedVersion
}

// save writes the file. It holds the lock only while it copies the store, since watches take it
// too.
func (p *profiles) save(folder string) error {
	p.mu.Lock()
	version := p.store.Version()
	snapshot := p.store.Snapshot()
	p.mu.Unlock()
	data, err := snapshot.Marshal()
	if err != nil {
		return err
	}
	if err := p.write(folder, profilesFile, data); err != nil {
		return err
	}
	p.mu.Lock()
	p.storedVersion = version
	p.mu.Unlock()
	return nil
}
