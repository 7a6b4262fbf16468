package quarantine

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/quarantine"
	"cactuspath/internal/wal"
)

const (
	// fileName is the file in a control replica's data folder that holds the known crashes of
	// backend servers.
	fileName = "quarantine"
	// storeInterval is the minimum interval between writes of the file while its content changes.
	storeInterval = 250 * time.Millisecond
)

// Store writes the ledger to a folder whenever it has changed, until ctx is done, so that it
// survives a stop of all processes. A failed write is logged and retried; it costs only this
// protection, and the Tracker continues to work. Load must be called first.
func (t *Tracker) Store(ctx context.Context, folder string) {
	ticker := time.NewTicker(storeInterval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t.update(func(now time.Duration) []quarantine.Envelope {
			t.gossip.Ledger.Tick(now)
			return nil
		})
		digest := t.digest()
		if digest == t.storedDigest {
			continue
		}
		if err := t.save(folder); err != nil {
			if !failing {
				klog.ErrorS(err, "Quarantine ledger not stored; retrying", "host", t.options.Host, "folder", folder)
			}
			failing = true
			continue
		}
		t.storedDigest, failing = digest, false
	}
}

func (t *Tracker) digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gossip.Ledger.Digest()
}

func (t *Tracker) save(folder string) error {
	t.mu.Lock()
	crashes := t.gossip.Ledger.SelectCrashes(t.now(), func(uint64) bool { return true })
	t.mu.Unlock()
	held := toWire(t.options.Host, quarantine.Message{News: quarantine.News{Crashes: crashes}})
	data, err := proto.Marshal(&apiv1.StoredQuarantine{StoredUnixMs: time.Now().UnixMilli(), News: held})
	if err != nil {
		return err
	}
	return wal.WriteSynced(folder, fileName, data)
}

// Load reads the ledger that Store wrote to a folder, and adds the time since then to the
// ages of its crashes. If the clock was set back in the meantime, the crashes keep the ages
// that they had when they were stored. A missing file is not an error.
func (t *Tracker) Load(folder string) error {
	data, err := os.ReadFile(filepath.Join(folder, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	stored := &apiv1.StoredQuarantine{}
	if err := proto.Unmarshal(data, stored); err != nil {
		return errors.Wrapf(err, "cannot parse %s; it will be overwritten", filepath.Join(folder, fileName))
	}
	_, m, err := fromWire(stored.News)
	if err != nil {
		return err
	}
	since := max(0, time.Now().UnixMilli()-stored.StoredUnixMs)
	for i := range m.Crashes {
		m.Crashes[i].Age += time.Duration(since) * time.Millisecond
	}
	t.update(func(now time.Duration) []quarantine.Envelope {
		t.gossip.Ledger.Learn(now, m.News)
		return nil
	})
	t.storedDigest = t.digest()
	return nil
}
