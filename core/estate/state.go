package estate

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/jsonc"
	"cactuspath/core/rollout"
)

// maxAuditRecords is the maximum length of the audit trail in memory and in
// snapshots. At 22,000 changes per day it covers two days. A change that is resent
// after its record was dropped cannot apply twice, since its base revision has been
// superseded by then.
const maxAuditRecords = 50_000

// State is the replicated state machine. All replicas apply the same changes in the
// same order and therefore have the same State.
type State struct {
	documents map[string]*apiv1.Document
	records   *rollout.Records
	audit     []*apiv1.AuditRecord
	byID      map[string]*apiv1.AuditRecord
}

// NewState returns an empty State.
func NewState() *State {
	return &State{
		documents: map[string]*apiv1.Document{},
		records:   rollout.NewRecords(),
		byID:      map[string]*apiv1.AuditRecord{},
	}
}

// Records returns the compiled records, which are distributed to the nodes. The caller
// must not modify them.
func (s *State) Records() *rollout.Records { return s.records }

// Revision returns the newest revision of the records.
func (s *State) Revision() uint64 { return s.records.Revision() }

// Document returns the newest document of an institution, or nil.
func (s *State) Document(institution string) *apiv1.Document { return s.documents[institution] }

// Institutions returns the sorted names of the institutions that have a document.
func (s *State) Institutions() []string { return slices.Sorted(maps.Keys(s.documents)) }

// Outcome returns the audit record of the change with the given id, or nil if no such
// change was decided or its record was dropped.
func (s *State) Outcome(changeID string) *apiv1.AuditRecord { return s.byID[changeID] }

// Audit returns the oldest audit records with a log index above after, at most limit
// of them.
func (s *State) Audit(after uint64, limit int) []*apiv1.AuditRecord {
	var out []*apiv1.AuditRecord
	for _, r := range s.audit {
		if r.Index > after && len(out) < limit {
			out = append(out, r)
		}
	}
	return out
}

// Apply accepts or refuses the change at the given log index, applies it if accepted, and
// returns its audit record. If a change with the same id was already decided, Apply
// returns the first record again, so that a change resent after a lost response is not
// applied twice. A different change with the same id gets the outcome "id reused".
func (s *State) Apply(index uint64, change *apiv1.Change) *apiv1.AuditRecord {
	digest := change.GetSubmit().GetCompiled().GetDigest()
	if change.GetSubmit().GetCompiled() == nil {
		digest = Digest(change)
	}
	if first := s.byID[change.Id]; first != nil && !s.reevaluates(change, first) {
		if first.Digest != digest {
			return &apiv1.AuditRecord{Id: change.Id, Digest: digest, Outcome: apiv1.Outcome_OUTCOME_ID_REUSED, Revision: first.Revision, Index: index}
		}
		return first
	}
	record := &apiv1.AuditRecord{Id: change.Id, Digest: digest, Operator: change.Operator, UnixMs: change.UnixMs, Index: index}
	switch kind := change.Kind.(type) {
	case *apiv1.Change_Submit:
		s.applySubmit(kind.Submit, record)
	case *apiv1.Change_Host:
		s.applyHost(kind.Host, record)
	case *apiv1.Change_DataCenter:
		s.applyDataCenter(kind.DataCenter, record)
	default:
		record.Outcome = apiv1.Outcome_OUTCOME_REFUSED
	}
	s.addAuditRecord(record)
	return record
}

// reevaluates reports whether a change whose id was already decided is decided again.
// This is so if it was not accepted and its id is a digest of its content. Such an id
// is the same each time the text is submitted, and a text that is refused now may be
// valid on top of a later revision.
func (s *State) reevaluates(change *apiv1.Change, first *apiv1.AuditRecord) bool {
	return change.GetSubmit().GetContentId() && first.Outcome != apiv1.Outcome_OUTCOME_ACCEPTED
}

