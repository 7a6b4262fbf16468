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
	// fileName is the file with what a control replica knows of servers that ended, in
	// its data folder.
	fileName = "quarantine"
	// storeEvery is how often the file is written at most, while what it holds changes.
	storeEvery = 250 * time.Millisecond
)

// Store keeps the ledger in a folder until ctx ends, so that it outlasts the end of all
// processes. A disk that refuses it costs only that. What the folder holds already is
// loaded before.
func (k *Keeper) Store(ctx context.Context, folder string) {
	ticker := time.NewTicker(storeEvery)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		k.with(func(now time.Duration) []quarantine.Parcel {
			k.gossip.Ledger.Tick(now)
			return nil
		})
		digest := k.digest()
		if digest == k.stored {
			continue
		}
		if err := k.write(folder); err != nil {
			if !failing {
				klog.ErrorS(err, "Servers that ended are not stored; trying on", "host", k.options.Host, "folder", folder)
			}
			failing = true
			continue
		}
		k.stored, failing = digest, false
	}
}

func (k *Keeper) digest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gossip.Ledger.Digest()
}

func (k *Keeper) write(folder string) error {
	k.mu.Lock()
	ends := k.gossip.Ledger.Held(k.now(), func(uint64) bool { return true })
	k.mu.Unlock()
	held := toWire(k.options.Host, quarantine.Message{News: quarantine.News{Ends: ends}})
	data, err := proto.Marshal(&apiv1.StoredQuarantine{StoredUnixMs: time.Now().UnixMilli(), News: held})
	if err != nil {
		return err
	}
	return wal.WriteSynced(folder, fileName, data)
}

// Load takes in what was stored in a folder. By a clock that was set back the ends are
// as old as they were when they were stored.
func (k *Keeper) Load(folder string) error {
	data, err := os.ReadFile(filepath.Join(folder, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	stored := &apiv1.StoredQuarantine{}
	if err := proto.Unmarshal(data, stored); err != nil {
		return errors.Wrapf(err, "%s cannot be read; it is written anew", filepath.Join(folder, fileName))
	}
	_, m, err := fromWire(stored.News)
	if err != nil {
		return err
	}
	since := max(0, time.Now().UnixMilli()-stored.StoredUnixMs)
	for i := range m.Ends {
		m.Ends[i].Age += time.Duration(since) * time.Millisecond
	}
	k.with(func(now time.Duration) []quarantine.Parcel {
		k.gossip.Ledger.Learn(now, m.News)
		return nil
	})
	k.stored = k.digest()
	return nil
}
