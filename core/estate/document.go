// Package estate parses and validates the estate text of an institution, which
// declares its services and routes, and compiles it into one record per service.
// It also implements the replicated state of the control replicas: documents,
// records and audit trail.
//
// The package does no I/O. State is not safe for concurrent use. Published records
// are replaced and never modified, so they may be shared.
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

// Document is the validated estate text of one institution.
type Document struct {
	Institution string
	// Revision is the number that the operator gives to the text, or 0 if the control
	// replicas are to assign the next revision.
	Revision uint64
	Services map[string]*apiv1.ServiceSpec
	Routes   map[string]*apiv1.RouteSpec
	// Accounts holds the client accounts by name. If it is nil, requests need no key; if it is empty,
	// no key is valid.
	Accounts map[string]*apiv1.AccountSpec
	// Limits are the limits on the size and timeouts of callers' requests, or nil if the
	// text sets none.
	Limits *apiv1.CallerLimits
}

// Contents returns the compiled form of the document.
func (d *Document) Contents() rollout.Contents {
	return rollout.Contents{Services: d.Services, Routes: d.Routes, Accounts: d.Accounts, Limits: d.Limits}
}

// Limits on the values of a text. They prevent a mistake of one institution from
// exhausting the memory of every node.
const (
	maxServices        = 2000
	maxNamesPerList    = 64
	maxSlots           = 10_000
	maxQueueLength     = 100_000
	maxAttempts        = 5
	maxRetryPercent    = 100
	maxBudgetPerSecond = 10_000_000
	// maxRevision is the highest revision that an operator can give to a text. It leaves
	// enough higher ones for later changes.
	maxRevision = 1 << 53

	// The limits below are exported for adapters that clamp values of other formats.
	MaxTimeout               = time.Hour
	MaxConnections           = 1_000_000
	MaxColdRequestsPerSecond = 1_000_000
)

// Defaults for fields that a text omits.
const (
	defaultTimeout          = 10 * time.Second
	defaultAttempts         = 3
	defaultRetryPercent     = 10
	defaultReportsPerSecond = 5000
	defaultBytesPerSecond   = 320_000
	defaultSlowStart        = 2 * time.Second
	// defaultReportsPerEndpoint and defaultBytesPerEndpoint are the load reports and
	// bytes that each gate may send per second if a text states no budget, however many
	// endpoints the service has. A default budget for the whole service alone would be
	// too small for large services: each of 108 gates could report to five siblings only
	// every 270 ms, which is half of a slow period of a server. The bytes are
	// slightly more than half of a node's budget for control traffic, 29 KB per second.
	defaultReportsPerEndpoint = 100
	defaultBytesPerEndpoint   = 16_000
	defaultQueuePerSlot       = 2
)

// terms are the contract terms of an institution: its budgets for load reports and
// retries. They are copied into each of its services.
type terms struct {
	measure      *apiv1.MeasureBudget
	retryPercent uint64
}

// Parse parses and validates a text. The Document is nil if there are problems.
func Parse(text []byte) (*Document, []jsonc.Problem) {
	reader, root := jsonc.Parse(text)
	if len(reader.Problems()) > 0 {
		return nil, reader.Problems()
	}
	doc := &Document{Services: map[string]*apiv1.ServiceSpec{}, Routes: map[string]*apiv1.RouteSpec{}}
	contract := terms{
		measure: &apiv1.MeasureBudget{ReportsPerSecond: defaultReportsPerSecond, BytesPerSecond: defaultBytesPerSecond,
			ReportsPerEndpoint: defaultReportsPerEndpoint, BytesPerEndpoint: defaultBytesPerEndpoint},
		retryPercent: defaultRetryPercent,
	}
	serviceNodes, routeNodes := map[string]jsonc.Node{}, map[string]jsonc.Node{}
	root.Object(map[string]func(jsonc.Node){
		"institution": func(n jsonc.Node) { doc.Institution = readName(n) },
		"terms":       func(n jsonc.Node) { contract.read(n) },
		"revision":    func(n jsonc.Node) { doc.Revision = n.Uint(1, maxRevision) },
		"services":    func(n jsonc.Node) { readServices(n, doc, serviceNodes) },
		"routes":      func(n jsonc.Node) { readRoutes(n, doc, routeNodes) },
		"accounts":    func(n jsonc.Node) { readAccounts(n, doc) },
		"limits":      func(n jsonc.Node) { doc.Limits = readLimits(n) },
	}, "institution", "services")
	checkDependencies(doc, serviceNodes)
	checkServiceRoutes(doc, serviceNodes)
	checkRouteTargets(doc, routeNodes)
	contract.apply(doc)
	if problems := reader.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return doc, nil
}