func (s *State) applySubmit(change *apiv1.SubmitChange, record *apiv1.AuditRecord) {
	record.What = "submit " + change.Institution
	current := s.documents[change.Institution].GetRevision()
	if change.BaseRevision != current {
		record.Outcome = apiv1.Outcome_OUTCOME_CONFLICT
		record.Revision = current
		return
	}
	compiled := change.Compiled
	if compiled == nil {
		var problems []jsonc.Problem
		if compiled, problems = s.compileText(change); problems != nil {
			refuse(record, problems...)
			return
		}
	}
	if problems := s.nameConflicts(change.Institution, compiled.Difference); problems != nil {
		refuse(record, problems...)
		return
	}
	// Drains and evacuations also take revisions of the records, which operators who
	// number their texts do not know of. A given revision is therefore compared with
	// that of the institution's current document. If it were compared with that of the
	// records, the operator's next number would be refused after a drain or an
	// evacuation.
	nextRevision := s.records.Revision() + 1
	revision := nextRevision
	if compiled.Revision != 0 {
		if compiled.Revision <= current {
			refuse(record, jsonc.Problem{Line: 1, Column: 1, Field: "revision", Message: fmt.Sprintf("revision %d is not above the current one, %d", compiled.Revision, current),
				Remedy: "choose a higher number"})
			return
		}
		revision = compiled.Revision
	}
	s.records.ApplyDifference(compiled.Difference, max(nextRevision, revision))
	s.documents[change.Institution] = &apiv1.Document{Institution: change.Institution, Revision: revision, TextGzip: change.TextGzip, SourceGzip: change.SourceGzip}
	record.Outcome = apiv1.Outcome_OUTCOME_ACCEPTED
	record.Revision = revision
}

// Compile compiles the document of a change against the state, so that all replicas can apply the
// change without its text. It returns nil if the change is not based on the institution's newest
// document: it will most likely be a conflict.
func (s *State) Compile(change *apiv1.Change, doc *Document) *apiv1.CompiledChange {
	if submit := change.GetSubmit(); submit.GetBaseRevision() != s.documents[doc.Institution].GetRevision() {
		return nil
	}
	return &apiv1.CompiledChange{Revision: doc.Revision, Digest: Digest(change), Difference: s.records.Difference(doc.Institution, doc.Contents())}
}

// compileText compiles the text of a change that was proposed without a compiled form.
func (s *State) compileText(change *apiv1.SubmitChange) (*apiv1.CompiledChange, []jsonc.Problem) {
	text, err := Gunzip(change.TextGzip)
	if err != nil {
		return nil, []jsonc.Problem{{Line: 1, Column: 1, Message: "the text cannot be unpacked: " + err.Error(), Remedy: "submit it again"}}
	}
	doc, problems := Parse(text)
	if problems != nil {
		return nil, problems
	}
	return &apiv1.CompiledChange{Revision: doc.Revision, Difference: s.records.Difference(doc.Institution, doc.Contents())}, nil
}

// nameConflicts returns a problem for each service name of a difference that another institution
// already uses. Nodes route by service name, so a name must identify a single service.
func (s *State) nameConflicts(institution string, difference *apiv1.EstateDelta) []jsonc.Problem {
	var names []string
	for _, service := range difference.GetServices() {
		if current := s.records.Service(service.Name); current != nil && !current.Removed && current.Institution != institution {
			names = append(names, service.Name)
		}
	}
	var problems []jsonc.Problem
	slices.Sort(names)
	for _, name := range names {
		problems = append(problems, jsonc.Problem{Line: 1, Column: 1, Field: "services." + name,
			Message: fmt.Sprintf("institution %q holds a service named %q", s.records.Service(name).Institution, name), Remedy: "choose another name"})
	}
	return problems
}

func (s *State) applyHost(change *apiv1.HostChange, record *apiv1.AuditRecord) {
	record.What = "undrain " + change.Host
	if change.Draining {
		record.What = "drain " + change.Host
	}
	record.Outcome = apiv1.Outcome_OUTCOME_ACCEPTED
	if s.records.Draining(change.Host) == change.Draining {
		record.Revision = s.records.Revision()
		return
	}
	record.Revision = s.records.Revision() + 1
	s.records.SetHost(change.Host, change.Draining, record.Revision)
}

