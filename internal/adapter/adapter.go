// Package adapter is what a process offers to code that speaks an outside
// platform's formats. An adapter translates and decides nothing: it turns calls
// in the platform's words into calls of these interfaces, and names the header
// fields that callers and backend servers use.
package adapter

import (
	"context"
	"net/http"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/hop"
	"cactuspath/internal/node"
	"cactuspath/internal/replica"
	"cactuspath/internal/settings"
)

// Node is the node beside a backend server. Safe for concurrent use.
type Node interface {
	// Announce takes in what the backend server says of itself. When it returns,
	// what the announcement asks for holds: no request starts at a backend server
	// that announced its drain.
	Announce(node.Announcement) error
	// Withdraw ends the announcement of an instance.
	Withdraw(instance, why string)
	// Ready tells whether callers may be sent to this node.
	Ready() bool
}

// Estate is the replicated configuration. Safe for concurrent use.
type Estate interface {
	Submit(ctx context.Context, operator string, s replica.Submission) (*apiv1.AuditRecord, error)
	Accepted(changeID string) bool
	// Evacuate has a data centre emptied, or that taken back.
	Evacuate(ctx context.Context, operator string, e replica.Evacuation) (*apiv1.AuditRecord, error)
	Newest(ctx context.Context, institution string) (replica.Document, error)
	LeaderAddress() string
}

// Adapter translates for one platform.
type Adapter interface {
	// Configure carries the platform's own options into the settings.
	Configure(s *settings.Settings) error
	Dialect() *hop.Dialect
	// NodeHandler serves the platform's calls to a node, EstateHandler those to a
	// control replica.
	NodeHandler(Node) http.Handler
	EstateHandler(Estate) http.Handler
}
