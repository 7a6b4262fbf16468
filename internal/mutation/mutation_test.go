// Package mutation removes each safeguard of the decisions in turn and expects
// a test to notice. Without the flag it only checks that the list still fits
// the code.
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

var mutate = flag.Bool("mutate", false, "apply each mutation and run the tests that must notice it")

// mutation is one safeguard and the text that takes it out.
type mutation struct {
	safeguard string
	file      string
	old, new  string
	// pkg holds the tests that must notice; tests narrows them.
	pkg, tests string
}

const root = "../.."

var mutations = []mutation{
	{"an empty disk does not answer for its former self", "core/consensus/step.go", "if m.To != r.id {", "if false {", "core/consensus", "EmptyDisk"},
	{"voters that hear the leader do not follow a newer term", "core/consensus/step.go", "if m.Hint != forcedCampaign && r.leader != 0 && r.electionElapsed < r.electionTicks {", "if false {", "core/consensus", "ReturningReplica"},
	{"a leader without a majority steps down", "core/consensus/election.go", "if !r.quorumActive() {", "if false {", "core/consensus", "IsolatedLeader"},
	{"a new leader answers no read before its first commit", "core/consensus/raft.go", "if term, _ := r.log.term(r.log.committed); term != r.term {", "if false {", "core/consensus", "NewLeaderAnswers"},
	{"a learner catches up before it votes", "core/consensus/members.go", "if p == nil || !p.active || p.match+CatchUpSlack < r.log.lastIndex() || p.match == 0 {", "if p == nil {", "core/consensus", "LearnerMust"},
	{"one change of members at a time", "core/consensus/members.go", "if r.configIndex > r.log.committed {", "if false {", "core/consensus", "OneChange"},
	{"a delayed snapshot keeps acknowledged entries", "core/consensus/step.go", "if term, ok := r.log.term(s.Index); ok && term == s.Term {", "if false {", "core/consensus", "DelayedSnapshot"},
	{"an older term's entry is not counted as committed", "core/consensus/step.go", "if term, ok := r.log.term(index); !ok || term != r.term || index <= r.log.committed {", "if index <= r.log.committed {", "core/consensus", "OlderTerm"},
	{"entries held already stay", "core/consensus/step.go", "if term, ok := r.log.term(e.Index); ok && term == e.Term {\n\t\t\tcontinue", "if false {\n\t\t\tcontinue", "core/consensus", "Explore"},
	{"only an up-to-date log is voted for", "core/consensus/step.go", "upToDate := r.log.upToDate(m.Index, m.LogTerm)", "upToDate := true", "core/consensus", "Explore"},
	{"one vote a term", "core/consensus/step.go", "canVote := r.vote == 0 && r.leader == 0", "canVote := true", "core/consensus", "Explore"},
	{"a vote is synced before it is sent", "core/consensus/ready.go", "rd.MustSync = len(rd.Entries) > 0 || rd.Snapshot != nil || hard.Term != r.saved.Term || hard.Vote != r.saved.Vote", "rd.MustSync = len(rd.Entries) > 0", "core/consensus", "ReadyOrders"},
	{"reads are confirmed by a majority", "core/consensus/step.go", "r.progress[id].round >= first.round", "true", "core/consensus", "Explore"},
	{"a leader counts only its synced entries", "core/consensus/ready.go", "r.progress[r.id].match = r.log.stable", "r.progress[r.id].match = r.log.lastIndex()", "core/consensus", "OnlyItsSynced"},

	{"a revoked attempt is fenced", "core/gate/gate.go", "case g.history.fenced(now, r.ID):", "case false:", "core/gate", "Revoke"},
	{"a gate does not vouch for what it forgot", "core/gate/fence.go", "return !h.anyForgotten || h.forgottenUpTo < now-sentAgo-revokeTransitSlack", "return true", "core/gate", "Forgotten"},
	{"an attempt known here is not run again", "core/gate/gate.go", "if _, ran := g.history.finished[r.ID]; ran {", "if false {", "core/gate", "SameAttempt"},
	{"a noisy caller makes room", "core/gate/admit.go", "if !it.rank.before(last.rank) && longest.length < evictionShareFactor*(last.lengthOf(it.Caller)+1) {", "if true {", "core/gate", "Noisy"},
	{"a drain refuses what waits", "core/gate/server.go", "g.refuseAll(now, reason)", "", "core/gate", "Drain"},
	{"a drain takes nothing new", "core/gate/gate.go", "case g.draining:\n\t\treturn Draining", "case false:\n\t\treturn Draining", "core/gate", "Drain"},
	{"an older report changes nothing", "core/gate/siblings.go", "if sib == nil || sib.known && !r.Newer(sib.report) {", "if sib == nil {", "core/gate", "OlderReport"},
	{"a request moves a limited number of times", "core/gate/moves.go", "if !g.config.Siblings || !it.Movable {", "if !g.config.Siblings {", "core/gate", "MovedStays"},
	{"nothing moves to a closed sibling", "core/gate/moves.go", "if !sib.fresh(now) || !sib.report.Load.acceptsRequests() {", "if !sib.fresh(now) {", "core/gate", "FasterSibling"},
	{"a failing server is moved away from", "core/gate/moves.go", "forced := g.closedReason() != 0 || g.failing(now) && !g.outlier.allowTrial(now)", "forced := false", "core/gate", "FailFast"},
	{"a request waits rather than start on a server that is slow at the moment", "core/gate/start.go", "if g.shouldHold(now, it) {\n\t\treturn false", "if false {\n\t\treturn false", "core/gate", "WaitsRatherThan"},
	{"a slowness that lasts is not taken to be nearly over", "core/gate/persistent.go", "return max(1, minimum)", "return 1", "core/gate", "PersistentSlowdownIsNot"},
	{"an announced cold start is believed at once", "core/gate/slowdown.go", "return s.persistentSlowdown.minimumSeen()", "return s.persistentSlowdown.minimum()", "core/gate", "AnnouncedCold"},
	{"a crowd is measured against what ran outside one", "core/gate/demand.go", "if occupancy == lowOccupancy {", "if true {", "core/gate", "FullServer"},
	{"an evacuated gate starts nothing", "core/gate/gate.go", "case g.evacuated:\n\t\treturn Evacuated", "case false:\n\t\treturn Evacuated", "core/gate", "EvacuatedGate"},
	{"a body that comes after an evacuation is not sent", "core/gate/start.go", "if g.evacuated {", "if false {", "core/gate", "BodyThatComesAfter"},
	{"late requests get no starts of a cold server", "core/gate/admit.go", "if g.startsLimited(now) {", "if false {", "core/gate", "LateRequestsGetNoStarts"},
	{"a new process leaves room for the one before", "core/gate/cold.go", "g.cold.recordStart(now, g.config.ColdStarts)", "", "core/gate", "LeavesRoom"},
	{"renewals tell of coldness", "internal/node/announce.go", "if a.Cold {", "if a.Cold && fresh {", "internal/node", "RenewalThatSays"},
	{"a node without a configuration spares a cold server", "internal/node/server.go", "ColdRequestsPerSecond: slots}", "}", "internal/node", "SparedWhile"},
	{"no pick in an evacuated data centre", "core/balancer/balancer.go", "if !c.Evacuated && test(now, c)", "if test(now, c)", "core/balancer", "EvacuatedCandidates"},
	{"servers are taken for cold after an evacuation", "core/gate/server.go", "if g.evacuated && !evacuated && g.config.ColdStarts > 0 {", "if false {", "core/gate", "AfterAnEvacuation"},
	{"an evacuation takes no number of a text's", "core/estate/state.go", "if doc.Revision <= current {", "if doc.Revision < nextRevision {", "core/estate", "EvacuationDoesNotConsume"},
	{"a cold server gets no more than it bears", "core/gate/slots.go", "if g.startsLimited(now) {", "if false {", "core/gate", "ColdServerGets"},
	{"starts before a server turned cold count", "core/gate/start.go", "g.cold.recordStart(now, g.config.ColdStarts)", "if g.isCold(now) {\n\t\tg.cold.recordStart(now, g.config.ColdStarts)\n\t}", "core/gate", "BeforeTheServerTurnedCold"},
	{"late news of coldness does not shorten it", "core/gate/cold.go", "max(g.cold.until, now+left)", "now + left", "core/gate", "DelayedColdReport"},
	{"a cold server is not crowded to find out", "core/gate/contention.go", "!(g.speed.isCold() && !g.speed.contention.known())", "true", "core/gate", "ColdServer"},
	{"a restart forgets the failures of the earlier start", "core/gate/server.go", "g.outlier = outlier{}", "", "core/gate", "RestartForgets"},
	{"a request that is given up has no implied success", "internal/front/response.go", "if w.status == 0 && w.c.ctx.Err() != nil {", "if false {", "internal/front", "HalfClosed"},
	{"an overloaded process refuses requests", "internal/proxy/handler.go", "if !h.options.Overload.Admit(coreoverload.FromCaller, target.rank()) {", "if false {", "internal/e2e", "ThrottledNode"},
	{"requests of disconnected callers are not served", "internal/proxy/handler.go", "if r.Context().Err() != nil {", "if false {", "internal/proxy", "DisconnectedCaller"},
	{"an overload is detected although some timers fire on time", "core/overload/detector.go", "d.delayIntegral += delay.Seconds() * delay.Seconds() / 2", "d.delayIntegral = 0", "core/overload", "Detector"},
	{"the refused share grows with the backlog", "core/overload/shedder.go", "s.integral+proportional", "s.integral+0*proportional", "core/overload", "OverloadedProcess"},
	{"within a priority, requests with longer aims are refused first", "core/overload/shedder.go", "return cmp.Or(cmp.Compare(r.Priority, other.Priority), cmp.Compare(r.Aim, other.Aim))", "return cmp.Compare(r.Priority, other.Priority)", "core/overload", "RefusedLast"},
	{"the GC percentage is raised during an overload", "internal/overload/gc.go", "g.normal = debug.SetGCPercent(raisedGCPercent)", "g.normal = debug.SetGCPercent(30)", "internal/overload", "HeapGrows"},
	{"a request that ended three servers is kept away", "core/quarantine/evaluate.go", "l.quarantinedUntil[k] = until", "_ = until", "internal/e2e", "RequestThatEndsServers"},
	{"what is answered all the time is cleared of ends", "core/quarantine/ledger.go", "if at, ok := l.recentCompletions.last(k); ok && crashedAt <= at+completionWindow {", "if false {\n\t\tat := crashedAt", "core/quarantine", "PopularRequest"},
	{"a later answer clears", "core/quarantine/ledger.go", "if l.crashCounts[k] > 0 && l.applyCompletion(k, now) {", "if false {", "core/quarantine", "LaterAnswer"},
	{"company is not blamed", "core/quarantine/evaluate.go", "unattributed = unattributed || !l.attributedToOther(e, k)", "unattributed = true", "core/quarantine", "BesideTheCause"},
	{"others like it are blamed only if it varies", "core/quarantine/evaluate.go", "isAlike && len(slices.Compact(exact)) < 2", "isAlike && len(exact) == 0", "core/quarantine", "VaryingRequest"},
	{"a sender that suspects without need is put right", "core/quarantine/gossip.go", "\tout = append(out, g.sendNews(now, from, correction)...)\n", "\t_ = correction\n", "core/quarantine", "IsCorrected"},
	{"what was lost is made up for by comparing", "core/quarantine/gossip.go", "if m.Compare && m.Digest != g.Ledger.Digest() {", "if false {", "core/quarantine", "AllNodesLearn"},
	{"a server that only breaks off connections has not ended", "internal/endpoint/ended.go", "if pool == nil || pool.Reachable() {", "if pool == nil {", "internal/endpoint", "SeesItsServerEnd"},
	{"a planned end is no wonder", "internal/endpoint/ended.go", "\tif t.planned {\n", "\tif false {\n", "internal/endpoint", "SeesItsServerEnd"},
	{"a streamed body is looked at where one ended a server", "internal/endpoint/ended.go", "if !r.content.Known() && e.options.Quarantine.Suspected(quarantine.PathOf(r.target)) {", "if false {", "internal/e2e", "RequestThatEndsServers"},
	{"control remembers for the nodes", "internal/replica/serve.go", "Messages: c.r.quarantine.Answer(req.Msg.Messages)}", "}", "internal/e2e", "KeptAwayAfterAll"},
	{"what a replica knows outlasts its process", "internal/quarantine/store.go", "if err := k.save(folder); err != nil {", "if err := error(nil); err != nil {", "internal/e2e", "KeptAwayAfterAll"},
	{"by a clock that was set back ends are not younger", "internal/quarantine/store.go", "since := max(0, time.Now().UnixMilli()-stored.StoredUnixMs)", "since := time.Now().UnixMilli() - stored.StoredUnixMs", "internal/quarantine", "LoadAfterClockChange"},
	{"what was read ahead is sent", "internal/hop/upload.go", "b.replaceSource(io.MultiReader(parts...))", "b.replaceSource(b.source)", "internal/hop", "ReadAhead"},
	{"a near endpoint is asked again soon", "core/balancer/balancer.go", "recentlyFullDuration = 100 * time.Millisecond", "recentlyFullDuration = time.Second", "core/balancer", "AvoidedBriefly"},
	{"only the sender of the exchange that has a body reads it", "internal/hop/upload.go", "if b.owner != owner {", "if false {", "internal/hop", "BeginsLate|OneSender"},
	{"the second attempt's body has no hole", "internal/hop/upload.go", "if b.owner != owner {", "if false {", "internal/e2e", "SecondAttemptSendsTheWholeBody"},
	{"an exchange ends after its sender", "internal/hop/upload.go", "\t<-s.done\n\tlogs", "\tlogs", "internal/hop", "ClosedSource"},
	{"a sender that waits for its caller is woken", "internal/hop/upload.go", "if !b.reading {", "if true {", "internal/hop", "EndsAfterItsSender"},
	{"what a sender took after its exchange goes to nobody", "internal/hop/upload.go", "\tif b.owner != r.owner {", "\tif false {", "internal/hop", "LateReadIsDropped"},
	{"a body of which a part was read is not sent again", "internal/proxy/call.go", "return c.out.Stream == nil || c.out.Stream.Whole()", "return true", "internal/proxy", "PartlyRead"},
	{"a body that breaks off is broken, whatever the answer did", "internal/hop/exchange.go", " || x.conn.failed.Load()", "", "internal/hop", "BodyFailureAfterResponseHead"},
	{"a caller is not asked for its body inside the answer", "internal/front/body.go", "if !b.expectsContinue || b.w.started {", "if !b.expectsContinue {", "internal/front", "InsideTheAnswer"},
	{"the answer holds no question for the body, end to end", "internal/front/response.go", "\tw.started = true\n", "\tw.started = w.body == nil\n", "internal/e2e", "AnswerHoldsNoQuestion"},
	{"a caller is not asked for a body that was stopped", "internal/front/body.go", "\tcase <-b.stopped:\n\t\treturn os.ErrDeadlineExceeded\n", "", "internal/front", "StoppedBody"},
	{"an exchange whose body is not out gives its connection up", "internal/hop/exchange.go", "if !reusable || bodyUnsent || extraBytes", "if !reusable || bodyUnsent && false || extraBytes", "internal/hop", "BlockedInWrite"},
	{"an answer is read though its server closed under the sender", "internal/hop/upload.go", "if s.sourceFailed || errors.Is(s.err, io.ErrUnexpectedEOF) {", "if s.err != nil {", "internal/hop", "ResponseIsReadAfterServerCloses"},
	{"a sender whose source is closed is waited for", "internal/hop/upload.go", "err := s.out.Stream.removeOwner(s); errors.Is(err, errors.ErrUnsupported) {", "err := s.out.Stream.removeOwner(s); err != nil {", "internal/hop", "ClosedSource"},
	{"a caller is asked ahead of the answer's head", "internal/proxy/call.go", "\t\tc.w.WriteHeader(http.StatusContinue)\n", "", "internal/proxy", "AnswersAsItReads"},
	{"a caller's node is asked ahead of the answer's head", "internal/endpoint/serve.go", "\t\tinterim.sendContinue()\n\t}\n\tinterim.end()", "\t}\n\tinterim.end()", "internal/endpoint", "AnswersAsItReads"},
	{"a body that is stopped late does not stop the next request", "internal/front/body.go", "\tif b.ended {\n\t\treturn nil\n\t}\n", "", "internal/front", "LateStop"},
	{"a caller that still sends gets the whole of its answer", "internal/front/conn.go", "\t\tc.lingerClose()\n\t\treturn false\n\t}\n\treturn !w.mustClose", "\t\treturn false\n\t}\n\treturn !w.mustClose", "internal/front", "StillSends"},
	{"a node that still sends gets the whole of its answer", "internal/endpoint/serve.go", "\t\tdefer linger(w)\n", "", "internal/endpoint", "StillSends"},
	{"hints and the question for a body go out one at a time", "internal/endpoint/serve.go", "\tb.interim.sendContinue()\n", "", "internal/endpoint", "Hints"},
	{"a connection between nodes ends with a body that is not read on", "internal/endpoint/serve.go", "if out.Stream != nil && !out.Stream.Ended() {", "if false {", "internal/e2e", "UnreadBodyThatNobodyAskedFor"},
	{"an older configuration does not take the place of a newer one", "internal/node/server.go", "func (n *Node) apply() {\n\tn.applyMu.Lock()\n\tdefer n.applyMu.Unlock()\n", "func (n *Node) apply() {\n", "internal/node", "NotReplacedByAnOlder"},
	{"a node is soon back at the control replicas", "internal/node/watch.go", "maxWatchBackoff = 400 * time.Millisecond", "maxWatchBackoff = 2 * time.Second", "internal/node", "SoonBack"},
	{"what an earlier start said changes nothing", "internal/node/announce.go", "return a.StartedAt > 0 && a.StartedAt < s.startedAt && s.address == a.Address", "return false", "internal/node", "StartsAgain|HeldUp"},
	{"a new start begins its sequence anew", "internal/node/announce.go", "if a.StartedAt > 0 && s.startedAt > 0 && a.StartedAt != s.startedAt {", "if false {", "internal/node", "StartsAgain"},
	{"a gate does not speak for the one before it", "internal/node/server.go", "if n.hadServer {", "if false {", "internal/node", "LaterGate"},
	{"exchanges with an earlier start end", "internal/endpoint/backend.go", "\tcancelPrevious()\n", "\t_ = cancelPrevious\n", "internal/endpoint", "RestartEnds"},
	{"an unknown state names no server", "platform/instances.go", "case *b.State != stateReady && *b.State != stateDraining:", "case false:", "platform", "AnotherWriter"},
	{"a service that is not in the estate is not served", "internal/node/announce.go", "if !n.serviceConfigured(a.Service) {", "if false {", "internal/node", "UnknownService"},
	{"a slot goes to a request that is likely to make its aim", "core/gate/aims.go", "needs := g.workMargin(now) * ", "needs := ", "core/gate", "LikelyToMakeIt"},
	{"a gate learns whether requests keep their pace", "core/gate/slowdown.go", "s.speedModel.compare(atStart, following, stats.value)", "", "core/gate", "LearnsWhether"},
	{"nothing starts in a slow time that is soon over", "core/gate/admit.go", "return g.shouldHoldFixedSpeed(now, it)", "return false", "core/gate", "NothingStarts"},
	{"a request without time to wait starts", "core/gate/wait.go", "return inTime(g.speed.timeAfterSlowPeriod(demand)) || !inTime(time.Duration(demand*g.speed.factor))", "return inTime(0) || true", "core/gate", "WithoutTimeToWait"},
	{"a sibling is judged by the request's own work", "core/gate/moves.go", "if it == nil || l.Slowdown == 0 || !g.speed.known {", "if true {", "core/gate", "ShortCallMoves"},
	{"work that began at an unknown pace is not counted", "core/gate/slowdown.go", "return atStart, it.startSpeed.isCertain()", "return atStart, true", "core/gate", "UncertainStartSpeed"},
	{"what began as its server turned slow is hinted", "core/gate/speedmodel.go", "it.startSpeed.next, it.startSpeed.confirmed = factor, true", "it.startSpeed.confirmed = true", "core/gate", "BeganAsTheServer"},
	{"a server is asked before a request starts", "internal/endpoint/endpoint.go", "e.refreshLoad(ctx)\n\thandle, event", "handle, event", "internal/endpoint", "AskedBefore"},
	{"a server that does not tell holds up nobody twice", "internal/endpoint/watch.go", "e.loadOverdue.Store(true)", "", "internal/endpoint", "HoldsUpNobody"},
	{"a server error does not win while the other attempt runs", "internal/proxy/hedge.go", "case isServerError(r.resp) && other.ended != nil:", "case false:", "internal/proxy", "ServerErrorDoesNot"},
	{"a request whose body came is decided on anew", "core/gate/start.go", "if g.closedReason() == 0 && (g.shouldHold(now, it) || g.startsLimited(now) && g.coldStartsLeft(now) == 0) {", "if false {", "core/gate", "BodyArrived"},
	{"a server that turned slow is reported at once", "core/gate/report.go", "case load.urgentChangeFrom(s.reported):", "case false:", "core/gate", "TurningSlow"},
	{"near siblings come first", "core/gate/siblings.go", "s.list = slices.Concat(near, far)", "s.list = slices.Concat(far, near)[:min(minKnownSiblings, len(far)+len(near))]", "core/gate", "NearFirst"},
	{"running requests count in the estimate", "core/gate/estimate.go", "e.busy = e.busy*decay + elapsed*float64(e.running)", "e.busy = e.busy * decay", "core/gate", "Stall"},

	{"what may have run is not sent again", "core/retry/retry.go", "if !r.Idempotent {\n\t\t\treturn GiveUpUnknown", "if false {\n\t\t\treturn GiveUpUnknown", "core/retry", ""},
	{"an earlier lost attempt makes the outcome unknown", "core/retry/retry.go", "r.mayHaveRun = true", "", "core/retry", ""},
	{"retries have a budget", "core/retry/retry.go", "if b.perMille == 0 || b.earned+b.slack < minBalance {", "if false {", "core/retry", ""},
	{"what reached nobody costs no budget", "core/retry/retry.go", " && ended != Unreached", "", "core/retry", "Unreached"},
	{"a near endpoint without room is not preferred", "core/balancer/nearby/nearby.go", " && !c.RecentlyFull(now)", "", "core/balancer/nearby", "FullNear"},
	{"moves are limited", "core/retry/retry.go", "if r.moves > maxMoves {", "if false {", "core/retry", ""},
	{"the measuring budget holds in every span", "core/measure/budget.go", "now-b.ring[b.first].at >= window", "now-b.ring[b.first].at >= window/2", "core/measure", ""},
	{"an endpoint is picked although all seem unfit", "core/balancer/balancer.go", "c = p.pickAmong(now, tried, fallback)", "_ = fallback", "core/balancer", "AllUnusable"},
	{"a refused request is not sent to a leaving endpoint", "core/balancer/balancer.go", "\t\t\tfallback = notDraining\n", "\t\t\tfallback = anyCandidate\n", "core/balancer", "DrainingEndpoint"},

	{"an older delta is left out", "core/rollout/records.go", "delta.Revision < r.revision || ", "", "core/rollout", "NeverMoves"},
	{"an older or partial record is left out", "core/rollout/records.go", "if current == nil || current.ChangedAt < s.ChangedAt {", "if true {", "core/rollout", "LatePartial"},
	{"a newly needed service comes whole", "core/rollout/records.go", "if s := r.services[name]; s != nil && s.ChangedAt <= since {", "if s := r.services[name]; s != nil && false {", "core/rollout", "NewlyNeeded"},
	{"a resent change gets its first answer", "core/estate/state.go", "if first := s.byID[change.Id]; first != nil && !s.reevaluates(change, first) {", "if first := s.byID[change.Id]; false {", "core/estate", "Resent"},
	{"equal base revisions admit one", "core/estate/state.go", "if change.BaseRevision != current {", "if false {", "core/estate", "EqualBase"},

	{"failed beats serving of the same claim", "core/directory/table.go", "return a.State == failed && b.State != failed", "return false && a.State == failed", "core/directory", ""},
	{"a frozen relay forgives its own silence", "core/directory/detect.go", "r.compensateStall(gap)", "_ = gap", "core/directory", "WakingRelay"},
	{"an isolated relay marks nobody", "core/directory/detect.go", "if silence >= confirmAfter && now-r.lastContact < suspectAfter {", "if silence >= confirmAfter {", "core/directory", "IsolatedRelay"},
	{"a suspect is probed from another place", "core/directory/detect.go", "if helper := r.helper(host); helper != \"\" {", "if helper := \"\"; helper != \"\" {", "core/directory", "CutBetween"},
	{"a relay that knows nothing is not ready", "core/directory/relay.go", "if p.info.DataCenter == r.self.DataCenter && p.cursor == nil {", "if p.info.DataCenter == r.self.DataCenter && p.cursor == nil && false {", "core/directory", "SiblingAnswers"},
	{"other data centres' entries are not passed on between data centres", "core/directory/exchange.go", "return sibling || e.DataCenter == r.self.DataCenter }", "return sibling || true }", "core/directory", "OnlyItsOwn"},

	{"a changed byte is damage", "internal/wal/record.go", "if binary.LittleEndian.Uint64(header[8:]) != xxhash.Sum64(body) {", "if false {", "internal/wal", "Flipped"},
	{"a torn tail is told from damage", "internal/wal/record.go", "if len(data) < headerSize+length {\n\t\treturn 0, nil, 0, errTorn", "if len(data) < headerSize+length {\n\t\treturn 0, nil, 0, errors.New(\"short\")", "internal/wal", "Torn"},
	{"entries that do not continue the snapshot are dropped", "internal/wal/wal.go", "if s == nil || r.base.GetIndex() == s.Index && r.base.GetTerm() == s.Term {", "if true {", "internal/wal", "CrashBetween"},
	{"the log has one write that no sync covers", "internal/wal/wal.go", "if !sync {\n\t\tl.flushed = len(l.buffer)\n\t\treturn nil\n\t}", "", "internal/wal", "LostWrite"},
	{"a failed write takes back no earlier record", "internal/wal/wal.go", "l.buffer = l.buffer[:l.flushed]", "l.buffer = l.buffer[:0]", "internal/wal", "RepairKeeps"},
	{"the body of a moved request is not sent", "internal/proxy/call.go", "out.AskFirst()", "_ = out", "internal/proxy", "MovedBody"},
	{"a body is whole before the backend server sees it", "internal/endpoint/forward.go", "if out.Stream == nil || out.Length <= 0 || out.Length > maxBuffered {", "if true {", "internal/endpoint", "BodyThatBreaksOff"},
	{"a cursor of an earlier process hides nothing", "internal/replica/presence.go", "if cursor.GetProcess() == p.process {", "if true {", "internal/replica", "EarlierProcess"},
	{"a waiting node hears of each change once", "internal/replica/presence.go", "return c.version > after && ", "return ", "internal/replica", "EachChangeOnce"},
	{"an incomplete group accepts no changes", "internal/replica/group.go", "return voters > g.voters() || voters == g.voters() && s.ConfigCommitted", "return voters > 0", "internal/replica", "CompleteGroup"},
	{"a leader checks that its group is complete before it proposes a change", "internal/replica/propose.go", "if s.Role == consensus.Leader && !r.options.Group.complete(s) {", "if false && s.Role == consensus.Leader {", "internal/replica", "LeaderOfIncompleteGroup"},
	{"a renewed certificate is taken in", "internal/transport/transport.go", "if !info.ModTime().After(s.modified) {", "if true {", "internal/transport", "RenewedCertificates"},
	{"a folder has one process", "internal/wal/wal.go", "return ErrLocked", "", "internal/wal", "Locked"},
	{"a connection with bytes waiting is not used again", "internal/hop/conn.go", "if time.Since(c.idleSince) < p.maxIdleTime && c.isHealthy() {", "if time.Since(c.idleSince) < p.maxIdleTime {", "internal/hop", "SecondResponse|ClosedIdle"},
	{"a streamed body waits to be asked for", "internal/hop/exchange.go", "return x.readHead(out)\n}", "if out.Stream != nil {\n\t\tx.sendBody(out)\n\t}\n\treturn x.readHead(out)\n}", "internal/hop", "RefusedStream"},
	{"a refused request is not moved any more", "internal/proxy/call.go", "return c.rules.Movable() && len(c.tried) == 0", "return c.rules.Movable()", "internal/proxy", "NotMovedBack"},
	{"an endpoint that moved a request has not refused it", "internal/proxy/call.go", "if r.ended != retry.Moved && r.ended != retry.Restarted {", "if true {", "internal/proxy", "MovedAbout"},
	{"an answer's id is checked", "internal/proxy/call.go", "if err == nil && reply.ID != a.id {", "if false {", "internal/proxy", "ForeignAnswer"},
	{"a planned stop costs no retry budget", "core/retry/retry.go", "ended != Leaving && ended != Unreached", "ended != Unreached", "core/retry", "PlannedStop"},
	{"a service that was not answered is asked for again", "core/directory/view.go", "if cursor == nil {\n\t\treturn false", "if cursor == nil && false {\n\t\treturn false", "core/directory", "NotAnswered"},
	{"a relay that was ready stays ready", "core/directory/relay.go", "r.ready = r.ready || ", "r.ready = ", "core/directory", "StaysReady"},
	{"a retry goes to a proven endpoint", "core/balancer/balancer.go", "c = p.pickAmong(now, tried, reliable)", "c = p.pickAmong(now, tried, usable)", "core/balancer", "ReliableEndpoint"},
	{"callers cannot forge our headers", "internal/hop/relay.go", "delete(h, Header)\n\tdelete(h, \"Expect\")", "delete(h, \"Expect\")", "internal/hop", "CleanRequest"},
}

