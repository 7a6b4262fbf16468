// Package estate reads an institution's estate text, checks it in full and
// compiles it into one record per service. It also holds the replicated state
// that the control replicas agree on: documents, records and audit trail.
//
// Nothing here does I/O. State is not safe for concurrent use; its records are
// never modified after they were published, so they may be shared.
package estate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/jsonc"
	"cactuspath/core/rollout"
)

// Document is a checked estate text of one institution.
type Document struct {
	Institution string
	// Revision is the number that the operator gives this text; 0 leaves it to
	// the control replicas, which then take the next one.
	Revision uint64
	Services map[string]*apiv1.ServiceSpec
	Routes   map[string]*apiv1.RouteSpec
	// Limits bound what callers may send; nil if the text has none.
	Limits *apiv1.CallerLimits
}

// Contents is what a text compiles to.
func (d *Document) Contents() rollout.Contents {
	return rollout.Contents{Services: d.Services, Routes: d.Routes, Limits: d.Limits}
}

// Limits that a text may not exceed. They keep one institution's mistake from
// costing every node its memory.
const (
	maxServices     = 2000
	maxNames        = 64
	maxSlots        = 10_000
	maxQueue        = 100_000
	maxAttempts     = 5
	maxRetryPercent = 100
	maxBudgetRate   = 10_000_000
	// maxRevision leaves room above any number that an operator gives.
	maxRevision = 1 << 53

	// The limits below are exported for adapters that clamp values from other formats.
	MaxTimeout     = time.Hour
	MaxConnections = 1_000_000
	MaxColdRate    = 1_000_000
)

// Defaults for fields that a text leaves out.
const (
	defaultTimeout      = 10 * time.Second
	defaultAttempts     = 3
	defaultRetryPercent = 10
	defaultReports      = 5000
	defaultBytes        = 320_000
	defaultSlowStart    = 2 * time.Second
	// defaultReportsPerEndpoint and defaultBytesPerEndpoint are what a gate may spend
	// where a text states no budget, however many endpoints share the totals: of 108
	// gates each had a report to five siblings in 270 ms, half as long as a slow time.
	// The bytes are a bit over half of what a node may spend on control, 29 KB a second.
	defaultReportsPerEndpoint = 100
	defaultBytesPerEndpoint   = 16_000
	queuePerSlot              = 2
)

// terms are an institution's contract, copied into each of its services.
type terms struct {
	measure      *apiv1.MeasureBudget
	retryPercent uint64
}

// Parse reads and checks a text. The Document is nil when there are problems.
func Parse(text []byte) (*Document, []jsonc.Problem) {
	reader, root := jsonc.Open(text)
	if len(reader.Problems()) > 0 {
		return nil, reader.Problems()
	}
	doc := &Document{Services: map[string]*apiv1.ServiceSpec{}, Routes: map[string]*apiv1.RouteSpec{}}
	contract := terms{
		measure: &apiv1.MeasureBudget{ReportsPerSecond: defaultReports, BytesPerSecond: defaultBytes,
			ReportsPerEndpoint: defaultReportsPerEndpoint, BytesPerEndpoint: defaultBytesPerEndpoint},
		retryPercent: defaultRetryPercent,
	}
	places, routePlaces := map[string]jsonc.Node{}, map[string]jsonc.Node{}
	root.Object(map[string]func(jsonc.Node){
		"institution": func(n jsonc.Node) { doc.Institution = name(n) },
		"terms":       func(n jsonc.Node) { contract.read(n) },
		"revision":    func(n jsonc.Node) { doc.Revision = n.Uint(1, maxRevision) },
		"services":    func(n jsonc.Node) { readServices(n, doc, places) },
		"routes":      func(n jsonc.Node) { readRoutes(n, doc, routePlaces) },
		"limits":      func(n jsonc.Node) { doc.Limits = readLimits(n) },
	}, "institution", "services")
	checkDependencies(doc, places)
	checkRoutes(doc, places)
	checkRouteTargets(doc, routePlaces)
	contract.apply(doc)
	if problems := reader.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return doc, nil
}

