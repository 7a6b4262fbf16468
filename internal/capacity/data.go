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

// Slopes holds the measurements of single components (directory, configuration, picker,
// gate, control replica) within one process, at several sizes. Lines are fitted to them to
// extrapolate the costs to the target deployment.
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

// DirectorySlope is the cost of a relay whose directory holds Entries endpoints: its memory,
// the time to handle a heartbeat and a periodic tick, and the size of the entries sent to a
// node that subscribes to five services.
type DirectorySlope struct {
	Entries           int     `json:"entries"`
	HeapMB            float64 `json:"heapMB"`
	HeartbeatMicros   float64 `json:"heartbeatMicros"`
	TickMicros        float64 `json:"tickMicros"`
	SubscriptionBytes int     `json:"subscriptionBytes"`
}

// ReconcileSlope is the number of bytes that two relays exchange until one of them that lacks
// Differ of Entries entries is up to date: by comparing digests, by sending all entries, or by
// sending only the entries that have changed since a known cursor.
type ReconcileSlope struct {
	Entries       int `json:"entries"`
	Differ        int `json:"differ"`
	DigestBytes   int `json:"digestBytes"`
	FullPushBytes int `json:"fullPushBytes"`
	CursorBytes   int `json:"cursorBytes"`
}

// RejoinSlope is the cost of bringing a node up to date that has missed Missed configuration
// changes, in an estate of Services services.
type RejoinSlope struct {
	Services    int     `json:"services"`
	Missed      int     `json:"missed"`
	Bytes       int     `json:"bytes"`
	RelayBytes  int     `json:"relayBytes"`
	FirstBytes  int     `json:"firstBytes"`
	NodeHeapMB  float64 `json:"nodeHeapMB"`
	DeltaMicros float64 `json:"deltaMicros"`
}

// EstateSlope is the cost of one institution's configuration text with Services services:
// the sizes of its forms, and the times to propose a change of one service, which compiles the
// text, and to apply it on each replica.
type EstateSlope struct {
	Services      int     `json:"services"`
	TextBytes     int     `json:"textBytes"`
	PackedBytes   int     `json:"packedBytes"`
	ProposeMillis float64 `json:"proposeMillis"`
	ApplyMillis   float64 `json:"applyMillis"`
	SnapshotBytes int     `json:"snapshotBytes"`
}

// PickerSlope is the time in which a caller's node picks an endpoint among Candidates ones.
type PickerSlope struct {
	Candidates int     `json:"candidates"`
	Nanos      float64 `json:"nanos"`
}

// SubmitSlope is the rate at which one control replica accepts changes from Workers
// concurrent submitters, and the number and duration of its disk syncs.
type SubmitSlope struct {
	Workers        int     `json:"workers"`
	PerSecond      float64 `json:"perSecond"`
	SyncsPerChange float64 `json:"syncsPerChange"`
	SyncMicros     float64 `json:"syncMicros"`
}

// RecoverySlope is the time in which a control replica restarts with Entries changes in its
// log, each of one service of a text with Services services.
type RecoverySlope struct {
	Services int     `json:"services"`
	Entries  int     `json:"entries"`
	LogBytes int64   `json:"logBytes"`
	Millis   float64 `json:"millis"`
}

// ScaleRun is the cost of the control plane in one data centre with Nodes node processes
// that handle no requests, and the time until changes and failures are known to the nodes.
type ScaleRun struct {
	Nodes int `json:"nodes"`
	// NodeBytes, NodeMessages, NodeCPU and NodeMB are means over the nodes that are not
	// relays.
	NodeBytes    float64 `json:"nodeBytesPerSecond"`
	NodeMessages float64 `json:"nodeMessagesPerSecond"`
	NodeCPU      float64 `json:"nodeCorePercent"`
	NodeMB       float64 `json:"nodeResidentMB"`
	// Relays is the number of relays. RelayCPU and RelayMB are means over the relays and
	// include the heartbeats that they serve. LeaderCPU and LeaderMB are the usage of the
	// leader of the control replicas.
	Relays    int     `json:"relays"`
	RelayCPU  float64 `json:"relayCorePercent"`
	RelayMB   float64 `json:"relayResidentMB"`
	LeaderCPU float64 `json:"leaderCorePercent"`
	LeaderMB  float64 `json:"leaderResidentMB"`
	// InForceP50, InForceP99 and InForceMax are the median, the 99th percentile and the
	// maximum of the time from the acceptance of a change until it is in force at a node,
	// over all nodes and changes.
	InForceP50 float64 `json:"inForceP50ms"`
	InForceP99 float64 `json:"inForceP99ms"`
	InForceMax float64 `json:"inForceMaxms"`
	// FailureDetectionMax is the maximum time from the kill of a node until every other node
	// of its service has removed the endpoint.
	FailureDetectionMax float64 `json:"killNoticedMaxms"`
	FalseAlarms         float64 `json:"falseAlarms"`
	FalseFailed         float64 `json:"falselyFailed"`
}

// PathRun is the latency of requests at one rate that are sent directly to the backend
// server, through one node and through two nodes. AddedP50 and AddedP99 are the differences
// between two nodes and direct requests.
type PathRun struct {
	Rate     float64          `json:"ratePerTarget"`
	Results  []loadgen.Result `json:"results"`
	AddedP50 int64            `json:"twoNodesAddedP50us"`
	AddedP99 int64            `json:"twoNodesAddedP99us"`
	// BareP50 and BareP99 are the corresponding differences if two processes that only
	// forward bytes take the place of the nodes.
	BareP50 int64 `json:"twoBareRelaysAddedP50us"`
	BareP99 int64 `json:"twoBareRelaysAddedP99us"`
}

// Run is a list of measurements with a description, the command and the date of the run,
// and the number of processor cores of the machine.
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

// Load reads all measurements from their files in a folder.
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
