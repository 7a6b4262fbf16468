// Package settings reads the settings of a process from JSON with comments. A file is checked
// completely before any of its settings takes effect. If the file changes while the process runs,
// only some of the settings take effect (see process.WatchSettings); the others keep their values
// until a restart.
package settings

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/core/jsonc"
	"cactuspath/core/mechanism"
	"cactuspath/internal/transport"
)

// Settings holds the settings of a process. The process runs a node if Node is set and a control
// replica if Control is set; at least one of them is.
type Settings struct {
	Host, DataCenter, Region string
	Node                     *Node
	Control                  *Control
	// ControlReplicas are the addresses of all control replicas.
	ControlReplicas []string
	TLS             transport.TLSFiles
	LogLevel        int
	// GCPercent sets the heap growth between two garbage collections, in percent of the memory in
	// use. A lower value saves memory but costs processor time.
	GCPercent int
	// MemoryMB is the memory that the process may use, in MB, and Descriptors the number of file
	// descriptors that it may open. If they are 0, the operating system's figures apply.
	MemoryMB, Descriptors int
	// StopTimeout limits the duration of a planned stop; requests that are still in flight at its
	// end are cut off.
	StopTimeout time.Duration
	// Retry limits the retries of nodes. If it is zero, the limits in the estate apply.
	Retry RetryBudget
	// UsageSlack is the number of requests by which the requests of a client account may exceed
	// its usage cap in any few seconds. With a few requests of slack, accounts with small caps are
	// not refused below them.
	UsageSlack float64
	// UsageOverage is the share by which they may exceed it. Nodes that are cut off from those
	// that keep the cap use it.
	UsageOverage float64
	// KeyLease is how long a node goes on accepting keys of client accounts after it lost the
	// control replicas, which may have taken keys away in the meantime.
	KeyLease time.Duration
	// ConfigurationLease is how long a node refuses requests for good by its configuration, as for an
	// unknown route or key, after it last heard from the control replicas. Later it refuses them as
	// not run. It is the time in which a change has to take effect.
	ConfigurationLease time.Duration
	// LinkMbps is the bandwidth of the host's link in Mbit/s. If it is 0, large responses are not
	// paced.
	LinkMbps float64
	// LearnedProfiles makes gates share what they learn of their backend servers through the
	// control replicas, so that a gate which has just started need not learn it anew.
	LearnedProfiles bool
	// RetryOrder decides which requests get retries while the retry budget is short.
	RetryOrder RetryOrder
	// Metrics is the address that serves metrics to other hosts, or empty to serve none.
	Metrics string
	// Disabled is the set of mechanisms that are switched off, such as the refusal of requests when
	// a process is overloaded.
	Disabled mechanism.Set
	// Adapter selects and configures the adapter to an external platform; nil means none.
	Adapter *Adapter
}

// RetryBudget limits the retries that all nodes together send to one service. In each period of
// length Window, they may send at most Ratio times the number of requests to the service, plus
// Slack.
type RetryBudget struct {
	Ratio, Slack float64
	Window       time.Duration
}

// RetryOrder is the order in which requests get retries while the retry budget is short.
type RetryOrder string

// Retry orders.
const (
	// RetryFirstCome lets requests have retries in the order in which they ask for them.
	RetryFirstCome RetryOrder = "first-come"
	// RetryByNeed prefers requests that will not be tried again by their callers.
	RetryByNeed RetryOrder = "by-need"
)

// Adapter selects the adapter of a platform, which is the code that translates the formats of the
// platform, and configures it.
type Adapter struct {
	Name string
	// Listen are the addresses on which the platform calls this process.
	Listen []string
	// Options are the options of the platform, in its own syntax. Only the adapter interprets them.
	Options []string
}

// Node holds the settings of a node, which runs next to a backend server.
type Node struct {
	// Callers, Peer and Admin are listen addresses. Admin must be on loopback, because the backend
	// server announces itself there.
	Callers, Peer, Admin string
	// PeerAddress is the address at which other nodes reach Peer. It defaults to Peer.
	PeerAddress string
	// Service is the service of the node's backend server, if known in advance.
	Service string
	// Backend is the address of the backend server, if known in advance.
	Backend string
	// WatchControl makes the node watch the control replicas, so that it receives configuration
	// changes within milliseconds instead of with its heartbeats.
	WatchControl bool
}