func (t *terms) read(n jsonc.Node) {
	n.Object(map[string]func(jsonc.Node){
		// A budget that a text states is the whole: it does not grow with the endpoints.
		"reportsPerSecond": func(n jsonc.Node) {
			t.measure.ReportsPerSecond, t.measure.ReportsPerEndpoint = uint32(n.Uint(0, maxBudgetRate)), 0
		},
		"bytesPerSecond": func(n jsonc.Node) {
			t.measure.BytesPerSecond, t.measure.BytesPerEndpoint = uint32(n.Uint(0, maxBudgetRate)), 0
		},
		"retryPercent": func(n jsonc.Node) { t.retryPercent = n.Uint(0, maxRetryPercent) },
	})
}

func (t *terms) apply(doc *Document) {
	for _, spec := range doc.Services {
		spec.Measure = t.measure
		spec.RetryPerMille = uint32(t.retryPercent * 10)
	}
}

func readServices(n jsonc.Node, doc *Document, places map[string]jsonc.Node) {
	members := n.Members()
	if len(members) > maxServices {
		n.Fail(fmt.Sprintf("%d services, more than the %d allowed", len(members), maxServices), "split the institution's text")
		return
	}
	for _, m := range members {
		if !ValidName(m.Name) {
			m.Key.Fail(fmt.Sprintf("%q is not a valid service name", m.Name), NameRemedy)
			continue
		}
		places[m.Name] = m.Value
		doc.Services[m.Name] = readService(m.Value)
	}
}

func readService(n jsonc.Node) *apiv1.ServiceSpec {
	spec := &apiv1.ServiceSpec{
		TimeoutMs:         uint32(defaultTimeout.Milliseconds()),
		MaxAttempts:       defaultAttempts,
		SlowStartMs:       uint32(defaultSlowStart.Milliseconds()),
		IdempotentMethods: []string{"GET", "HEAD", "OPTIONS"},
	}
	queueGiven := false
	n.Object(map[string]func(jsonc.Node){
		"hosts":        func(n jsonc.Node) { spec.Hosts = names(n) },
		"pathPrefixes": func(n jsonc.Node) { spec.PathPrefixes = prefixes(n) },
		"dependsOn":    func(n jsonc.Node) { spec.DependsOn = names(n) },
		"slots":        func(n jsonc.Node) { spec.Slots = uint32(n.Uint(1, maxSlots)) },
		"queue": func(n jsonc.Node) {
			spec.Queue = uint32(n.Uint(0, maxQueue))
			queueGiven = true
		},
		"timeout":      func(n jsonc.Node) { spec.TimeoutMs = millis(n, time.Millisecond, MaxTimeout) },
		"idempotent":   func(n jsonc.Node) { spec.IdempotentMethods = methods(n) },
		"maxAttempts":  func(n jsonc.Node) { spec.MaxAttempts = uint32(n.Uint(1, maxAttempts)) },
		"slowStart":    func(n jsonc.Node) { spec.SlowStartMs = millis(n, 0, MaxTimeout) },
		"maxBodyBytes": func(n jsonc.Node) { spec.MaxBodyBytes = n.Uint(0, 1<<50) },
		"coldRequestsPerSecond": func(n jsonc.Node) {
			spec.ColdRequestsPerSecond = uint32(n.Uint(1, MaxColdRate))
		},
		"healthPath": func(n jsonc.Node) { spec.HealthPath = prefix(n) },
		"maxConnections": func(n jsonc.Node) {
			spec.MaxConnections = uint32(n.Uint(0, MaxConnections))
		},
	}, "slots")
	if !queueGiven {
		spec.Queue = spec.Slots * queuePerSlot
	}
	return spec
}

func millis(n jsonc.Node, low, high time.Duration) uint32 {
	return uint32(n.Duration(low, high).Milliseconds())
}

