// Package mutation tests the test suite by mutation testing. It removes one safeguard after
// the other from a copy of the source and expects a test to fail each time. Without the
// -mutate flag, it only checks that the source still contains the text that each mutation
// replaces.
//
//	go test ./internal/mutation -mutate -timeout 30m
package mutation

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var mutate = flag.Bool("mutate", false, "apply each mutation and run the tests that must detect it")

// mutation describes a safeguard and the source replacement that removes it.
type mutation struct {
	safeguard string
	file      string
	// old is the source text that is replaced by new. It must occur exactly once in file.
	old, new string
	// pkg is the package whose tests must detect the mutation, and tests the -run pattern
	// that selects them.
	pkg, tests string
}

const repositoryRoot = "../.."

var mutations = []mutation{
	{"a replica that lost its disk ignores messages to its previous member id", "core/consensus/step.go", "if m.To != r.id {", "if false {", "core/consensus", "EmptyDisk"},
	{"voters in contact with the leader ignore candidates with a newer term", "core/consensus/step.go", "if m.Hint != forcedCampaign && r.leader != 0 && r.electionElapsed < r.electionTicks {", "if false {", "core/consensus", "ReturningReplica"},
	{"a leader without a majority steps down", "core/consensus/election.go", "if !r.quorumActive() {", "if false {", "core/consensus", "IsolatedLeader"},
	{"a new leader serves no reads before it commits an entry of its term", "core/consensus/raft.go", "if term, _ := r.log.term(r.log.committed); term != r.term {", "if false {", "core/consensus", "NewLeaderAnswers"},
	{"a learner is promoted only after it has caught up", "core/consensus/members.go", "if p == nil || !p.active || p.match+MaxPromotionLag < r.log.lastIndex() || p.match == 0 {", "if p == nil {", "core/consensus", "LearnerMust"},
	{"only one membership change is pending at a time", "core/consensus/members.go", "if r.configIndex > r.log.committed {", "if false {", "core/consensus", "OneChange"},
	{"a delayed snapshot does not discard acknowledged entries", "core/consensus/step.go", "if term, ok := r.log.term(s.Index); ok && term == s.Term {", "if false {", "core/consensus", "DelayedSnapshot"},
	{"entries of older terms are not committed by counting replicas", "core/consensus/step.go", "if term, ok := r.log.term(index); !ok || term != r.term || index <= r.log.committed {", "if index <= r.log.committed {", "core/consensus", "OlderTerm"},
	{"an append does not truncate entries that match", "core/consensus/step.go", "if term, ok := r.log.term(e.Index); ok && term == e.Term {\n\t\t\tcontinue", "if false {\n\t\t\tcontinue", "core/consensus", "Explore"},
	{"votes are granted only to candidates with an up-to-date log", "core/consensus/step.go", "upToDate := r.log.upToDate(m.Index, m.LogTerm)", "upToDate := true", "core/consensus", "Explore"},
	{"a replica grants at most one vote per term", "core/consensus/step.go", "canVote := r.vote == 0 && r.leader == 0", "canVote := true", "core/consensus", "Explore"},
	{"a vote is synced to disk before it is sent", "core/consensus/ready.go", "rd.MustSync = len(rd.Entries) > 0 || rd.Snapshot != nil || hard.Term != r.saved.Term || hard.Vote != r.saved.Vote", "rd.MustSync = len(rd.Entries) > 0", "core/consensus", "ReadyOrders"},
	{"reads are confirmed by a majority", "core/consensus/step.go", "r.progress[id].round >= first.round", "true", "core/consensus", "Explore"},
	{"a leader counts only its own synced entries towards a commit", "core/consensus/ready.go", "r.progress[r.id].match = r.log.stable", "r.progress[r.id].match = r.log.lastIndex()", "core/consensus", "OnlyItsSynced"},

	{"a revoked attempt is fenced", "core/gate/gate.go", "case g.history.fenced(now, r.ID):", "case false:", "core/gate", "Revoke"},
	{"a gate that discarded records does not report an attempt as never started", "core/gate/fence.go", "return !h.anyForgotten || h.forgottenUpTo < now-sentAgo-revokeTransitSlack", "return true", "core/gate", "Forgotten"},
	{"an attempt that has already finished here is not run again", "core/gate/gate.go", "if _, ran := g.history.finished[r.ID]; ran {", "if false {", "core/gate", "SameAttempt"},
	{"a full queue evicts requests of the caller with the most waiting requests", "core/gate/admit.go", "if !it.rank.before(last.rank) && longest.length < evictionShareFactor*(last.lengthOf(it.Caller)+1) {", "if true {", "core/gate", "Noisy"},
	{"a drain refuses waiting requests", "core/gate/server.go", "g.refuseAll(now, reason)", "", "core/gate", "Drain"},
	{"a draining gate accepts no new requests", "core/gate/gate.go", "case g.draining:\n\t\treturn Draining", "case false:\n\t\treturn Draining", "core/gate", "Drain"},
	{"load reports older than the known one are ignored", "core/gate/siblings.go", "if sib == nil || sib.known && !r.Newer(sib.report) {", "if sib == nil {", "core/gate", "OlderReport"},
	{"a request moves a limited number of times", "core/gate/moves.go", "if !g.config.Siblings || !it.Movable {", "if !g.config.Siblings {", "core/gate", "MovedStays"},
	{"requests are not moved to a sibling that accepts none", "core/gate/moves.go", "if !sib.fresh(now) || !sib.report.Load.acceptsRequests() {", "if !sib.fresh(now) {", "core/gate", "FasterSibling"},
	{"requests are moved away from a failing server", "core/gate/moves.go", "forced := g.closedReason() != 0 || g.LimitReached(now) || g.failing(now) && !g.outlier.allowTrial(now)", "forced := false", "core/gate", "FailFast"},
	{"a request waits instead of starting on a temporarily slow server", "core/gate/start.go", "if g.shouldHold(now, it) {\n\t\treturn false", "if false {\n\t\treturn false", "core/gate", "WaitsRatherThan"},
	{"a persistent slowdown is not expected to end soon", "core/gate/persistent.go", "return max(1, minimum)", "return 1", "core/gate", "PersistentSlowdownIsNot"},
	{"an announced cold start takes effect immediately", "core/gate/slowdown.go", "return s.persistentSlowdown.minimumSeen()", "return s.persistentSlowdown.minimum()", "core/gate", "AnnouncedCold"},
	{"contention is measured relative to requests that ran at low occupancy", "core/gate/demand.go", "if occupancy == lowOccupancy {", "if true {", "core/gate", "FullServer"},
	{"an idle gate reports to few siblings", "core/gate/report.go", "return s.fanout[:min(n, len(s.fanout))]", "return s.fanout[:min(max(n, 1000), len(s.fanout))]", "core/gate", "IdleGatesReport"},
	{"a gate that drains tells all siblings", "core/gate/report.go", "if load.acceptsRequests() != s.reported.acceptsRequests() {", "if false {", "core/gate", "TellsAllSiblings"},
	{"a change of the relay changes no tables", "core/directory/view.go", "if before != nil && sameForRequests(e, before) {", "if false {", "core/directory", "ChangeOfRelay"},
	{"watches spread over the control replicas", "internal/node/watch.go", "ranked := directory.Rendezvous(w.n.options.Host, w.addresses())", "ranked := directory.Rendezvous(\"\", w.addresses())", "internal/node", "SpreadOver"},
	{"entries are sent in batches", "internal/replica/presence.go", "if news && time.Since(begin) >= batch {", "if news {", "internal/replica", "InBatches"},
	{"an evacuated gate starts no requests", "core/gate/gate.go", "case g.evacuated:\n\t\treturn Evacuated", "case false:\n\t\treturn Evacuated", "core/gate", "EvacuatedGate"},
	{"a request whose body arrives after an evacuation is not sent to the server", "core/gate/start.go", "if g.evacuated {", "if false {", "core/gate", "BodyThatComesAfter"},
	{"late requests use none of a cold server's limited starts", "core/gate/admit.go", "if g.startsLimited(now) {", "if false {", "core/gate", "LateRequestsGetNoStarts"},
	{"a new process counts starts of the preceding process against the cold-start limit", "core/gate/limit.go", "for range (g.config.ColdStarts + 1) / 2 {", "for range 0 {", "core/gate", "LeavesRoom"},
	{"renewed announcements report that a server is cold", "internal/node/announce.go", "if a.Cold {", "if a.Cold && fresh {", "internal/node", "RenewalThatSays"},
	{"a node without a configuration limits starts on a cold server", "internal/node/server.go", "ColdRequestsPerSecond: slots}", "}", "internal/node", "SparedWhile"},
	{"endpoints in an evacuated data centre are not picked", "core/balancer/balancer.go", "if !c.Evacuated && test(now, c)", "if test(now, c)", "core/balancer", "EvacuatedCandidates"},
	{"servers are treated as cold after an evacuation", "core/gate/server.go", "if g.evacuated && !evacuated && g.config.ColdStarts > 0 {", "if false {", "core/gate", "AfterAnEvacuation"},
	{"an evacuation does not use up a revision number of the estate text", "core/estate/state.go", "if doc.Revision <= current {", "if doc.Revision < nextRevision {", "core/estate", "EvacuationDoesNotConsume"},
	{"a cold server gets no more requests than its limit", "core/gate/slots.go", "if g.startsLimited(now) {", "if false {", "core/gate", "ColdServerGets"},
	{"starts before a server turned cold count towards its limit", "core/gate/start.go", "g.recordStart(now)", "if g.isCold(now) {\n\t\tg.recordStart(now)\n\t}", "core/gate", "BeforeTheServerTurnedCold"},
	{"a server gets no more requests than the limit that it names", "core/gate/limit.go", "return max(0, g.limit.count-g.starts.within(now, g.limit.window))", "return g.limit.count", "core/gate", "NamedLimit"},
	{"requests over a named limit do not wait for a slot", "core/gate/start.go", "if g.queue.size > 0 && g.LimitReached(now) {", "if false {", "core/gate", "RefusedAtOnce"},
	{"a new process takes a named limit as used up", "core/gate/limit.go", "if g.earlierStartsAt > 0 && now-g.earlierStartsAt < g.limit.window {", "if false {", "core/gate", "NewGateProcess"},
	{"a new process starts one request before the first answer", "core/gate/slots.go", "if g.awaitsFirstAnswer(now) {", "if false {", "core/gate", "NewGateProcess"},
	{"an announcement does not end the drain of a server that says that it leaves", "internal/endpoint/backend.go", "draining := draining || e.leaving.Load()", "draining := draining", "internal/endpoint", "SaysItLeaves"},
	{"the limit of another instance is ignored", "internal/endpoint/forward.go", "if !e.options.Dialect.OtherInstance(resp) {", "if true {", "internal/endpoint", "LimitIsRead"},
	{"answers of a replaced server are ignored", "internal/endpoint/answer.go", "return pool == e.backend.Load() || pool == e.healthPool.Load()", "return true", "internal/endpoint", "LateAnswer"},
	{"a delayed cold report does not shorten the known cold period", "core/gate/cold.go", "max(g.cold.until, now+left)", "now + left", "core/gate", "DelayedColdReport"},
	{"the last slots of a cold server are not filled to measure contention", "core/gate/contention.go", "|| g.speed.isCold() && !c.known() {", "{", "core/gate", "ColdServer"},
	{"a gate uses all slots if the profile knows no contention", "core/gate/contention.go", "if g.fillsBySeed() || g.fillsByMeasurement() {", "if g.fillsByMeasurement() {", "core/gate", "ProfileWithoutContention"},
	{"a profile with contention does not let a gate use all slots", "core/gate/profile.go", "if factor > contentionThreshold || g", "if g", "core/gate", "OverrulesProfile"},
	{"a sibling's measurement overrules the profile", "core/gate/profile.go", "|| g.contentionFactor() > contentionThreshold {", "{", "core/gate", "OverrulesProfile"},
	{"a profile that the demands at high occupancy contradict is ignored", "core/gate/profile.go", "return !g.speed.seed.contradicted && (", "return (", "core/gate", "Contradicted"},
	{"a full server is measured in spite of its profile", "core/gate/profile.go", "(g.speed.isCold() || g.speed.seed.uncomparedHigh < maxUncomparedHigh)", "true", "core/gate", "FullServerIsMeasured"},
	{"a profile with contention does not prevent measurements", "core/gate/contention.go", "return !g.contentionMeasured() || g.contentionFactor()", "return g.contentionFactor()", "core/gate", "MeasuredAgain"},
	{"a gate reports the contention factor only if several gates have measured it", "core/gate/profile.go", "n >= min(MinContentionGates, len(g.siblings.list)+1)", "n > 0", "core/gate", "LearnedContention"},
	{"a profile includes contention only if several gates have measured it", "core/profile/store.go", "if len(factors) == 0 || gates < min(gate.MinContentionGates, len(sv.hosts)) {", "if len(factors) == 0 {", "core/profile", "EnoughGates"},
	{"a report without a contention factor keeps the earlier one", "core/profile/store.go", "if l.Contention > 0 {\n\t\tchanged", "if true {\n\t\tchanged", "core/profile", "UnknownValues"},
	{"a damaged file of profiles is detected", "core/profile/wire.go", "if binary.BigEndian.Uint64(file) != xxhash.Sum64(data) {", "if false {", "core/profile", "Damaged"},
	{"the number of hosts in a profile is bounded", "core/profile/store.go", "if len(sv.hosts) > MaxHosts {", "if false {", "core/profile", "Bounds"},
	{"the number of classes in a profile is bounded", "core/profile/store.go", "for len(sv.classes) > MaxClasses {", "for false {", "core/profile", "Bounds"},
	{"the number of services with a profile is bounded", "core/profile/store.go", "if len(s.services) > MaxServices {", "if false {", "core/profile", "Bounds"},
	{"the number of classes of all hosts is bounded", "core/profile/store.go", "for s.classRecords > maxClassRecords {", "for false {", "core/profile", "AllHostsAreBounded"},
	{"a repeated report changes no file", "core/profile/store.go", "if sv.observe(s.reports, hostName, l) {", "if sv.observe(s.reports, hostName, l) || true {", "core/profile", "RepeatedReport"},
	{"a failed write leaves no partial file", "internal/wal/wal.go", "_ = os.Remove(path + \".new\")", "_ = path", "internal/wal", "NoPartialFile"},
	{"a hanging disk does not delay the stop of a replica", "internal/replica/profiles.go", "case <-time.After(profilesStopTimeout):", "case <-time.After(time.Hour):", "internal/replica", "HangingDisk"},
	{"a replica's profiles survive a restart", "internal/replica/profiles.go", "p.store, p.storedVersion = store, store.Version()", "p.storedVersion = store.Version()", "internal/replica", "KeptAcrossARestart"},
	{"a node with a gate without a profile is answered at once", "internal/replica/watch.go", "case resp.Profile.GetContentionPercent() > 0:", "case false:", "internal/replica", "NotHeld"},
	{"a node names its service before its server is announced", "internal/node/profiles.go", "req.Learned = &apiv1.ServiceLearned{Service: service}", "", "internal/node", "FirstWatch"},
	{"a node asks for the profile when its server is announced", "internal/node/profiles.go", "case p.ask <- struct{}{}:", "case <-p.ask:", "internal/node", "ServerIsAnnounced"},
	{"a lost report of what a gate has learned is repeated", "internal/node/profiles.go", "	return func(resp *apiv1.WatchResponse) {\n\t\tif report", "	if report != nil {\n\t\tp.mu.Lock()\n\t\tp.reported[address] = *report\n\t\tp.mu.Unlock()\n\t}\n\treturn func(resp *apiv1.WatchResponse) {\n\t\tif report", "internal/node", "LostReport"},
	{"a restart resets the failure record of the previous process", "core/gate/server.go", "g.outlier = outlier{}", "", "core/gate", "RestartForgets"},
	{"a stopping node refuses requests that could outlast it", "core/shutdown/schedule.go", "return s == nil || now.Before(s.acceptAllUntil) || !deadline.After(s.lastResponse)", "return true", "internal/proxy", "CouldOutlastIt"},
	{"attempts of a stopping node end before it", "core/shutdown/schedule.go", "if s == nil || deadline.Before(s.lastResponse) {", "if true {", "internal/proxy", "LateAttempts"},
	{"a shutdown starts no further request on a connection", "internal/front/conn.go", "if c.closing || c.stopping {", "if c.closing {", "internal/front", "StartsNoRequest"},
	{"a caller that leaves during a shutdown is noticed", "internal/front/conn.go", "\t\thangup.Gone(c.ctx)\n\t\ttime.Sleep", "\t\ttime.Sleep", "internal/front", "CallerThatLeft"},
	{"a delayed announcement does not register a server whose lease has expired", "internal/node/announce.go", "case n.expired.sentAfter(a):", "case false:", "internal/node", "LeaseExpired"},
	{"a server that left after its lease had expired stays away", "internal/node/announce.go", "if n.expired != nil && n.expired.instance == instance {", "if false {", "internal/node", "LeaseExpired"},
	{"a response body that stops is not waited for without limit", "internal/hop/exchange.go", "if b.progressTimeout == 0 || b.deadline.IsZero() {", "if true {", "internal/hop", "BodyThatStops"},
	{"a response body that makes progress may take longer than the deadline", "internal/hop/exchange.go", "\t\tend = b.deadline\n", "", "internal/hop", "BodyThatStops"},
	{"a broken-off response that was not sent is replaced", "internal/proxy/call.go", "ok && w.Reset() {", "ok && false && w.Reset() {", "internal/proxy", "BrokenOff"},
	{"the first request of an endpoint waits for the first health response", "internal/endpoint/watch.go", "first := !e.firstQueryEnded.Load()", "first := false", "internal/endpoint", "FirstRequestWaits"},
	{"a stopping relay holds no responses", "internal/node/relayserver.go", "\tcase <-r.released:\n", "", "internal/node", "HoldsNoResponses"},
	{"a response that the handler abandoned is not completed with an implied 200", "internal/front/response.go", "if w.status == 0 && w.c.ctx.Err() != nil {", "if false {", "internal/front", "HalfClosed"},
	{"an overloaded process refuses requests", "internal/proxy/handler.go", "if !h.options.Overload.Admit(coreoverload.FromCaller, target.rank(key.account)) {", "if false {", "internal/e2e", "ThrottledNode"},
	{"a request without a valid key does not run", "internal/proxy/account.go", "return c, target.public() || c.account != nil", "return c, true", "internal/proxy", "KeysDecideWhoRuns"},
	{"a node that is cut off does not go on with its keys for good", "internal/node/node.go", "return lease == 0 || n.sinceControlHeard()", "return lease >= 0 || n.sinceControlHeard()", "internal/node", "KeysAreNotTrusted"},
	{"a key does not reach a backend server", "internal/proxy/account.go", "header.Del(\"Authorization\")", "", "internal/proxy", "KeysDecideWhoRuns"},
	{"callers do not choose the name of an account", "internal/proxy/account.go", "\theader.Del(name)\n", "", "internal/proxy", "KeysDecideWhoRuns|WithoutAccounts"},
	{"a key that was taken away ends requests that are under way", "internal/proxy/account.go", "return holder != nil && holder.ID == c.account.ID", "return holder == nil || holder.ID != \"\"", "internal/proxy", "RevokedKey"},
	{"requests that did not run are not charged", "internal/proxy/call.go", "c.h.refund(c.key)", "", "internal/proxy", "CapRefusesAndRefunds"},
	{"two accounts cannot have the same key", "core/estate/accounts.go", "\tcheckSharedKeys(doc, nodes)\n", "\t_ = nodes\n", "core/estate", "RefusesAccounts"},
	{"a keeper that is short of tokens tells its nodes", "core/usage/keeper.go", "case p.level < reserve, p.level <= 0:\n\t\tp.open = false", "case p.level < reserve, p.level <= 0:", "core/usage", "HotAccounts|Bound"},
	{"a keeper deducts the tokens that it gives away", "core/usage/keeper.go", "\tp.level -= given\n", "", "core/usage", "ConserveTokens"},
	{"granted tokens that nobody used expire at the node", "core/usage/spender.go", "c.spent < c.limit && now < c.limitTill", "c.spent < c.limit", "core/usage", "GrantsExpire"},
	{"a keeper that starts does not begin with a full burst", "core/usage/keeper.go", "level := min(capacity, max(1, perSecond*", "level := min(capacity, max(capacity, perSecond*", "core/usage", "StartsWithFew"},
	{"leased tokens are deducted from the level at once", "core/usage/lease.go", "\tp.level -= float64(tokens - s.reserved)\n", "", "core/usage", "ConserveTokens"},
	{"leased tokens do not come on top of a full burst", "core/usage/lease.go", "return p.capacity - p.leased()", "return p.capacity", "core/usage", "BesideAFullBurst"},
	{"a lease counts from the report that it answers", "core/usage/lease.go", "c.limit, c.limitTill = g.Limit, g.SentAt+grantLifetime", "c.limit, c.limitTill = g.Limit, g.SentAt+3*grantLifetime", "core/usage", "CountsFromItsReport"},
	{"tokens that a reply repeats stay reserved", "core/usage/lease.go", "\t\ts.reservedTill = now + keeperGrantLifetime\n", "", "core/usage", "RenewedLease"},
	{"a reply that was overtaken is ignored", "core/usage/lease.go", "if g.SentAt < c.answered {\n\t\treturn false", "if g.SentAt < c.answered {\n\t\treturn true", "core/usage", "OlderReplies"},
	{"a report that was overtaken is ignored", "core/usage/lease.go", "if r.SentAt < s.sentAt {", "if false {", "core/usage", "OlderReports"},
	{"leases of a cap that was lowered are not renewed", "core/usage/lease.go", "p.leasesFrom = p.refilledAt + keeperGrantLifetime", "", "core/usage", "LoweredCapEndsLeases"},
	{"a keeper stays open when it gives leases", "core/usage/lease.go", "if p.level-added < max(2*p.reserve()+1, p.capacity/2)", "if p.level < added", "core/usage", "LeavesTokens"},
	{"all leases together are a quarter of the tokens", "core/usage/lease.go", "|| p.leased()+added > leaseShare*(p.level+p.leased())", "", "core/usage", "LeavesTokens"},
	{"a node's own delay does not count against keepers", "core/usage/lease.go", "c.unansweredSince, c.delayAllowed = min(now, c.unansweredSince+allowance), true", "c.delayAllowed = true", "core/usage", "OwnDelay"},
	{"one lost datagram does not silence a keeper", "core/usage/lease.go", "!c.awaitsReply || now-c.reportedAt >= 2*maxReplyTimeout", "!c.awaitsReply", "core/usage", "OneLostReport"},
	{"a silent keeper is not used until it answers", "core/usage/lease.go", "\t\tif c.silent {\n\t\t\tfirst -=", "\t\tif c.silent && now < c.silentTill {\n\t\t\tfirst -=", "core/usage", "SilentKeeper"},
	{"a keeper that was short of tokens when it fell silent leaves no credit", "core/usage/lease.go", "\t\t\t\tfirst = 0\n", "", "core/usage", "ShortKeeperThatFallsSilent"},
	{"a silent keeper is asked again", "core/usage/lease.go", "c.probe = c.probe || now >= c.silentTill", "", "core/usage", "SilentKeeper"},
	{"the next keeper is asked before the credit is used up", "core/usage/lease.go", "a.probeNext(now, i+1)", "_ = i", "core/usage", "SlowReplies"},
	{"a lost question to the next keeper is repeated", "core/usage/lease.go", "!c.awaitsReply || now >= c.reportedAt+c.replyTimeout()", "!c.awaitsReply", "core/usage", "SlowReplies"},
	{"the count of a former keeper goes on", "core/usage/spender.go", "a.keepers, a.generation = Keepers(account, s.members, s.dataCenter), s.generation", "a.keepers, a.generation, a.charges = Keepers(account, s.members, s.dataCenter), s.generation, map[string]*charge{}", "core/usage", "FormerKeepers"},
	{"a refund lowers the count of requests that tokens paid for", "core/usage/spender.go", "\tc.covered = min(c.covered, c.spent)\n", "", "core/usage", "RefundsLeaveNoCredit|FloodAfterRefunds"},
	{"a refund without a charge is ignored", "core/usage/spender.go", " || a.charges[keeper].spent == 0 {", " {", "core/usage", "RefundAfterTheCapWasRemoved"},
	{"a reply in whole microseconds answers the report", "core/usage/lease.go", "g.SentAt < c.reportedAt.Truncate(time.Microsecond)", "g.SentAt < c.reportedAt", "core/usage", "LeaseInUse"},
	{"a keeper whose cap was lowered grants tokens at once", "core/usage/lease.go", "\treply.Limit = s.spent + s.reserved\n", "\tif now >= p.leasesFrom {\n\t\treply.Limit = s.spent + s.reserved\n\t} else {\n\t\treply.Limit = s.spent\n\t}\n", "core/usage", "LoweredCapStillGrants"},
	{"leases of a cap that was lowered do not count as held", "core/usage/lease.go", "\t\tp.reserved -= s.reserved\n\t\ts.reserved = 0\n", "\t\t_ = s\n", "core/usage", "LoweredCap"},
	{"the debt of a cap that was lowered is bounded", "core/usage/lease.go", "max(p.level, -p.capacity), 0", "p.level, 0", "core/usage", "LoweredCap"},
	{"tokens that a node holds are not counted again", "core/usage/lease.go", "added := tokens - float64(s.reserved)", "added := tokens", "core/usage", "BusyNode"},
	{"a node that is late again and again turns to the next keeper", "core/usage/lease.go", "if !c.awaitsReply || c.delayAllowed {", "if !c.awaitsReply {", "core/usage", "LateTimers"},
	{"the wait of a flood grows with what was refused", "core/usage/lease.go", "max(next.Seconds(), queue)", "max(next.Seconds(), 0*queue)", "core/usage", "ComeBackSpread"},
	{"the longest wait is bounded", "core/usage/lease.go", ", maxWait.Seconds())", ", 1000*maxWait.Seconds())", "core/usage", "ComeBackSpread"},
	{"a node with leases switched off takes none", "core/usage/spender.go", "return !s.disabled.Has(mechanism.Leases)", "return s.disabled == s.disabled", "core/usage", "DisabledLeases"},
	{"a keeper with leases switched off gives none", "core/usage/lease.go", "return !k.disabled.Has(mechanism.Leases)", "return k.disabled == k.disabled", "core/usage", "DisabledLeases"},
	{"all nodes select keepers among the same nodes", "internal/node/usage.go", "return unrestricted || slices.Contains(routed, service)", "return unrestricted || slices.Contains(routed, service) || service != \"\"", "internal/node", "KeepersServeRouted"},
	{"caps have keepers while no routed service has a node", "internal/node/usage.go", "if len(members) == 0 {", "if false {", "internal/node", "KeepersServeAnyService"},
	{"leased tokens that nobody used expire at the node", "core/usage/lease.go", "c.spent >= c.limit || now >= c.limitTill", "c.spent >= c.limit", "core/usage", "GrantsExpire|CountsFromItsReport"},
	{"datagrams of usage fit into what nodes accept", "internal/usage/wire.go", "const maxItems = 5", "const maxItems = 6", "internal/usage", "CarryLeases"},
	{"a request whose sender has disconnected is not sent on", "internal/hop/exchange.go", "if hangup.Gone(ctx) {", "if false && hangup.Gone(ctx) {", "internal/endpoint", "SenderLeftInTheQueue"},
	{"the time that a request lay unread is deducted", "internal/endpoint/serve.go", "outgoing(w, r, e.options.Dialect, req.Timeout-held, bufferLimit)", "outgoing(w, r, e.options.Dialect, req.Timeout, bufferLimit)", "internal/endpoint", "LayUnread"},
	{"requests of disconnected callers are not served", "internal/proxy/handler.go", "if hangup.Gone(r.Context()) {", "if false && hangup.Gone(r.Context()) {", "internal/proxy", "DisconnectedCaller"},
	{"counted bytes reduce what large responses may take", "core/link/link.go", "s.nextAt = max(before, min(s.nextAt, now+maxDebt))", "s.nextAt = before", "core/link", "LeaveRoom"},
	{"counted bytes delay large responses for a limited time", "core/link/link.go", "s.nextAt = max(before, min(s.nextAt, now+maxDebt))", "_ = before", "core/link", "GuaranteedShare"},
	{"large responses keep a share of the link", "core/link/link.go", "min(s.nextAt, s.guaranteedAt); at > now", "s.nextAt; at > now", "core/link", "GuaranteedShare"},
	{"late timers leave no fast link unused", "core/link/link.go", "now - max(maxChunkTime, s.duration(float64(s.chunk), LargeShare))", "now - s.duration(float64(s.chunk), LargeShare)", "core/link", "FastLink"},
	{"a late timer is followed by two chunks at most", "core/link/link.go", "max(s.nextAt, unused)", "max(s.nextAt, 0*unused)", "core/link", "LateTimer"},
	{"a transfer that asks for no chunk is passed over", "core/link/link.go", "if t.asked > 0 && (first == nil", "if (first == nil", "core/link", "DoesNotRead"},
	{"a transfer without progress does not count in the backlog", "core/link/link.go", "case t.asked == 0 && now-t.activeAt > stalledAfter:", "case false:", "core/link", "DoesNotRead"},
	{"an event of a stream goes first", "core/link/link.go", "\tcase t.event:\n", "\tcase false:\n", "core/link", "EventOfAStream"},
	{"a small chunk is no event of a stream", "core/link/link.go", " && t.asked < s.chunk", "", "core/link", "EventOfAStream"},
	{"small pieces of a download are read together", "internal/endpoint/large.go", "for n < len(p) && len(r.chunks) > 0 {", "for n == 0 {", "internal/endpoint", "SmallPieces"},
	{"a slow receiver counts with its share of the link", "core/link/link.go", "return int64(t.share * float64(t.left))", "return t.left", "core/link", "SlowReceiverCounts"},
	{"a stream to a slow receiver counts with its share of the link", "core/link/link.go", "return int64(t.share * LargeBytes)", "return LargeBytes", "core/link", "SlowReceiverCounts"},
	{"a wait for the link counts as use of it", "core/link/link.go", "used := max(now-t.activeAt, took)", "used := took", "core/link", "SlowReceiverCounts"},
	{"the transfer with the fewest bytes left goes first", "core/link/link.go", "left != other {", "left != other && false {", "core/link", "Orders"},
	{"a paced response gives up when its request's context ends", "internal/link/writer.go", "case <-w.ctx.Done():\n", "case <-make(chan int):\n", "internal/link", "EndedRequest"},
	{"the head of a large response does not wait for the link", "internal/link/writer.go", "w.begunAt = time.Now()\n\t\t// The receiver gets the head at once: its time limit applies to the head, and it\n\t\t// would give up a response whose first chunk waits longer.\n\t\tw.Flush()", "w.begunAt = time.Now()", "internal/endpoint", "HeadOfALarge"},
	{"responses that wait are released when pacing is switched off", "internal/link/link.go", "\tfor _, w := range l.waiting {\n\t\tw.granted <- struct{}{}\n\t}\n", "", "internal/link", "DisabledLink"},
	{"a paced response to a request whose body is not read is whole", "internal/endpoint/large.go", "if out.Stream != nil && !out.Stream.Ended() {", "if false {", "internal/endpoint", "PacedEarly"},
	{"a wait for the receiver is not taken for the server's", "core/gate/gate.go", "\tcase it.receiverWaits:\n\tcase", "\tcase", "core/gate", "WaitForTheReceiver"},
	{"the gate learns that a server waits for a receiver", "internal/endpoint/large.go", "e.gate.ObserveReceiverWait(e.now(), handle)", "", "internal/endpoint", "NoSlowServer"},
	{"responses read ahead are bounded in all", "internal/endpoint/large.go", "r.limits.inAll.Value() >= maxReadAheadInAll", "false", "internal/endpoint", "BoundedInAll"},
	{"a paced download frees its slot", "internal/endpoint/large.go", "limits.bytes = pacedReadAheadBytes", "limits.bytes = readAheadBytes", "internal/endpoint", "NoSlowServer"},
	{"responses to other nodes are paced", "internal/endpoint/large.go", "if e.options.Link.Enabled() {\n\t\tif out.Stream", "if false {\n\t\tif out.Stream", "internal/endpoint", "AnotherNodeIsPaced"},
	{"responses to callers are paced", "internal/proxy/call.go", "if !host.Enabled() {", "if true {", "internal/proxy", "ToACaller"},
	{"request bodies to other nodes are counted", "internal/proxy/call.go", "out.OnBodySent = c.h.options.Link.Count", "out.OnBodySent = nil", "internal/proxy", "AreCounted"},
	{"an overload is detected although some timers fire on time", "core/overload/detector.go", "d.delayIntegral += delay.Seconds() * delay.Seconds() / 2", "d.delayIntegral = 0", "core/overload", "Detector"},
	{"the refused share grows with the backlog", "core/overload/shedder.go", "s.integral+proportional", "s.integral+0*proportional", "core/overload", "OverloadedProcess"},
	{"within a priority, requests with a longer aim are refused first", "core/overload/shedder.go", "return cmp.Or(cmp.Compare(r.Priority, other.Priority), cmp.Compare(r.Aim, other.Aim))", "return cmp.Compare(r.Priority, other.Priority)", "core/overload", "RefusedLast"},
	{"the GC percentage is raised during an overload", "internal/overload/gc.go", "g.normal = debug.SetGCPercent(raisedGCPercent)", "g.normal = debug.SetGCPercent(30)", "internal/overload", "HeapGrows"},
	{"a request that crashed three servers is quarantined", "core/quarantine/evaluate.go", "l.quarantinedUntil[k] = until", "_ = until", "internal/e2e", "RequestThatEndsServers"},
	{"frequent successful completions clear a request of crashes", "core/quarantine/ledger.go", "if at, ok := l.recentCompletions.last(k); ok && crashedAt <= at+completionWindow {", "if false {\n\t\tat := crashedAt", "core/quarantine", "PopularRequest"},
	{"a later completion clears a suspected request", "core/quarantine/ledger.go", "if l.crashCounts[k] > 0 && l.applyCompletion(k, now) {", "if false {", "core/quarantine", "LaterAnswer"},
	{"requests that only ran beside the cause of a crash are not blamed", "core/quarantine/evaluate.go", "unattributed = unattributed || !l.attributedToOther(e, k)", "unattributed = true", "core/quarantine", "BesideTheCause"},
	{"similar requests are suspected only if the crashing requests differ", "core/quarantine/evaluate.go", "isAlike && len(slices.Compact(exact)) < 2", "isAlike && len(exact) == 0", "core/quarantine", "VaryingRequest"},
	{"a sender with an outdated suspicion is sent a correction", "core/quarantine/gossip.go", "\tout = append(out, g.sendNews(now, from, correction)...)\n", "\t_ = correction\n", "core/quarantine", "IsCorrected"},
	{"lost quarantine messages are recovered by comparing digests", "core/quarantine/gossip.go", "if m.Compare && m.Digest != g.Ledger.Digest() {", "if false {", "core/quarantine", "AllNodesLearn"},
	{"a server that only drops connections is not treated as exited", "internal/endpoint/ended.go", "if pool == nil || pool.Reachable() {", "if pool == nil {", "internal/endpoint", "SeesItsServerEnd"},
	{"a planned exit is not recorded as a crash", "internal/endpoint/ended.go", "\tif t.planned {\n", "\tif false {\n", "internal/endpoint", "SeesItsServerEnd"},
	{"a streamed body is identified if its path is suspected of a crash", "internal/endpoint/ended.go", "if !r.content.Known() && e.options.Quarantine.Suspected(quarantine.PathOf(r.target)) {", "if false {", "internal/e2e", "RequestThatEndsServers"},
	{"control replicas answer nodes with the recorded crashes", "internal/replica/serve.go", "Messages: c.r.quarantine.Answer(req.Msg.Messages)}", "}", "internal/e2e", "KeptAwayAfterAll"},
	{"a replica's quarantine ledger survives a restart", "internal/quarantine/store.go", "if err := t.save(folder); err != nil {", "if err := error(nil); err != nil {", "internal/e2e", "KeptAwayAfterAll"},
	{"setting the clock back does not make stored crashes younger", "internal/quarantine/store.go", "since := max(0, time.Now().UnixMilli()-stored.StoredUnixMs)", "since := time.Now().UnixMilli() - stored.StoredUnixMs", "internal/quarantine", "LoadAfterClockChange"},
	{"body bytes that were read ahead are sent", "internal/hop/upload.go", "b.replaceSource(io.MultiReader(parts...))", "b.replaceSource(b.source)", "internal/hop", "ReadAhead"},
	{"a full near endpoint is tried again soon", "core/balancer/balancer.go", "recentlyFullDuration = 100 * time.Millisecond", "recentlyFullDuration = time.Second", "core/balancer", "AvoidedBriefly"},
	{"a body is read only by the sender that owns it", "internal/hop/upload.go", "if b.owner != owner {", "if false {", "internal/hop", "BeginsLate|OneSender"},
	{"the second attempt sends the complete body", "internal/hop/upload.go", "if b.owner != owner {", "if false {", "internal/e2e", "SecondAttemptSendsTheWholeBody"},
	{"an exchange waits for its body sender to end", "internal/hop/upload.go", "\t<-s.done\n\tlogs", "\tlogs", "internal/hop", "ClosedSource"},
	{"a sender blocked on reading from its caller is interrupted", "internal/hop/upload.go", "if !b.reading {", "if true {", "internal/hop", "EndsAfterItsSender"},
	{"bytes read after the end of an exchange are dropped", "internal/hop/upload.go", "\tif b.owner != r.owner {", "\tif false {", "internal/hop", "LateReadIsDropped"},
	{"a partly read body is not sent again", "internal/proxy/call.go", "return c.out.Stream == nil || c.out.Stream.Unread()", "return true", "internal/proxy", "PartlyRead"},
	{"a body failure is reported even after the response head", "internal/hop/exchange.go", " || x.conn.failed.Load()", "", "internal/hop", "BodyFailureAfterResponseHead"},
	{"100 Continue is not sent within a response", "internal/front/body.go", "if !b.expectsContinue || b.w.started {", "if !b.expectsContinue {", "internal/front", "InsideTheAnswer"},
	{"100 Continue is not sent within a response, end to end", "internal/front/response.go", "\tw.started = true\n", "\tw.started = w.body == nil\n", "internal/e2e", "AnswerHoldsNoQuestion"},
	{"100 Continue is not sent for a stopped body", "internal/front/body.go", "\tcase <-b.stopped:\n\t\treturn os.ErrDeadlineExceeded\n", "", "internal/front", "StoppedBody"},
	{"a connection with an unsent body is not reused", "internal/hop/exchange.go", "if !reusable || bodyUnsent || extraBytes", "if !reusable || bodyUnsent && false || extraBytes", "internal/hop", "BlockedInWrite"},
	{"a response is read although the server closed the connection during the upload", "internal/hop/upload.go", "if s.sourceFailed || errors.Is(s.err, io.ErrUnexpectedEOF) {", "if s.err != nil {", "internal/hop", "ResponseIsReadAfterServerCloses"},
	{"a sender whose source is closed is waited for before the exchange ends", "internal/hop/upload.go", "err := s.out.Stream.removeOwner(s); errors.Is(err, errors.ErrUnsupported) {", "err := s.out.Stream.removeOwner(s); err != nil {", "internal/hop", "ClosedSource"},
	{"100 Continue is sent to a caller before the response head", "internal/proxy/call.go", "\t\tc.w.WriteHeader(http.StatusContinue)\n", "", "internal/proxy", "AnswersAsItReads"},
	{"100 Continue is sent to the caller's node before the response head", "internal/endpoint/serve.go", "\t\tinterim.sendContinue()\n\t}\n\tinterim.end()", "\t}\n\tinterim.end()", "internal/endpoint", "AnswersAsItReads"},
	{"stopping an ended body does not affect the next request", "internal/front/body.go", "\tif b.ended {\n\t\treturn nil\n\t}\n", "", "internal/front", "LateStop"},
	{"a caller that is still sending receives the complete response", "internal/front/conn.go", "\t\tc.lingerClose()\n\t\treturn false\n\t}\n\treturn !w.mustClose", "\t\treturn false\n\t}\n\treturn !w.mustClose", "internal/front", "StillSends"},
	{"a node that is still sending receives the complete response", "internal/endpoint/serve.go", "\t\tdefer linger(w)\n", "", "internal/endpoint", "StillSends"},
	{"hints and 100 Continue are not written concurrently", "internal/endpoint/serve.go", "\tb.interim.sendContinue()\n", "", "internal/endpoint", "Hints"},
	{"a connection between nodes is closed if a request body is left unread", "internal/endpoint/serve.go", "if out.Stream != nil && !out.Stream.Ended() {", "if false {", "internal/e2e", "UnreadBodyThatNobodyAskedFor"},
	{"an older configuration does not replace a newer one", "internal/node/server.go", "func (n *Node) apply() {\n\tn.applyMu.Lock()\n\tdefer n.applyMu.Unlock()\n", "func (n *Node) apply() {\n", "internal/node", "NotReplacedByAnOlder"},
	{"a call that gets no response closes the idle connections", "internal/transport/transport.go", "return nil, t.failed(r.Context(), err)", "return nil, err", "internal/node", "FellSilent"},
	{"a response that breaks off closes the idle connections", "internal/transport/transport.go", "return t.failed(r.Context(), err) }}", "return err }}", "internal/transport", "PassedDeadline"},
	{"one client for all control replicas", "internal/controlclient/client.go", "apiv1connect.NewControlServiceClient(c.http, url", "apiv1connect.NewControlServiceClient(c.security.ControlClient(&c.Traffic), url", "internal/node", "FellSilent"},
	{"a silent peer's idle connections are not used again", "internal/proxy/liveness.go", "pool.CloseIdle()", "_ = pool", "internal/proxy", "ConnectionsThatFell"},
	{"a replica with a blocked disk sends its watchers away", "internal/replica/watch.go", "if time.Since(s.at) > detachedTimeout {", "if false {", "internal/replica", "BlockedDisk"},
	{"failures of a time without a leader are forgotten", "internal/node/watch.go", "clear(w.lastFailure)", "_ = w.lastFailure", "internal/node", "SpreadAfterATime"},
	{"only one watch of a node moves at a time", "internal/node/watch.go", "delete(w.confirmed, address)\n\t\t\treturn true", "return true", "internal/node", "OneWatchAtATime"},
	{"control replicas notice a silent connection before an election", "internal/replica/peers.go", "stepTimeout      = 300 * time.Millisecond", "stepTimeout      = 700 * time.Millisecond", "internal/replica", "HeardInTime"},
	{"a replica replaces its connection to a peer that was silent", "internal/replica/peers.go", "client.CloseIdleConnections()", "_ = client", "internal/replica", "HeardInTime"},
	{"an upload does not wait for its response without limit", "internal/hop/exchange.go", "x.setDeadline(time.Now().Add(out.Deadline.Sub(x.begin)))", "", "internal/hop", "UploadWithoutResponse"},
	{"a response that begins in time is not cut off after an upload", "internal/hop/exchange.go", "if !x.hasHead {", "if true {", "internal/hop", "LongUpload|BodyFailure|ResponseIsRead|Streamed"},
	{"a node reconnects promptly to the control replicas", "internal/node/watch.go", "maxWatchBackoff = 400 * time.Millisecond", "maxWatchBackoff = 2 * time.Second", "internal/node", "SoonBack"},
	{"announcements of an earlier server process are ignored", "internal/node/announce.go", "return a.StartedAt > 0 && a.StartedAt < s.startedAt && s.address == a.Address", "return false", "internal/node", "StartsAgain|HeldUp"},
	{"a new server process restarts the announcement sequence", "internal/node/announce.go", "if a.StartedAt > 0 && s.startedAt > 0 && a.StartedAt != s.startedAt {", "if false {", "internal/node", "StartsAgain"},
	{"a new gate does not report attempts of the preceding one as never started", "internal/node/server.go", "if n.hadServer {", "if false {", "internal/node", "LaterGate"},
	{"exchanges with an earlier server process are canceled", "internal/endpoint/backend.go", "\tcancelPrevious()\n", "\t_ = cancelPrevious\n", "internal/endpoint", "RestartEnds"},
	{"a heartbeat with an unknown state is rejected", "platform/instances.go", "case *b.State != stateReady && *b.State != stateDraining:", "case false:", "platform", "AnotherWriter"},
	{"a service missing from the estate is not served", "internal/node/announce.go", "if !n.serviceConfigured(a.Service) {", "if false {", "internal/node", "UnknownService"},
	{"slots go to requests that are likely to meet their aim", "core/gate/aims.go", "needs := g.workMargin(now) * ", "needs := ", "core/gate", "LikelyToMakeIt"},
	{"a gate learns whether a request's speed is fixed at its start", "core/gate/slowdown.go", "s.speedModel.compare(atStart, following, stats.value)", "", "core/gate", "LearnsWhether"},
	{"requests do not start in a slow period that ends soon", "core/gate/admit.go", "return g.shouldHoldFixedSpeed(now, it)", "return false", "core/gate", "NothingStarts"},
	{"a request that cannot wait until its deadline starts immediately", "core/gate/wait.go", "return inTime(g.speed.timeAfterSlowPeriod(demand)) || !inTime(time.Duration(demand*g.speed.factor))", "return inTime(0) || true", "core/gate", "WithoutTimeToWait"},
	{"a sibling is rated by the demand of the request's own class", "core/gate/moves.go", "if it == nil || l.Slowdown == 0 || !g.speed.known {", "if true {", "core/gate", "ShortCallMoves"},
	{"the demand of a request with an uncertain start speed is not counted", "core/gate/slowdown.go", "return atStart, it.startSpeed.isCertain()", "return atStart, true", "core/gate", "UncertainStartSpeed"},
	{"a slowdown reported just after a request's start applies to that request", "core/gate/speedmodel.go", "it.startSpeed.next, it.startSpeed.confirmed = factor, true", "it.startSpeed.confirmed = true", "core/gate", "BeganAsTheServer"},
	{"a server's load is queried before a request starts", "internal/endpoint/endpoint.go", "e.refreshLoad(ctx)\n\thandle, event", "handle, event", "internal/endpoint", "AskedBefore"},
	{"a server that does not answer load queries delays only one request", "internal/endpoint/watch.go", "e.loadOverdue.Store(true)", "", "internal/endpoint", "HoldsUpNobody"},
	{"a server error does not win over a running hedged attempt", "internal/proxy/hedge.go", "case isServerError(r.resp) && other.ended != nil:", "case false:", "internal/proxy", "ServerErrorDoesNot"},
	{"a request is reconsidered after its body has arrived", "core/gate/start.go", "if g.closedReason() == 0 && (g.shouldHold(now, it) || g.startsLimited(now) && g.coldStartsLeft(now) == 0) {", "if false {", "core/gate", "BodyArrived"},
	{"a server that turned slow is reported immediately", "core/gate/report.go", "case load.urgentChangeFrom(s.reported):", "case false:", "core/gate", "TurningSlow"},
	{"a download that the link cannot send in time is refused when it arrives", "core/gate/admit.go", "if g.refuseForLink(now, it) {", "if false {", "core/gate", "BurstBeyondAllLinks|ByTheWaitsOfLinks"},
	{"a request with a large response waits for what the link has ahead of it", "core/gate/link.go", "return max(server, g.linkWait(now, it)) + g.linkTime(it.responseBytes)", "return server", "core/gate", "FullLinks|ByTheWaitsOfLinks"},
	{"a download stays while it meets its aim, however full the link is", "core/gate/link.go", "case atHere == inTime:", "case false:", "core/gate", "ByTheWaitsOfLinks"},
	{"a download moves to another data centre only where that gains more than it costs", "core/gate/link.go", "return there < here", "return true", "core/gate", "ByTheWaitsOfLinks"},
	{"the queue of a link is no longer than an aim", "core/gate/link.go", "longest = min(longest, it.Aim)", "", "core/gate", "BurstBeyondAllLinks|ByTheWaitsOfLinks"},
	{"a download that is too late here moves to a sibling that can take it", "core/gate/link.go", "case atHere == tooLate && atThere < atHere:", "case false:", "core/gate", "ByTheWaitsOfLinks"},
	{"requests with short responses ignore the link", "core/gate/link.go", "return it != nil && it.responseBytes >= link.LargeBytes", "return it != nil && it.responseBytes > 0", "core/gate", "ShortRequestsIgnore|ByTheWaitsOfLinks"},
	{"downloads that a gate moved count until the sibling's next report", "core/gate/siblings.go", "m.bytes = it.responseBytes", "m.bytes = 0", "core/gate", "MovedBytes"},
	{"running and waiting downloads count as work of the link", "core/gate/admit.go", "\tg.link.expect(it)\n", "", "core/gate", "RunningDownloads"},
	{"a download that has ended no longer counts as work of the link", "core/gate/gate.go", "delete(g.byID, it.ID)\n\tg.link.forget(it)\n\tswitch", "delete(g.byID, it.ID)\n\tswitch", "core/gate", "ExpectedBytes"},
	{"a profile without a contention factor fills cold servers only", "core/gate/profile.go", "!g.disabled(mechanism.Profile) && s.isCold() && ", "!g.disabled(mechanism.Profile) && ", "core/gate", "WithoutContentionFactor"},
	{"a response of unknown length is not expected once it has begun", "core/gate/link.go", "it.state != stateRunning || it.NoBody {", "it.state != stateRunning || it.NoBody || bytes < 0 {", "core/gate", "BegunResponse"},
	{"a class is short until five responses have been seen", "core/gate/link.go", "c != nil && c.responseSize.seen >= minClassSamples {\n\t\treturn", "c != nil {\n\t\treturn", "core/gate", "ShortUntilFive"},
	{"a request is counted once when its class's size is measured", "core/gate/link.go", "g.link.forget(it)\n\t\t\tit.responseBytes = size", "it.responseBytes = size", "core/gate", "SizeFromProfile"},
	{"a response that has been seen is not expected again", "core/gate/link.go", "if it.Class == r.Class && !it.responded && ", "if it.Class == r.Class && ", "core/gate", "ShortUntilFive"},
	{"a change of the link is reported to siblings", "core/gate/report.go", "(since < linkReportInterval || !load.linkDiffersFrom(s.reported))", "true", "core/gate", "ChangeOfTheLink"},
	{"a download alone does not cause reports", "core/gate/report.go", "(since < linkReportInterval || !load.linkDiffersFrom(s.reported))", "!load.linkDiffersFrom(s.reported)", "core/gate", "ChangeOfTheLink"},
	{"an idle link refuses nothing", "core/gate/link.go", "return max(longest, 2*g.linkTime(it.responseBytes))", "return longest", "core/gate", "IdleLink"},
	{"small changes of the link do not use up the measuring budget", "core/gate/link.go", "return high-low >= minLinkChange && ", "return ", "core/gate", "ChangeOfTheLink"},
	{"without a bandwidth the link decides nothing", "core/gate/link.go", "return g.config.LinkBytesPerSecond > 0 && !g.disabled(mechanism.Link)", "return !g.disabled(mechanism.Link)", "core/gate", "WithoutABandwidth"},
	{"later requests do not make an accepted one late", "core/gate/link.go", "expected -= it.expectedBytes + g.expectedAfter(it)", "expected -= it.expectedBytes", "core/gate", "LaterRequests"},
	{"a response longer than its limit may wait for one", "core/gate/link.go", "return max(longest, 2*g.linkTime(it.responseBytes))", "return longest", "core/gate", "LongerThanItsLimit"},
	{"a refused download comes back no later than to an idle link", "core/gate/link.go", "min(took-allowed, g.linkWait(now, it))", "took-allowed", "core/gate", "LongerThanItsLimit"},
	{"requests for heads ignore the link", "core/gate/link.go", "if !g.linkEnabled() || r.NoBody {", "if !g.linkEnabled() {", "core/gate", "RequestsForHeads"},
	{"requests for heads do not count once their class is known", "core/gate/link.go", " && !it.NoBody {", " {", "core/gate", "RequestsForHeads"},
	{"the gate knows which requests ask for heads only", "internal/endpoint/endpoint.go", "NoBody: method == http.MethodHead", "NoBody: false", "internal/endpoint", "GateKnowsTheLink"},
	{"a waiting download moves when its link fills up", "core/gate/link.go", "if now < it.Deadline && g.tryMove(now, it, g.waitingMoveGain(now)) {", "if false {", "core/gate", "WaitingDownload"},
	{"a download whose deadline has passed does not move", "core/gate/link.go", "if now < it.Deadline && g.tryMove", "if g.tryMove", "core/gate", "ExpiredDownload"},
	{"a download that is too late everywhere does not move", "core/gate/link.go", "case atThere == tooLate && g.linkTooLate(now, it):", "case false:", "core/gate", "ByTheWaitsOfLinks"},
	{"an urgent request does not wait behind a sibling's patient ones", "core/gate/moves.go", "return min(1, ahead/work)", "return max(1, ahead/work)", "core/gate", "LeaveSlowServers"},
	{"the gate knows the backlog of the link when a request arrives", "internal/endpoint/endpoint.go", "e.observeLink(now)\n\t\treturn e.gate.Arrive", "return e.gate.Arrive", "internal/endpoint", "GateKnowsTheLink"},
	{"the length that a response to HEAD names is not counted", "internal/endpoint/forward.go", "} else if out.Method != http.MethodHead {", "} else {", "internal/endpoint", "GateKnowsTheLink"},
	{"responses without a length are counted", "internal/endpoint/forward.go", "b.size += int64(n)", "", "internal/endpoint", "GateKnowsTheLink"},
	{"the wait of the link arrives with a load report", "internal/node/reports.go", "LinkWait: time.Duration(m.LinkWaitUs) * time.Microsecond", "LinkWait: 0", "internal/node", "LoadReport"},
	{"near siblings are preferred", "core/gate/siblings.go", "kept := slices.Concat(near, far)", "kept := slices.Concat(far, near)[:min(minKnownSiblings, len(far)+len(near))]", "core/gate", "NearFirst"},
	{"running requests count towards the service time estimate", "core/gate/estimate.go", "e.busy = e.busy*decay + elapsed*float64(e.running)", "e.busy = e.busy * decay", "core/gate", "Stall"},

	{"a non-idempotent request that may have run is not sent again", "core/retry/retry.go", "if !r.Idempotent {\n\t\t\treturn GiveUpUnknown", "if false {\n\t\t\treturn GiveUpUnknown", "core/retry", ""},
	{"an earlier lost attempt makes the outcome unknown", "core/retry/retry.go", "r.mayHaveRun = true", "", "core/retry", ""},
	{"retries are limited by a budget", "core/retry/retry.go", "if b.perMille == 0 || b.earned+b.slack < minBalance {", "if false {", "core/retry", ""},
	{"an attempt that reached no endpoint costs no retry budget", "core/retry/retry.go", " && result != Unreachable", "", "core/retry", "Unreachable"},
	{"a full near endpoint is not preferred", "core/balancer/nearby/nearby.go", " && !c.RecentlyFull(now)", "", "core/balancer/nearby", "FullNear"},
	{"the number of moves per request is limited", "core/retry/retry.go", "if r.moves > maxMoves {", "if false {", "core/retry", ""},
	{"the measurement budget holds in every window", "core/measure/budget.go", "now-b.ring[b.first].at >= window", "now-b.ring[b.first].at >= window/2", "core/measure", ""},
	{"an endpoint is picked even if all seem unusable", "core/balancer/balancer.go", "c = p.pickAmong(now, tried, fallback)", "_ = fallback", "core/balancer", "AllUnusable"},
	{"a refused request is not sent to a draining endpoint", "core/balancer/balancer.go", "\t\t\tfallback = notDraining\n", "\t\t\tfallback = anyCandidate\n", "core/balancer", "DrainingEndpoint"},

	{"an older delta is ignored", "core/rollout/records.go", "delta.Revision < r.revision || ", "", "core/rollout", "NeverMoves"},
	{"an older or partial record does not replace a newer one", "core/rollout/records.go", "if current == nil || current.ChangedAt < s.ChangedAt {", "if true {", "core/rollout", "LatePartial"},
	{"a newly needed service is sent in full", "core/rollout/records.go", "if s := r.services[name]; s != nil && s.ChangedAt <= since {", "if s := r.services[name]; s != nil && false {", "core/rollout", "NewlyNeeded"},
	{"a resent change gets its original result", "core/estate/state.go", "if first := s.byID[change.Id]; first != nil && !s.reevaluates(change, first) {", "if first := s.byID[change.Id]; false {", "core/estate", "Resent"},
	{"only one of several changes with the same base revision is accepted", "core/estate/state.go", "if change.BaseRevision != current {", "if false {", "core/estate", "EqualBase"},

	{"failed takes precedence over serving at the same sequence", "core/directory/table.go", "return a.State == failed && b.State != failed", "return false && a.State == failed", "core/directory", ""},
	{"a relay that was suspended does not count its own pause as silence of nodes", "core/directory/detect.go", "r.compensateStall(gap)", "_ = gap", "core/directory", "WakingRelay"},
	{"an isolated relay marks no nodes as failed", "core/directory/detect.go", "if silence >= confirmAfter && now-r.lastContact < suspectAfter {", "if silence >= confirmAfter {", "core/directory", "IsolatedRelay"},
	{"a suspected node is also probed from another node", "core/directory/detect.go", "if helper := r.helper(host); helper != \"\" {", "if helper := \"\"; helper != \"\" {", "core/directory", "CutBetween"},
	{"a relay is not ready before its sibling relays have answered", "core/directory/relay.go", "if p.info.DataCenter == r.self.DataCenter && p.cursor == nil {", "if p.info.DataCenter == r.self.DataCenter && p.cursor == nil && false {", "core/directory", "SiblingAnswers"},
	{"a relay sends no configuration to nodes that watch control replicas", "internal/node/relayserver.go", "return !req.Watching || len(req.Added) > 0", "return true", "internal/node", "RelayIsNotLate"},
	{"the notice of a move names the revision of the node", "internal/node/heartbeat.go", "Entry: req.Entry, Revision: req.Revision, RelaysDigest: req.RelaysDigest, Watching: true}", "Entry: req.Entry}", "internal/node", "NoticeOfAMove"},
	{"nothing is refused for good by an unconfirmed configuration", "internal/proxy/handler.go", "age < h.options.ConfigurationLease {", "true {", "internal/proxy", "RefusesNothingForGood"},
	{"the time that a response was under way adds to the age of its confirmation", "internal/node/node.go", "n.controlHeard(max(0, time.Since(sent)-held) + age)", "n.controlHeard(0*held + age)", "internal/node", "ConfirmationIsAsOld"},
	{"a relay confirms only the revision that it has", "internal/node/heartbeat.go", "if n.records.Revision() >= resp.Revision {", "if true {", "internal/node", "NewerRevisionDoesNotConfirm"},
	{"a call that makes progress is not ended", "internal/transport/stall.go", "l.timer.Reset(l.stall)", "_ = l.stall", "internal/transport", "StallLimit"},
	{"a request that is being sent is not ended", "internal/transport/stall.go", "b.limit.timer.Reset(b.limit.first)", "_ = b.limit.first", "internal/transport", "StallLimit"},
	{"the relay is told once that watches have ended", "internal/node/watch.go", "if w.n.member.saidWatching.Load() && !w.receiving", "if !w.receiving", "internal/node", "RelayIsToldOnce"},
	{"the relay is told at once that watches have ended", "internal/node/watch.go", "if w.n.member.saidWatching.Load() && !w.receiving", "if false && !w.receiving", "internal/node", "RelayIsToldOnce"},
	{"a node that starts waits for a confirmed configuration", "internal/node/watch.go", "if !resp.Detached || w.n.takesUnconfirmed() {", "if true {", "internal/node", "WaitsForAConfirmed"},
	{"a node without watches gets the configuration from its relay", "internal/node/watch.go", "return w.receiving(now)", "return true", "internal/node", "OnceTheirWatchesEnd"},
	{"a relay sends other data centres only the entries of its own", "core/directory/exchange.go", "return sibling || e.DataCenter == r.self.DataCenter }", "return sibling || true }", "core/directory", "OnlyItsOwn"},

	{"a changed byte is detected as corruption", "internal/wal/record.go", "if binary.LittleEndian.Uint64(header[8:]) != xxhash.Sum64(body) {", "if false {", "internal/wal", "Flipped"},
	{"a torn tail is distinguished from corruption", "internal/wal/record.go", "if len(data) < headerSize+length {\n\t\treturn 0, nil, 0, errTorn", "if len(data) < headerSize+length {\n\t\treturn 0, nil, 0, errors.New(\"short\")", "internal/wal", "Torn"},
	{"entries that do not continue the snapshot are dropped", "internal/wal/wal.go", "if s == nil || r.base.GetIndex() == s.Index && r.base.GetTerm() == s.Term {", "if true {", "internal/wal", "CrashBetween"},
	{"the log file has at most one unsynced write", "internal/wal/wal.go", "if !sync {\n\t\tl.flushed = len(l.buffer)\n\t\treturn nil\n\t}", "", "internal/wal", "LostWrite"},
	{"repairing a failed write keeps earlier buffered records", "internal/wal/wal.go", "l.buffer = l.buffer[:l.flushed]", "l.buffer = l.buffer[:0]", "internal/wal", "RepairKeeps"},
	{"a large body is not sent to a gate that moves the request", "internal/proxy/call.go", "out.ExpectContinue()", "_ = out", "internal/proxy", "MovedBody"},
	{"a body of moderate length is received completely before it is sent to the backend server", "internal/endpoint/forward.go", "if out.Stream == nil || out.Length <= 0 || out.Length > maxBuffered {", "if true {", "internal/endpoint", "BodyThatBreaksOff"},
	{"a cursor of an earlier replica process is ignored", "internal/replica/presence.go", "if cursor.GetProcess() == p.process {", "if true {", "internal/replica", "EarlierProcess"},
	{"a watching node is sent each change once", "internal/replica/presence.go", "return c.version > after && ", "return ", "internal/replica", "EachChangeOnce"},
	{"an incomplete group accepts no changes", "internal/replica/group.go", "return voters > g.voters() || voters == g.voters() && s.ConfigCommitted", "return voters > 0", "internal/replica", "CompleteGroup"},
	{"a leader checks that its group is complete before it proposes a change", "internal/replica/propose.go", "if s.Role == consensus.Leader && !r.options.Group.complete(s) {", "if false && s.Role == consensus.Leader {", "internal/replica", "LeaderOfIncompleteGroup"},
	{"a renewed certificate is loaded", "internal/transport/transport.go", "if !info.ModTime().After(s.modified) {", "if true {", "internal/transport", "RenewedCertificates"},
	{"a data folder is used by only one process", "internal/wal/wal.go", "return ErrLocked", "", "internal/wal", "Locked"},
	{"an idle connection with unread bytes is not reused", "internal/hop/conn.go", "if time.Since(c.idleSince) < p.maxIdleTime && c.isHealthy() {", "if time.Since(c.idleSince) < p.maxIdleTime {", "internal/hop", "SecondResponse|ClosedIdle"},
	{"a streamed body is sent only after 100 Continue", "internal/hop/exchange.go", "return x.readHead(out)\n}", "if out.Stream != nil {\n\t\tx.sendBody(out)\n\t}\n\treturn x.readHead(out)\n}", "internal/hop", "RefusedStream"},
	{"a refused request may no longer be moved", "internal/proxy/call.go", "return c.rules.Movable() && len(c.tried) == 0", "return c.rules.Movable()", "internal/proxy", "NotMovedBack"},
	{"an endpoint that moved a request may be tried again", "internal/proxy/call.go", "if r.ended != retry.Moved && r.ended != retry.Restarted {", "if true {", "internal/proxy", "MovedAbout"},
	{"the id of a response is checked", "internal/proxy/call.go", "if err == nil && reply.ID != a.id {", "if false {", "internal/proxy", "ForeignAnswer"},
	{"a planned stop costs no retry budget", "core/retry/retry.go", "result != Draining && result != Unreachable", "result != Unreachable", "core/retry", "PlannedStop"},
	{"a service that no relay has answered for is requested again", "core/directory/view.go", "if cursor == nil {\n\t\treturn false", "if cursor == nil && false {\n\t\treturn false", "core/directory", "NotAnswered"},
	{"a relay stays ready once it was ready", "core/directory/relay.go", "r.ready = r.ready || ", "r.ready = ", "core/directory", "StaysReady"},
	{"a retry goes to a reliable endpoint", "core/balancer/balancer.go", "c = p.pickAmong(now, tried, reliable)", "c = p.pickAmong(now, tried, usable)", "core/balancer", "ReliableEndpoint"},
	{"the retry budget is left to requests of higher need", "core/retry/need.go", "if higher < available && b.random != nil && b.random() < 1-higher/available {", "if available >= 0 {", "core/retry", "HigherOnes"},
	{"few retries asked for are judged over a longer time", "core/retry/need.go", "i > minNeedBuckets && sum.askedInAll() >= minNeedAsked", "i > minNeedBuckets", "core/retry", "FewRequests"},
	{"retries of a past wave are forgotten", "core/retry/need.go", "w.buckets[w.current] = needCounts{}", "", "core/retry", "AfterAWave"},
	{"slack refilled in an idle time does not count as earned now", "core/retry/retry.go", "min(elapsed, needBucket).Seconds()", "elapsed.Seconds()", "core/retry", "IdleTime"},
	{"hedged requests leave the retry budget to higher needs", "core/retry/retry.go", "!budget.admitNeed(First) || ", "", "core/retry", "HedgeLeaves"},
	{"requests given up long ago do not count as coming back", "core/retry/returns.go", "now-oldest.at <= returnsMaxAge", "true", "core/retry", "GivenUpExpire"},
	{"a request given up counts once", "core/retry/returns.go", "delete(r.contents, content)\n\t\treturn true", "return true", "core/retry", "CountsOnce"},
	{"a content that is not known never comes back", "core/retry/returns.go", "if content == 0 {", "if false {", "core/retry", "UnknownContent"},
	{"the records of requests given up are bounded", "core/retry/returns.go", "case held == maxReturns:", "case false:", "core/retry", "OldestRecords"},
	{"the oldest record of a content is used first", "core/retry/returns.go", "same.oldest = oldest.later", "same.oldest = same.newest", "core/retry", "CountsOnce"},
	{"only requests that their callers may send again count as given up", "internal/proxy/need.go", "!callerMayRetry(kind) || ", "", "internal/proxy", "DidNotRunCount"},
	{"a call of a backend server names a request that runs here", "internal/proxy/need.go", "c.out.ID[len(id)] == '.' && ", "", "internal/proxy", "NeedOfCalls"},
	{"a gate without room tells when to come back", "internal/proxy/need.go", " || c.retryAfter > 0", "", "internal/proxy", "RetryAfterOfRejected"},
	{"rejected callers are not called back to full gates", "internal/proxy/need.go", " || !c.s.hasRoom(c.h.now())", "", "internal/proxy", "FullGates"},
	{"the order of retries can be switched off", "internal/proxy/handler.go", " && !h.isDisabled(mechanism.RetryNeed)", "", "internal/proxy", "NeedOfCallers"},
	{"callers cannot forge internal headers", "internal/hop/relay.go", "delete(h, Header)\n\tdelete(h, \"Expect\")", "delete(h, \"Expect\")", "internal/hop", "CleanRequest"},
}

