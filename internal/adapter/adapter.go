// Package adapter defines the interfaces between a process and the code that supports an
// external platform's formats. An adapter converts the platform's calls into calls of
// these interfaces and names the header fields that callers and backend servers use. It
// makes no decisions.
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

// Node is the node on the host of a backend server. It is safe for concurrent use.
type Node interface {
	// Announce applies an announcement of the backend server. It has taken effect when
	// Announce returns: no request starts at a backend server that announced that it is
	// draining.
	Announce(node.Announcement) error
	// Withdraw ends the announcement of an instance.
	Withdraw(instance, why string)
	// Ready reports whether callers may send requests to this node.
	Ready() bool
}

// Estate is the replicated configuration. It is safe for concurrent use.
type Estate interface {
	// Submit submits an estate text on behalf of an operator.
	Submit(ctx context.Context, operator string, s replica.Submission) (*apiv1.AuditRecord, error)
	// Accepted reports whether the change was accepted, and its revision.
	Accepted(changeID string) (revision uint64, accepted bool)
	// Evacuate starts or cancels the evacuation of a data centre.
	Evacuate(ctx context.Context, operator string, e replica.Evacuation) (*apiv1.AuditRecord, error)
	// Newest returns the newest accepted text of an institution.
	Newest(ctx context.Context, institution string) (replica.Document, error)
	// LeaderAddress returns the leader's address, or "" if it is unknown or this replica
	// is the leader.
	LeaderAddress() string
}

// Adapter supports the formats of one platform.
type Adapter interface {
	// Configure applies the platform's own options to the settings.
	Configure(s *settings.Settings) error
	// Dialect returns the platform's header field names and formats.
	Dialect() *hop.Dialect
	// NodeHandler serves the platform's calls to a node, and EstateHandler its calls to a
	// control replica.
	NodeHandler(Node) http.Handler
	EstateHandler(Estate) http.Handler
}