func (s *State) applyDataCenter(change *apiv1.DataCenterChange, record *apiv1.AuditRecord) {
	record.What = "end evacuation of " + change.DataCenter
	if change.Evacuated {
		record.What = "evacuate " + change.DataCenter
	}
	record.Outcome = apiv1.Outcome_OUTCOME_ACCEPTED
	if s.records.Evacuated(change.DataCenter) == change.Evacuated {
		record.Revision = s.records.Revision()
		return
	}
	record.Revision = s.records.Revision() + 1
	s.records.SetDataCenter(change.DataCenter, change.Evacuated, record.Revision)
}

// refuse sets the outcome of record to refused with the given problems. Their messages
// are stored in the replicated audit trail, which must be the same on all replicas, so
// every build must produce the same messages for the same input.
func refuse(record *apiv1.AuditRecord, problems ...jsonc.Problem) {
	record.Outcome = apiv1.Outcome_OUTCOME_REFUSED
	record.Problems = ProblemsToProto(problems)
}

// addAuditRecord appends a record to the audit trail and drops the oldest one above
// maxAuditRecords.
func (s *State) addAuditRecord(record *apiv1.AuditRecord) {
	s.audit = append(s.audit, record)
	s.byID[record.Id] = record
	if len(s.audit) > maxAuditRecords {
		delete(s.byID, s.audit[0].Id)
		s.audit = s.audit[1:]
	}
}

// Snapshot returns the complete state in a deterministic order.
func (s *State) Snapshot() *apiv1.EstateSnapshot {
	snap := s.records.Snapshot()
	for _, name := range slices.Sorted(maps.Keys(s.documents)) {
		snap.Documents = append(snap.Documents, s.documents[name])
	}
	snap.Audit = s.audit
	return snap
}

// Restore replaces the state with that of a snapshot.
func (s *State) Restore(snap *apiv1.EstateSnapshot) {
	*s = *NewState()
	s.records.Restore(snap)
	for _, d := range snap.Documents {
		s.documents[d.Institution] = d
	}
	for _, r := range snap.Audit {
		s.audit = append(s.audit, r)
		s.byID[r.Id] = r
	}
}

// Digest returns a hash of the content of a change, without its id, operator and
// time. The text is decompressed first, since the compressed forms of equal texts
// may differ.
func Digest(change *apiv1.Change) uint64 {
	h := xxhash.New()
	switch kind := change.Kind.(type) {
	case *apiv1.Change_Submit:
		text, _ := Gunzip(kind.Submit.TextGzip)
		fmt.Fprintf(h, "submit\x00%s\x00%d\x00", kind.Submit.Institution, kind.Submit.BaseRevision)
		_, _ = h.Write(text)
	case *apiv1.Change_Host:
		fmt.Fprintf(h, "host\x00%s\x00%t", kind.Host.Host, kind.Host.Draining)
	case *apiv1.Change_DataCenter:
		fmt.Fprintf(h, "data center\x00%s\x00%t", kind.DataCenter.DataCenter, kind.DataCenter.Evacuated)
	}
	return h.Sum64()
}

// ProblemsToProto converts problems to protocol buffer messages.
func ProblemsToProto(problems []jsonc.Problem) []*apiv1.Problem {
	out := make([]*apiv1.Problem, len(problems))
	for i, p := range problems {
		out[i] = &apiv1.Problem{Line: uint32(p.Line), Column: uint32(p.Column), Field: p.Field, Message: p.Message, Remedy: p.Remedy}
	}
	return out
}

// Gzip compresses an estate text or the document that it was translated from.
func Gzip(text []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(text)
	_ = w.Close()
	return b.Bytes()
}

// MaxSourceBytes is the maximum uncompressed size, in bytes, of an estate text and of
// the document that it was translated from.
const MaxSourceBytes = 32 << 20

// Gunzip decompresses an estate text or the document that it was translated from. It
// returns an error if the result exceeds MaxSourceBytes.
func Gunzip(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxSourceBytes+1))
	if err == nil && len(text) > MaxSourceBytes {
		return nil, fmt.Errorf("it unpacks to more than %d bytes", MaxSourceBytes)
	}
	return text, err
}

// Marshal encodes a snapshot deterministically.
func Marshal(snap *apiv1.EstateSnapshot) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(snap)
}