// Control holds the settings of a control replica.
type Control struct {
	// Name identifies the replica to operators. Address is the address at which other processes
	// reach it. Listen is its listen address and defaults to Address. DataFolder is the directory
	// of its log and snapshot.
	Name, Address, Listen, DataFolder string
	// Founders maps the names of the founding members to their addresses.
	Founders  map[string]string
	Operators []Operator
	// DataCenters lists the data centres that operators may evacuate. If it is empty, any name is
	// accepted.
	DataCenters []string
	// Group makes the replicas add and remove members of the control group themselves. If it is
	// nil, operators do so.
	Group *Group
}

// Group configures a control group whose replicas bootstrap it and replace failed members without
// operators.
type Group struct {
	// Tolerate is the number of replicas that may fail at the same time.
	Tolerate int
	// Bootstrap marks the first start of the whole system. The replicas at the addresses in
	// ControlReplicas then bootstrap the group.
	Bootstrap bool
}

// Operator is a person or program that may submit estates for the listed institutions. If Hosts is
// set, the operator may also announce planned stops of hosts and change the members of the control
// group.
type Operator struct {
	Name, TokenSHA256 string
	Institutions      []string
	Hosts             bool
}

const (
	defaultStopTimeout = 30 * time.Second
	// defaultKeyLease is longer than control replicas are usually away, since a node refuses
	// all requests that need a key after it.
	defaultKeyLease = 10 * time.Minute
	maxKeyLease     = 24 * time.Hour
	// defaultConfigurationLease is the time in which a change takes effect in large fleets.
	defaultConfigurationLease = 5 * time.Second
	maxConfigurationLease     = time.Hour
	// defaultGCPercent is the default of the Go runtime. With values below minGCPercent, the
	// garbage collector would use more processor time than the rest of the process.
	defaultGCPercent = 100
	minGCPercent     = 10
	maxGCPercent     = 1000
	maxUsageSlack    = 1e6
	maxLinkMbps      = 100_000
	// A process with less memory or fewer descriptors could not serve its own traffic.
	minMemoryMB    = 64
	maxMemoryMB    = 1 << 24
	minDescriptors = 256
	maxDescriptors = 1 << 24
	// defaultUsageOverage is a tolerance that users of such caps commonly accept.
	defaultUsageOverage = 0.1
)

// InvalidError reports that a settings file is invalid and lists all its problems.
type InvalidError struct {
	File     string
	Problems []jsonc.Problem
}

// Error returns the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = e.File + ": " + p.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings; specify the file with --settings")
	}
	s, problems := Parse(text)
	if len(problems) > 0 {
		return nil, &InvalidError{file, problems}
	}
	return s, nil
}

// Parse reads settings from JSON with comments. If it returns problems, the settings must not be
// used.
func Parse(text []byte) (*Settings, []jsonc.Problem) {
	reader, root := jsonc.Parse(text)
	if len(reader.Problems()) > 0 {
		return nil, reader.Problems()
	}
	s := &Settings{StopTimeout: defaultStopTimeout, KeyLease: defaultKeyLease, ConfigurationLease: defaultConfigurationLease, UsageOverage: defaultUsageOverage, GCPercent: defaultGCPercent, RetryOrder: RetryFirstCome}
	allowPlainText := false
	root.Object(map[string]func(jsonc.Node){
		"host":               func(n jsonc.Node) { s.Host = readName(n) },
		"dataCenter":         func(n jsonc.Node) { s.DataCenter = readName(n) },
		"region":             func(n jsonc.Node) { s.Region = readName(n) },
		"node":               func(n jsonc.Node) { s.Node = readNode(n) },
		"control":            func(n jsonc.Node) { s.Control = readControl(n) },
		"controlReplicas":    func(n jsonc.Node) { s.ControlReplicas = readControlReplicas(n) },
		"tls":                func(n jsonc.Node) { s.TLS = readTLS(n) },
		"allowPlainText":     func(n jsonc.Node) { allowPlainText = n.Bool() },
		"logLevel":           func(n jsonc.Node) { s.LogLevel = int(n.Uint(0, 10)) },
		"keyLease":           func(n jsonc.Node) { s.KeyLease = n.Duration(time.Second, maxKeyLease) },
		"configurationLease": func(n jsonc.Node) { s.ConfigurationLease = n.Duration(time.Second, maxConfigurationLease) },
		"usageOverage":       func(n jsonc.Node) { s.UsageOverage = n.Float(0, 1) },
		"usageSlack":         func(n jsonc.Node) { s.UsageSlack = n.Float(0, maxUsageSlack) },
		"gcPercent":          func(n jsonc.Node) { s.GCPercent = int(n.Uint(minGCPercent, maxGCPercent)) },
		"memoryMB":           func(n jsonc.Node) { s.MemoryMB = int(n.Uint(minMemoryMB, maxMemoryMB)) },
		"descriptors":        func(n jsonc.Node) { s.Descriptors = int(n.Uint(minDescriptors, maxDescriptors)) },
		"linkMbps":           func(n jsonc.Node) { s.LinkMbps = n.Float(0, maxLinkMbps) },
		"learnedProfiles":    func(n jsonc.Node) { s.LearnedProfiles = n.Bool() },
		"retryOrder":         func(n jsonc.Node) { s.RetryOrder = readRetryOrder(n) },
		"stopTimeout":        func(n jsonc.Node) { s.StopTimeout = n.Duration(time.Second, time.Hour) },
		"metrics":            func(n jsonc.Node) { s.Metrics = readAddress(n) },
		"policy":             func(n jsonc.Node) { s.Disabled = readPolicy(n) },
		"adapter":            func(n jsonc.Node) { s.Adapter = readAdapter(n) },
	}, "host", "dataCenter", "region", "controlReplicas")
	if s.Node == nil && s.Control == nil {
		root.Fail("neither node nor control is set", `add "node": {…}, "control": {…}, or both`)
	}
	s.checkListenersUseTLS(root, allowPlainText)
	return s, reader.Problems()
}