func (t *terms) read(n jsonc.Node) {
	n.Object(map[string]func(jsonc.Node){
		// A budget stated in the text applies to the whole service: it does not grow with
		// the number of endpoints.
		"reportsPerSecond": func(n jsonc.Node) {
			t.measure.ReportsPerSecond, t.measure.ReportsPerEndpoint = uint32(n.Uint(0, maxBudgetPerSecond)), 0
		},
		"bytesPerSecond": func(n jsonc.Node) {
			t.measure.BytesPerSecond, t.measure.BytesPerEndpoint = uint32(n.Uint(0, maxBudgetPerSecond)), 0
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

func readServices(n jsonc.Node, doc *Document, serviceNodes map[string]jsonc.Node) {
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
		serviceNodes[m.Name] = m.Value
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
	hasQueue := false
	n.Object(map[string]func(jsonc.Node){
		"hosts":        func(n jsonc.Node) { spec.Hosts = readNames(n) },
		"pathPrefixes": func(n jsonc.Node) { spec.PathPrefixes = readPathPrefixes(n) },
		"dependsOn":    func(n jsonc.Node) { spec.DependsOn = readNames(n) },
		"slots":        func(n jsonc.Node) { spec.Slots = uint32(n.Uint(1, maxSlots)) },
		"queue": func(n jsonc.Node) {
			spec.Queue = uint32(n.Uint(0, maxQueueLength))
			hasQueue = true
		},
		"timeout":      func(n jsonc.Node) { spec.TimeoutMs = readMillis(n, time.Millisecond, MaxTimeout) },
		"idempotent":   func(n jsonc.Node) { spec.IdempotentMethods = readMethods(n) },
		"maxAttempts":  func(n jsonc.Node) { spec.MaxAttempts = uint32(n.Uint(1, maxAttempts)) },
		"slowStart":    func(n jsonc.Node) { spec.SlowStartMs = readMillis(n, 0, MaxTimeout) },
		"maxBodyBytes": func(n jsonc.Node) { spec.MaxBodyBytes = n.Uint(0, 1<<50) },
		"coldRequestsPerSecond": func(n jsonc.Node) {
			spec.ColdRequestsPerSecond = uint32(n.Uint(1, MaxColdRequestsPerSecond))
		},
		"healthPath": func(n jsonc.Node) { spec.HealthPath = readPathPrefix(n) },
		"maxConnections": func(n jsonc.Node) {
			spec.MaxConnections = uint32(n.Uint(0, MaxConnections))
		},
	}, "slots")
	if !hasQueue {
		spec.Queue = spec.Slots * defaultQueuePerSlot
	}
	return spec
}

func readMillis(n jsonc.Node, low, high time.Duration) uint32 {
	return uint32(n.Duration(low, high).Milliseconds())
}

// NameRemedy is the remedy that a problem states for a name that ValidName rejects.
const NameRemedy = "use 1 to 63 letters, digits, dots, hyphens and underscores"

// ValidName reports whether s is a valid name for a service, an institution or a
// data centre.
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

func readName(n jsonc.Node) string {
	s := n.String()
	if !ValidName(s) {
		n.Fail(fmt.Sprintf("%q is not a valid name", s), NameRemedy)
	}
	return s
}

// readNames reads a list of distinct names.
func readNames(n jsonc.Node) []string {
	elements := n.Elements()
	if len(elements) > maxNamesPerList {
		n.Fail(fmt.Sprintf("%d names, more than the %d allowed", len(elements), maxNamesPerList), "shorten the list")
		return nil
	}
	seen := map[string]bool{}
	var list []string
	for _, e := range elements {
		s := readName(e)
		if seen[s] {
			e.Fail(fmt.Sprintf("%q stands twice", s), "keep one of the two")
		}
		seen[s] = true
		list = append(list, s)
	}
	return list
}

func readPathPrefixes(n jsonc.Node) []string { return jsonc.List(n, readPathPrefix) }

func readMethods(n jsonc.Node) []string {
	return jsonc.List(n, func(e jsonc.Node) string { return e.OneOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH") })
}

// checkDependencies reports dependencies on services that do not exist, and
// dependency cycles. In a cycle, a request can cause a call back to its own service.
// Such calls can wait for slots that are all occupied by the requests that made them:
// a deadlock.
func checkDependencies(doc *Document, serviceNodes map[string]jsonc.Node) {
	for _, from := range slices.Sorted(maps.Keys(doc.Services)) {
		for _, to := range doc.Services[from].DependsOn {
			if _, ok := doc.Services[to]; !ok {
				serviceNodes[from].Fail(fmt.Sprintf("service %q depends on %q, which is not in this text", from, to), "add the service or drop the dependency")
			}
		}
	}
	if cycle := findCycle(doc); cycle != nil {
		serviceNodes[cycle[0]].Fail("dependencies form a cycle: "+strings.Join(cycle, " → "), "remove one of these dependencies")
	}
}

// findCycle returns a dependency cycle that starts and ends with the same service,
// or nil if there is none.
func findCycle(doc *Document) []string {
	const (
		unvisited = iota
		inProgress
		done
	)
	visitState := map[string]int{}
	var path []string
	var visit func(string) []string
	visit = func(s string) []string {
		visitState[s] = inProgress
		path = append(path, s)
		for _, to := range doc.Services[s].DependsOn {
			if doc.Services[to] == nil || visitState[to] == done {
				continue
			}
			if visitState[to] == inProgress {
				return cycleFrom(path, to)
			}
			if cycle := visit(to); cycle != nil {
				return cycle
			}
		}
		path = path[:len(path)-1]
		visitState[s] = done
		return nil
	}
	for _, s := range slices.Sorted(maps.Keys(doc.Services)) {
		if visitState[s] == unvisited {
			if cycle := visit(s); cycle != nil {
				return cycle
			}
		}
	}
	return nil
}

// cycleFrom returns the cycle that path forms when it reaches start again.
func cycleFrom(path []string, start string) []string {
	for i, s := range path {
		if s == start {
			return append(append([]string{}, path[i:]...), start)
		}
	}
	return nil
}

// checkServiceRoutes reports two services with the same host and path prefix, since it
// would be undefined which of them receives a request.
func checkServiceRoutes(doc *Document, serviceNodes map[string]jsonc.Node) {
	owners := map[string]string{}
	for _, s := range slices.Sorted(maps.Keys(doc.Services)) {
		for _, route := range serviceRoutes(doc.Services[s]) {
			if other, exists := owners[route]; exists {
				serviceNodes[s].Fail(fmt.Sprintf("services %q and %q claim the same route %q", other, s, route), "change a host or a path prefix of one of them")
				continue
			}
			owners[route] = s
		}
	}
}

// serviceRoutes returns all combinations of a service's hosts and path prefixes, each
// as one string. A service with neither has no routes.
func serviceRoutes(spec *apiv1.ServiceSpec) []string {
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
