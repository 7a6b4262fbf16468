package consensus

import apiv1 "cactuspath/api/cactuspath/v1"

// disk is a simulated disk. It holds the state that survives a crash.
type disk struct {
	hardState *apiv1.HardState
	snapshot  *apiv1.Snapshot
	entries   []*apiv1.LogEntry
	founders  *apiv1.Membership
}

func (d *disk) save(rd Ready) {
	if rd.Snapshot != nil {
		d.snapshot = rd.Snapshot
		d.entries = nil
	}
	for _, e := range rd.Entries {
		d.truncateFrom(e.Index)
		d.entries = append(d.entries, e)
	}
	if rd.HardState != nil {
		d.hardState = rd.HardState
	}
}

func (d *disk) truncateFrom(index uint64) {
	for i, e := range d.entries {
		if e.Index >= index {
			d.entries = d.entries[:i:i]
			return
		}
	}
}

func (d *disk) compact(s *apiv1.Snapshot) {
	d.snapshot = s
	var kept []*apiv1.LogEntry
	for _, e := range d.entries {
		if e.Index > s.Index {
			kept = append(kept, e)
		}
	}
	d.entries = kept
}