func source(t *testing.T, m mutation) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, m.file))
	assert.NilError(t, err)
	if n := strings.Count(string(text), m.old); n != 1 {
		t.Errorf("%s: the text of %q stands %d times, not once", m.file, m.safeguard, n)
	}
	return string(text)
}

func TestListFitsTheCode(t *testing.T) {
	for _, m := range mutations {
		source(t, m)
	}
}

func TestEachSafeguardIsNoticed(t *testing.T) {
	if !*mutate {
		t.Skip("run with -mutate")
	}
	copied := t.TempDir()
	out, err := exec.Command("cp", "-r", root+"/.", copied).CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, m := range mutations {
		t.Run(m.safeguard, func(t *testing.T) {
			whole := source(t, m)
			file := filepath.Join(copied, m.file)
			assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(whole, m.old, m.new, 1)), 0o600))
			defer func() { assert.NilError(t, os.WriteFile(file, []byte(whole), 0o600)) }()
			cmd := exec.Command("go", "test", "./"+m.pkg, "-count", "1", "-timeout", "120s", "-run", m.tests)
			cmd.Dir = copied
			text, err := cmd.CombinedOutput()
			if err == nil {
				t.Fatalf("no test noticed:\n%s", text)
			}
			if strings.Contains(string(text), "[build failed]") || strings.Contains(string(text), "setup failed") {
				t.Fatalf("does not build:\n%s", text)
			}
		})
	}
}
