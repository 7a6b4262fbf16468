package replica

import (
	"context"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/estate"
)

// Submission is a text that an operator wants in force.
type Submission struct {
	ID           string
	BaseRevision uint64
	Text         []byte
	// Source is the document that Text was translated from, if any.
	Source []byte
	// ContentID: ID is a digest of what was sent.
	ContentID bool
}

// Evacuation is an order that a data centre gets no requests, or the end of one.
type Evacuation struct {
	ID         string
	DataCenter string
	Evacuated  bool
}

// Evacuate has an evacuation agreed on, or its end. An order for what is in force
// already is accepted and changes nothing, so that one whose answer was lost may be
// given again.
func (r *Replica) Evacuate(ctx context.Context, operator string, e Evacuation) (*apiv1.AuditRecord, error) {
	return r.evacuate(ctx, Operator{Name: operator, Hosts: true}, e)
}

// Document is an institution's newest accepted text.
type Document struct {
	Revision     uint64
	Text, Source []byte
}

// Submit has a text agreed on, for an adapter in this process that speaks an
// operator's format. Whoever reaches the adapter counts as the operator named.
func (r *Replica) Submit(ctx context.Context, operator string, s Submission) (*apiv1.AuditRecord, error) {
	if err := requireID(s.ID); err != nil {
		return nil, err
	}
	return r.submit(ctx, Operator{Name: operator, Hosts: true, Institutions: []string{"*"}}, s)
}

// Accepted tells whether the change with this id was accepted. Acceptance is
// final, so that any replica which has applied it may say so.
func (r *Replica) Accepted(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	record := r.state.Outcome(id)
	return record != nil && record.Outcome == apiv1.Outcome_OUTCOME_ACCEPTED
}

// Newest returns the newest text of an institution, confirmed by a majority; a
// replica that cannot be sure fails. The zero Document means that there is none.
func (r *Replica) Newest(ctx context.Context, institution string) (Document, error) {
	if err := r.confirm(ctx); err != nil {
		return Document{}, err
	}
	r.mu.RLock()
	held := r.state.Document(institution)
	r.mu.RUnlock()
	return document(held)
}

func document(held *apiv1.Document) (Document, error) {
	if held == nil {
		return Document{}, nil
	}
	doc := Document{Revision: held.Revision}
	var err error
	if doc.Text, err = estate.Gunzip(held.TextGzip); err != nil {
		return Document{}, fault.New(fault.Unavailable, err)
	}
	if len(held.SourceGzip) > 0 {
		if doc.Source, err = estate.Gunzip(held.SourceGzip); err != nil {
			return Document{}, fault.New(fault.Unavailable, err)
		}
	}
	return doc, nil
}

// LeaderAddress is where the leader is reached, or "" if it is not known or
// this replica leads.
func (r *Replica) LeaderAddress() string { return r.leaderAddress() }
