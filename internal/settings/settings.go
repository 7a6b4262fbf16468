// Package settings reads a process's settings: JSON with comments, static for
// the life of the process, checked in full before anything starts.
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

// Settings of one process. Node, Control or both are set.
type Settings struct {
	Host, DataCenter, Region string
	Node                     *Node
	Control                  *Control
	// ControlReplicas are the addresses of all control replicas.
	ControlReplicas []string
	TLS             transport.TLSFiles
	LogLevel        int
	// GCPercent is how much the heap may grow between two collections, in percent
	// of what is in use. Less memory costs more processor time.
	GCPercent int
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// Retry bounds second attempts; the estate's terms hold where it is zero.
	Retry RetryBudget
	// Metrics is where metrics are served to other hosts; empty for nowhere.
	Metrics string
	// Disabled are mechanisms of the decision code that are switched off.
	Disabled mechanism.Set
	// Adapter connects the process to an outside platform; nil for none.
	Adapter *Adapter
}

// RetryBudget bounds the second attempts that all nodes send to one service: in
// each Window at most Ratio times its requests, and Slack more.
type RetryBudget struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Adapter names the code that speaks a platform's formats, where it listens, and
// what the platform says that only this code understands.
type Adapter struct {
	Name string
	// Listen are the addresses where the platform calls this process.
	Listen []string
	// Options are the platform's own, as it writes them.
	Options []string
}

// Node is the part that runs beside a backend server.
type Node struct {
	// Callers, Peer and Admin are listen addresses. Admin must be on loopback:
	// it is where the backend server announces itself.
	Callers, Peer, Admin string
	// PeerAddress is where other nodes reach Peer; Peer itself if empty.
	PeerAddress string
	// Service is the service beside this node, if it is known beforehand.
	Service string
	// Backend is the address of the backend server, if it is known beforehand.
	Backend string
	// WatchControl has changes come from the control replicas at once.
	WatchControl bool
}

// Control is a control replica.
type Control struct {
	// Address is where others reach the replica; it listens on Listen, which is
	// the same unless set.
	Name, Address, Listen, DataFolder string
	// Founders are the names and addresses of the first members.
	Founders  map[string]string
	Operators []Operator
	// DataCenters are those that operators may evacuate; any if empty.
	DataCenters []string
	// Group has the replicas choose their members by themselves; nil leaves them
	// to operators.
	Group *Group
}

// Group tells how a control group forms by itself.
type Group struct {
	// Tolerate is how many replicas may be lost at once.
	Tolerate int
	// Found: this is the first start of the whole system. The addresses that every
	// process was given found the group.
	Found bool
}

// Operator may change what it lists.
type Operator struct {
	Name, TokenSHA256 string
	Institutions      []string
	Hosts             bool
}

const (
	defaultStopTimeout = 30 * time.Second
	// defaultGCPercent is the runtime's own. Below the least value the collector
	// takes more than the work itself.
	defaultGCPercent = 100
	minGCPercent     = 10
	maxGCPercent     = 1000
)

// InvalidError lists everything that is wrong with a settings file.
type InvalidError struct {
	File     string
	Problems []jsonc.Problem
}

// Error lists the problems, one a line.
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
		return nil, errors.Wrap(err, "read the settings; name the file with --settings")
	}
	s, problems := Parse(text)
	if len(problems) > 0 {
		return nil, &InvalidError{file, problems}
	}
	return s, nil
}

// Parse reads and checks settings.
func Parse(text []byte) (*Settings, []jsonc.Problem) {
	reader, root := jsonc.Open(text)
	if len(reader.Problems()) > 0 {
		return nil, reader.Problems()
	}
	s := &Settings{StopTimeout: defaultStopTimeout, GCPercent: defaultGCPercent}
	plain := false
	root.Object(map[string]func(jsonc.Node){
		"host":            func(n jsonc.Node) { s.Host = label(n) },
		"dataCenter":      func(n jsonc.Node) { s.DataCenter = label(n) },
		"region":          func(n jsonc.Node) { s.Region = label(n) },
		"node":            func(n jsonc.Node) { s.Node = readNode(n) },
		"control":         func(n jsonc.Node) { s.Control = readControl(n) },
		"controlReplicas": func(n jsonc.Node) { s.ControlReplicas = addresses(n) },
		"tls":             func(n jsonc.Node) { s.TLS = readTLS(n) },
		"allowPlainText":  func(n jsonc.Node) { plain = n.Bool() },
		"logLevel":        func(n jsonc.Node) { s.LogLevel = int(n.Uint(0, 10)) },
		"gcPercent":       func(n jsonc.Node) { s.GCPercent = int(n.Uint(minGCPercent, maxGCPercent)) },
		"stopTimeout":     func(n jsonc.Node) { s.StopTimeout = n.Duration(time.Second, time.Hour) },
		"metrics":         func(n jsonc.Node) { s.Metrics = address(n) },
		"policy":          func(n jsonc.Node) { s.Disabled = readPolicy(n) },
		"adapter":         func(n jsonc.Node) { s.Adapter = readAdapter(n) },
	}, "host", "dataCenter", "region", "controlReplicas")
	if s.Node == nil && s.Control == nil {
		root.Fail("neither node nor control is set", `add "node": {…}, "control": {…}, or both`)
	}
	s.checkOpen(root, plain)
	return s, reader.Problems()
}