// NameRemedy tells what ValidName accepts.
const NameRemedy = "use 1 to 63 letters, digits, dots, hyphens and underscores"

// ValidName tells whether a service, an institution or a data centre may be named so.
func ValidName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	for _, c := range s {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_') {
			return false
		}
	}
	return true
}

func name(n jsonc.Node) string {
	s := n.String()
	if !ValidName(s) {
		n.Fail(fmt.Sprintf("%q is not a valid name", s), NameRemedy)
	}
	return s
}

func names(n jsonc.Node) []string {
	elements := n.Elements()
	if len(elements) > maxNames {
		n.Fail(fmt.Sprintf("%d names, more than the %d allowed", len(elements), maxNames), "shorten the list")
		return nil
	}
	seen := map[string]bool{}
	var list []string
	for _, e := range elements {
		s := name(e)
		if seen[s] {
			e.Fail(fmt.Sprintf("%q stands twice", s), "keep one of the two")
		}
		seen[s] = true
		list = append(list, s)
	}
	return list
}

func prefixes(n jsonc.Node) []string { return jsonc.List(n, prefix) }

func methods(n jsonc.Node) []string {
	return jsonc.List(n, func(e jsonc.Node) string { return e.OneOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH") })
}

// checkDependencies refuses dependencies that do not exist, and cycles: a
// request that can come back to its own service can wait for itself until
// every slot on the way is taken.
func checkDependencies(doc *Document, places map[string]jsonc.Node) {
	for _, from := range slices.Sorted(maps.Keys(doc.Services)) {
		for _, to := range doc.Services[from].DependsOn {
			if _, ok := doc.Services[to]; !ok {
				places[from].Fail(fmt.Sprintf("service %q depends on %q, which is not in this text", from, to), "add the service or drop the dependency")
			}
		}
	}
	if cycle := findCycle(doc); cycle != nil {
		places[cycle[0]].Fail("dependencies form a cycle: "+strings.Join(cycle, " → "), "remove one of these dependencies")
	}
}

func findCycle(doc *Document) []string {
	const (
		unseen = iota
		open
		closed
	)
	state := map[string]int{}
	var path []string
	var visit func(string) []string
	visit = func(s string) []string {
		state[s] = open
		path = append(path, s)
		for _, to := range doc.Services[s].DependsOn {
			if doc.Services[to] == nil || state[to] == closed {
				continue
			}
			if state[to] == open {
				return cycleFrom(path, to)
			}
			if cycle := visit(to); cycle != nil {
				return cycle
			}
		}
		path = path[:len(path)-1]
		state[s] = closed
		return nil
	}
	for _, s := range slices.Sorted(maps.Keys(doc.Services)) {
		if state[s] == unseen {
			if cycle := visit(s); cycle != nil {
				return cycle
			}
		}
	}
	return nil
}

func cycleFrom(path []string, start string) []string {
	for i, s := range path {
		if s == start {
			return append(append([]string{}, path[i:]...), start)
		}
	}
	return nil
}

// checkRoutes refuses two services that claim the same host and path, since a
// request would then reach one or the other by chance.
func checkRoutes(doc *Document, places map[string]jsonc.Node) {
	claimed := map[string]string{}
	for _, s := range slices.Sorted(maps.Keys(doc.Services)) {
		for _, route := range routes(doc.Services[s]) {
			if other, taken := claimed[route]; taken {
				places[s].Fail(fmt.Sprintf("services %q and %q claim the same route %q", other, s, route), "change a host or a path prefix of one of them")
				continue
			}
			claimed[route] = s
		}
	}
}

func routes(spec *apiv1.ServiceSpec) []string {
	var list []string
	hosts, paths := spec.Hosts, spec.PathPrefixes
	if len(hosts) == 0 && len(paths) == 0 {
		return nil
	}
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	if len(paths) == 0 {
		paths = []string{"/"}
	}
	for _, h := range hosts {
		for _, p := range paths {
			list = append(list, h+p)
		}
	}
	return list
}