func readRetryOrder(n jsonc.Node) RetryOrder {
	order := RetryOrder(n.String())
	if order != RetryFirstCome && order != RetryByNeed {
		n.Fail("no such order of retries", `use "`+string(RetryFirstCome)+`" or "`+string(RetryByNeed)+`"`)
	}
	return order
}

// readPolicy reads an object such as {"disable": ["NAME", ...]} and returns the set of the named
// mechanisms.
func readPolicy(n jsonc.Node) mechanism.Set {
	var disabled mechanism.Set
	n.Object(map[string]func(jsonc.Node){"disable": func(list jsonc.Node) {
		for _, name := range list.Elements() {
			m, err := mechanism.Parse([]string{name.String()})
			if err != nil {
				name.Fail(err.Error(), "use a name from the list, or remove the entry")
			}
			disabled |= m
		}
	}})
	return disabled
}

// checkListenersUseTLS rejects listeners that other hosts can reach without TLS, unless the
// settings allow plain text explicitly. Messages between nodes decide where requests are sent, so
// they must come from trusted peers.
func (s *Settings) checkListenersUseTLS(root jsonc.Node, allowPlainText bool) {
	if s.TLS.Enabled() || allowPlainText {
		return
	}
	for _, address := range s.peerListeners() {
		if !isLoopback(address) {
			root.Fail("the address "+address+" can be reached from other hosts without TLS", `set "tls", or set "allowPlainText": true if the network is trusted`)
			return
		}
	}
}

