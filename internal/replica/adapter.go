package replica

import (
	"context"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/estate"
)

// Submission is an estate text that an operator submits for an institution through a platform
// adapter.
type Submission struct {
	ID           string
	BaseRevision uint64
	Text         []byte
	// Source is the document that Text was translated from, if any.
	Source []byte
	// ContentID is set if ID is a digest of the submitted content instead of a unique ID of the
	// change.
	ContentID bool
}

// Evacuation starts or ends the evacuation of a data centre. An evacuated data centre receives no
// requests.
type Evacuation struct {
	ID         string
	DataCenter string
	Evacuated  bool
}

// Evacuate commits the start or end of an evacuation. If the data centre is already in the
// requested state, the change is accepted without effect, so that a caller can retry after a lost
// response.
func (r *Replica) Evacuate(ctx context.Context, operator string, e Evacuation) (*apiv1.AuditRecord, error) {
	return r.evacuate(ctx, Operator{Name: operator, Hosts: true}, e)
}

// Document is the newest accepted text of an institution.
type Document struct {
	Revision     uint64
	Text, Source []byte
}

// Submit commits an estate text on behalf of the named operator. It is called by the platform
// adapter in this process, which translates the platform's configuration format. All callers of the
// adapter act as this operator, who may change everything.
func (r *Replica) Submit(ctx context.Context, operator string, s Submission) (*apiv1.AuditRecord, error) {
	if err := requireChangeID(s.ID); err != nil {
		return nil, err
	}
	return r.submit(ctx, Operator{Name: operator, Hosts: true, Institutions: []string{"*"}}, s)
}

// Accepted reports whether the change with this ID was accepted, and its revision. Acceptance is
// final, so any replica that has applied the change may report it.
func (r *Replica) Accepted(id string) (revision uint64, accepted bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	record := r.state.Outcome(id)
	return record.GetRevision(), record.GetOutcome() == apiv1.Outcome_OUTCOME_ACCEPTED
}

// Newest returns the newest text of an institution after confirmation by a majority. It fails on a
// replica that cannot get the confirmation. The zero Document means that the institution has no
// text.
func (r *Replica) Newest(ctx context.Context, institution string) (Document, error) {
	if err := r.readBarrier(ctx); err != nil {
		return Document{}, err
	}
	r.mu.RLock()
	stored := r.state.Document(institution)
	r.mu.RUnlock()
	return decodeDocument(stored)
}

func decodeDocument(stored *apiv1.Document) (Document, error) {
	if stored == nil {
		return Document{}, nil
	}
	doc := Document{Revision: stored.Revision}
	var err error
	if doc.Text, err = estate.Gunzip(stored.TextGzip); err != nil {
		return Document{}, fault.New(fault.Unavailable, err)
	}
	if len(stored.SourceGzip) > 0 {
		if doc.Source, err = estate.Gunzip(stored.SourceGzip); err != nil {
			return Document{}, fault.New(fault.Unavailable, err)
		}
	}
	return doc, nil
}

// LeaderAddress returns the address of the leader, or "" if this replica is the leader itself or
// does not know it.
func (r *Replica) LeaderAddress() string { return r.leaderAddress() }