// readPolicy reads {"disable": [names]}.
func readPolicy(n jsonc.Node) mechanism.Set {
	var off mechanism.Set
	n.Object(map[string]func(jsonc.Node){"disable": func(list jsonc.Node) {
		for _, name := range list.Elements() {
			m, err := mechanism.Parse([]string{name.String()})
			if err != nil {
				name.Fail(err.Error(), "take a name from the list, or leave the entry out")
			}
			off |= m
		}
	}})
	return off
}

// checkOpen refuses listeners that others can reach without TLS, unless the
// settings say so plainly: what nodes tell each other decides where work goes.
func (s *Settings) checkOpen(root jsonc.Node, plain bool) {
	if s.TLS.Enabled() || plain {
		return
	}
	for _, address := range s.open() {
		if !loopback(address) {
			root.Fail("the address "+address+" can be reached from other hosts without TLS", `set "tls", or say "allowPlainText": true if the network is trusted`)
			return
		}
	}
}

func (s *Settings) open() []string {
	var list []string
	if s.Node != nil {
		list = append(list, s.Node.Peer)
	}
	if s.Control != nil {
		list = append(list, s.Control.Listen)
	}
	return list
}

func loopback(address string) bool {
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
		"name":    func(n jsonc.Node) { a.Name = label(n) },
		"listen":  func(n jsonc.Node) { a.Listen = addressList(n) },
		"options": func(n jsonc.Node) { a.Options = n.Strings() },
	}, "name")
	return a
}

func readNode(n jsonc.Node) *Node {
	node := &Node{}
	n.Object(map[string]func(jsonc.Node){
		"callers":     func(n jsonc.Node) { node.Callers = address(n) },
		"peer":        func(n jsonc.Node) { node.Peer = address(n) },
		"peerAddress": func(n jsonc.Node) { node.PeerAddress = address(n) },
		"service":     func(n jsonc.Node) { node.Service = label(n) },
		"backend":     func(n jsonc.Node) { node.Backend = address(n) },
		"watchControl": func(n jsonc.Node) {
			node.WatchControl = n.Bool()
		},
		"admin": func(n jsonc.Node) {
			node.Admin = address(n)
			if !loopback(node.Admin) {
				n.Fail("the admin address "+node.Admin+" is not on loopback", "use 127.0.0.1: whoever reaches it can announce a backend server")
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
		"name":       func(n jsonc.Node) { c.Name = label(n) },
		"address":    func(n jsonc.Node) { c.Address = address(n) },
		"listen":     func(n jsonc.Node) { c.Listen = address(n) },
		"dataFolder": func(n jsonc.Node) { c.DataFolder = notEmpty(n) },
		"founders": func(n jsonc.Node) {
			for _, m := range n.Members() {
				c.Founders[m.Name] = address(m.Value)
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

// maxTolerate bounds the losses that a group is laid out for: seven voters are
// the most that one leader serves without cost to every change.
const maxTolerate = 3

func readGroup(n jsonc.Node) *Group {
	g := &Group{}
	n.Object(map[string]func(jsonc.Node){
		"tolerate": func(n jsonc.Node) { g.Tolerate = int(n.Uint(0, maxTolerate)) },
		"found":    func(n jsonc.Node) { g.Found = n.Bool() },
	}, "tolerate")
	return g
}

func readOperator(n jsonc.Node) Operator {
	var o Operator
	n.Object(map[string]func(jsonc.Node){
		"name": func(n jsonc.Node) { o.Name = label(n) },
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
		"certificate": func(n jsonc.Node) { f.Certificate = notEmpty(n) },
		"key":         func(n jsonc.Node) { f.Key = notEmpty(n) },
		"authority":   func(n jsonc.Node) { f.Authority = notEmpty(n) },
	}, "certificate", "key", "authority")
	return f
}

func notEmpty(n jsonc.Node) string {
	s := n.String()
	if s == "" {
		n.Fail("must not be empty", "write a value")
	}
	return s
}

const maxLabel = 63

func label(n jsonc.Node) string {
	s := notEmpty(n)
	if len(s) > maxLabel || strings.ContainsAny(s, " \t\r\n;/\x00") {
		n.Fail("not a valid name", "use at most 63 characters without spaces, slashes and semicolons")
	}
	return s
}

func address(n jsonc.Node) string {
	s := n.String()
	host, port, err := net.SplitHostPort(s)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		n.Fail("not an IP address with a port: "+s, `write an address such as "10.1.2.3:7070"`)
	}
	return s
}

func addressList(n jsonc.Node) []string { return jsonc.List(n, address) }

func addresses(n jsonc.Node) []string {
	list := addressList(n)
	if len(list) == 0 {
		n.Fail("no control replica is named", "list the address of each")
	}
	return list
}