func (s *Settings) peerListeners() []string {
	var list []string
	if s.Node != nil {
		list = append(list, s.Node.Peer)
	}
	if s.Control != nil {
		list = append(list, s.Control.Listen)
	}
	return list
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return true
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func readAdapter(n jsonc.Node) *Adapter {
	a := &Adapter{}
	n.Object(map[string]func(jsonc.Node){
		"name":    func(n jsonc.Node) { a.Name = readName(n) },
		"listen":  func(n jsonc.Node) { a.Listen = readAddresses(n) },
		"options": func(n jsonc.Node) { a.Options = n.Strings() },
	}, "name")
	return a
}

func readNode(n jsonc.Node) *Node {
	node := &Node{}
	n.Object(map[string]func(jsonc.Node){
		"callers":     func(n jsonc.Node) { node.Callers = readAddress(n) },
		"peer":        func(n jsonc.Node) { node.Peer = readAddress(n) },
		"peerAddress": func(n jsonc.Node) { node.PeerAddress = readAddress(n) },
		"service":     func(n jsonc.Node) { node.Service = readName(n) },
		"backend":     func(n jsonc.Node) { node.Backend = readAddress(n) },
		"watchControl": func(n jsonc.Node) {
			node.WatchControl = n.Bool()
		},
		"admin": func(n jsonc.Node) {
			node.Admin = readAddress(n)
			if !isLoopback(node.Admin) {
				n.Fail("the admin address "+node.Admin+" is not on loopback", "use 127.0.0.1: any process that can connect to it can announce a backend server")
			}
		},
	}, "callers", "peer", "admin")
	if node.PeerAddress == "" {
		node.PeerAddress = node.Peer
	}
	return node
}

func readControl(n jsonc.Node) *Control {
	c := &Control{Founders: map[string]string{}}
	n.Object(map[string]func(jsonc.Node){
		"name":       func(n jsonc.Node) { c.Name = readName(n) },
		"address":    func(n jsonc.Node) { c.Address = readAddress(n) },
		"listen":     func(n jsonc.Node) { c.Listen = readAddress(n) },
		"dataFolder": func(n jsonc.Node) { c.DataFolder = readNonEmpty(n) },
		"founders": func(n jsonc.Node) {
			for _, m := range n.Members() {
				c.Founders[m.Name] = readAddress(m.Value)
			}
		},
		"dataCenters": func(n jsonc.Node) { c.DataCenters = n.Strings() },
		"group":       func(n jsonc.Node) { c.Group = readGroup(n) },
		"operators":   func(n jsonc.Node) { c.Operators = jsonc.List(n, readOperator) },
	}, "name", "address", "dataFolder")
	if c.Listen == "" {
		c.Listen = c.Address
	}
	if len(c.Founders) > 0 && c.Founders[c.Name] != c.Address {
		n.Fail("founders does not list this replica with its own address", `add "`+c.Name+`": "`+c.Address+`" to founders`)
	}
	return c
}

// maxToleratedFailures limits the size of a group to seven voters, the most that a leader serves
// without slowing down every change.
const maxToleratedFailures = 3

func readGroup(n jsonc.Node) *Group {
	g := &Group{}
	n.Object(map[string]func(jsonc.Node){
		"tolerate": func(n jsonc.Node) { g.Tolerate = int(n.Uint(0, maxToleratedFailures)) },
		"found":    func(n jsonc.Node) { g.Bootstrap = n.Bool() },
	}, "tolerate")
	return g
}

func readOperator(n jsonc.Node) Operator {
	var o Operator
	n.Object(map[string]func(jsonc.Node){
		"name": func(n jsonc.Node) { o.Name = readName(n) },
		"tokenSha256": func(n jsonc.Node) {
			o.TokenSHA256 = n.String()
			if len(o.TokenSHA256) != 64 {
				n.Fail("not a SHA-256 digest", "write the 64 hexadecimal digits that `printf %s TOKEN | sha256sum` prints")
			}
		},
		"institutions": func(n jsonc.Node) { o.Institutions = n.Strings() },
		"hosts":        func(n jsonc.Node) { o.Hosts = n.Bool() },
	}, "name", "tokenSha256")
	return o
}

func readTLS(n jsonc.Node) transport.TLSFiles {
	var f transport.TLSFiles
	n.Object(map[string]func(jsonc.Node){
		"certificate": func(n jsonc.Node) { f.Certificate = readNonEmpty(n) },
		"key":         func(n jsonc.Node) { f.Key = readNonEmpty(n) },
		"authority":   func(n jsonc.Node) { f.Authority = readNonEmpty(n) },
	}, "certificate", "key", "authority")
	return f
}

func readNonEmpty(n jsonc.Node) string {
	s := n.String()
	if s == "" {
		n.Fail("must not be empty", "write a value")
	}
	return s
}

const maxNameLength = 63

func readName(n jsonc.Node) string {
	s := readNonEmpty(n)
	if len(s) > maxNameLength || strings.ContainsAny(s, " \t\r\n;/\x00") {
		n.Fail("not a valid name", "use at most 63 characters without spaces, slashes and semicolons")
	}
	return s
}

func readAddress(n jsonc.Node) string {
	s := n.String()
	host, port, err := net.SplitHostPort(s)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		n.Fail("not an IP address with a port: "+s, `write an address such as "10.1.2.3:7070"`)
	}
	return s
}

func readAddresses(n jsonc.Node) []string { return jsonc.List(n, readAddress) }

func readControlReplicas(n jsonc.Node) []string {
	list := readAddresses(n)
	if len(list) == 0 {
		n.Fail("no control replica is named", "list the address of each control replica")
	}
	return list
}