func readSource(t *testing.T, m mutation) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, m.file))
	assert.NilError(t, err)
	if n := strings.Count(string(text), m.old); n != 1 {
		t.Errorf("%s: the source text for %q occurs %d times, want once", m.file, m.safeguard, n)
	}
	return string(text)
}

func TestMutationsMatchSource(t *testing.T) {
	for _, m := range mutations {
		readSource(t, m)
	}
}

func TestMutationsAreDetected(t *testing.T) {
	if !*mutate {
		t.Skip("run with -mutate")
	}
	workDir := t.TempDir()
	out, err := exec.Command("cp", "-r", repositoryRoot+"/.", workDir).CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, m := range mutations {
		t.Run(m.safeguard, func(t *testing.T) {
			original := readSource(t, m)
			file := filepath.Join(workDir, m.file)
			assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(original, m.old, m.new, 1)), 0o600))
			defer func() { assert.NilError(t, os.WriteFile(file, []byte(original), 0o600)) }()
			cmd := exec.Command("go", "test", "./"+m.pkg, "-count", "1", "-timeout", "120s", "-run", m.tests)
			cmd.Dir = workDir
			output, err := cmd.CombinedOutput()
			if err == nil {
				t.Fatalf("no test detected the mutation:\n%s", output)
			}
			if strings.Contains(string(output), "[build failed]") || strings.Contains(string(output), "setup failed") {
				t.Fatalf("the mutated source does not build:\n%s", output)
			}
		})
	}
}
