// Package capacity extrapolates measurements to the size of the target deployment and
// renders the tables of docs/CAPACITY.md, so that the page cannot differ from the data.
package capacity

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"cactuspath/internal/loadgen"
)

// Slopes holds the measurements of state machines within one process, at several sizes.
type Slopes struct {
	Date      string           `json:"date"`
	Cores     int              `json:"cores"`
	Command   string           `json:"command"`
	Directory []DirectorySlope `json:"directory"`
	Reconcile []ReconcileSlope `json:"reconcile"`
	Rejoin    []RejoinSlope    `json:"rejoin"`
	Estate    []EstateSlope    `json:"estate"`
	Picker    []PickerSlope    `json:"picker"`
	GateNanos float64          `json:"gateNanosPerRequest"`
	Submit    []SubmitSlope    `json:"submit"`
	Recovery  []RecoverySlope  `json:"recovery"`
}

// DirectorySlope is the cost of a relay that holds Entries.
type DirectorySlope struct {
	Entries           int     `json:"entries"`
	HeapMB            float64 `json:"heapMB"`
	HeartbeatMicros   float64 `json:"heartbeatMicros"`
	TickMicros        float64 `json:"tickMicros"`
	SubscriptionBytes int     `json:"subscriptionBytes"`
}

// ReconcileSlope is the number of bytes to reconcile two relays that differ in Differ of
// their Entries.
type ReconcileSlope struct {
	Entries       int `json:"entries"`
	Differ        int `json:"differ"`
	DigestBytes   int `json:"digestBytes"`
	FullPushBytes int `json:"fullPushBytes"`
	CursorBytes   int `json:"cursorBytes"`
}

// RejoinSlope is the cost of bringing a node up to date that missed Missed changes.
type RejoinSlope struct {
	Services    int     `json:"services"`
	Missed      int     `json:"missed"`
	Bytes       int     `json:"bytes"`
	RelayBytes  int     `json:"relayBytes"`
	FirstBytes  int     `json:"firstBytes"`
	NodeHeapMB  float64 `json:"nodeHeapMB"`
	DeltaMicros float64 `json:"deltaMicros"`
}

// EstateSlope is the cost of one institution's configuration text with Services.
type EstateSlope struct {
	Services      int     `json:"services"`
	TextBytes     int     `json:"textBytes"`
	PackedBytes   int     `json:"packedBytes"`
	ParseMillis   float64 `json:"parseMillis"`
	ApplyMillis   float64 `json:"applyMillis"`
	SnapshotBytes int     `json:"snapshotBytes"`
}

// PickerSlope is the time of one pick among Candidates.
type PickerSlope struct {
	Candidates int     `json:"candidates"`
	Nanos      float64 `json:"nanos"`
}

// SubmitSlope is the rate of changes that one control replica accepts from Workers.
type SubmitSlope struct {
	Workers        int     `json:"workers"`
	PerSecond      float64 `json:"perSecond"`
	SyncsPerChange float64 `json:"syncsPerChange"`
	SyncMicros     float64 `json:"syncMicros"`
}

// RecoverySlope is the restart time of a control replica with Entries in its log.
type RecoverySlope struct {
	Entries  int     `json:"entries"`
	LogBytes int64   `json:"logBytes"`
	Millis   float64 `json:"millis"`
}

// ScaleRun is the cost of the control traffic in one data centre of node processes
// without calls, and the time until changes and failures are known.
type ScaleRun struct {
	Nodes int `json:"nodes"`
	// Per node that is not a relay.
	NodeBytes    float64 `json:"nodeBytesPerSecond"`
	NodeMessages float64 `json:"nodeMessagesPerSecond"`
	NodeCPU      float64 `json:"nodeCorePercent"`
	NodeMB       float64 `json:"nodeResidentMB"`
	// Per relay, including the heartbeats that it serves, and for the leader.
	Relays    int     `json:"relays"`
	RelayCPU  float64 `json:"relayCorePercent"`
	RelayMB   float64 `json:"relayResidentMB"`
	LeaderCPU float64 `json:"leaderCorePercent"`
	LeaderMB  float64 `json:"leaderResidentMB"`
	// From the acceptance of a change until it is in force, over all nodes and changes.
	InForceP50 float64 `json:"inForceP50ms"`
	InForceP99 float64 `json:"inForceP99ms"`
	InForceMax float64 `json:"inForceMaxms"`
	// From a kill until every other node of the service has dropped the endpoint.
	FailureDetectionMax float64 `json:"killNoticedMaxms"`
	FalseAlarms         float64 `json:"falseAlarms"`
	FalseFailed         float64 `json:"falselyFailed"`
}

// PathRun is the latency of requests at one rate: direct, through one node and through
// two nodes.
type PathRun struct {
	Rate     float64          `json:"ratePerTarget"`
	Results  []loadgen.Result `json:"results"`
	AddedP50 int64            `json:"twoNodesAddedP50us"`
	AddedP99 int64            `json:"twoNodesAddedP99us"`
	// BareP50 and BareP99 are the latencies added by two processes that only relay bytes.
	BareP50 int64 `json:"twoBareRelaysAddedP50us"`
	BareP99 int64 `json:"twoBareRelaysAddedP99us"`
}

// Run is a measurement with its provenance.
type Run[T any] struct {
	What    string `json:"what"`
	Command string `json:"command"`
	Date    string `json:"date"`
	Cores   int    `json:"cores"`
	Data    []T    `json:"data"`
}

// Data holds all measurements that the page is rendered from.
type Data struct {
	Slopes Slopes
	Scale  Run[ScaleRun]
	Path   Run[PathRun]
}

// Load reads the measurements from a folder.
func Load(folder string) (*Data, error) {
	d := &Data{}
	for name, into := range map[string]any{"slopes.json": &d.Slopes, "scale.json": &d.Scale, "path.json": &d.Path} {
		text, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			return nil, errors.Wrap(err, "read a measurement; repeat it with its command in docs/CAPACITY.md")
		}
		if err := json.Unmarshal(text, into); err != nil {
			return nil, errors.Wrapf(err, "%s", name)
		}
	}
	return d, nil
}
