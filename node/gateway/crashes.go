package gateway

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"masticbank.example/core/poison"
	"masticbank.example/node/exchange"
)

const (
	// secondAttemptDelay is the time between two connection attempts that must both be refused
	// before a replica counts as ended. A replica that is only full responds to other
	// requests in between.
	secondAttemptDelay = 200 * time.Millisecond
	// checkInterval is the minimum time between two checks of a replica.
	checkInterval = time.Second
	// maxChecks limits the checks that run at the same time, and maxQueuedChecks those that
	// wait. Without a check, the end of a replica is detected only from its listed entry.
	maxChecks       = 16
	maxQueuedChecks = 256
)

// Evidence that a replica's process ended, as logged.
const (
	endRefused   = "refuses connections"
	endRestarted = "restarted"
	endRemoved   = "no longer listed"
)

// crashGuard prevents requests that crash replicas from being run again and again. It is
// safe for concurrent use.
type crashGuard struct {
	log     *zap.Logger
	client  *exchange.Client
	metrics *Metrics

	mu     sync.Mutex
	ledger *poison.Ledger
	// checkedAt is when each replica process was last checked.
	checkedAt map[poison.Process]time.Time
	// blocked is the number of blocked fingerprints when that was last counted.
	blocked int

	queue chan check
	// recorded receives a value when crashes were recorded that are not published yet.
	recorded chan struct{}
	// activeChecks counts the checks in progress; while it is 0, responses are not
	// recorded in lastResponse.
	activeChecks atomic.Int32
	// lastResponse maps replica IDs to the time.Time of the last response.
	lastResponse sync.Map
}

// check is a replica whose connections are to be checked, as a run that was sent to it at sentAt, while
// the process was listed, was lost.
type check struct {
	poison.Process
	address string
	sentAt  time.Time
}

func newCrashGuard(client *exchange.Client, metrics *Metrics, log *zap.Logger) *crashGuard {
	return &crashGuard{
		log:       log,
		client:    client,
		metrics:   metrics,
		ledger:    poison.NewLedger(poison.Retention),
		checkedAt: map[poison.Process]time.Time{},
		queue:     make(chan check, maxQueuedChecks),
		recorded:  make(chan struct{}, 1),
	}
}

// fingerprintOf identifies the content of a request. Requests of different clients never
// have the same fingerprint; on routes without API keys, clients are distinguished by IP
// address.
func fingerprintOf(c *call) poison.Fingerprint {
	client := "workspace " + c.workspace
	if c.workspace == "" {
		host, _, err := net.SplitHostPort(c.http.RemoteAddr)
		if err != nil {
			host = c.http.RemoteAddr
		}
		client = "address " + host
	}
	return poison.FingerprintOf(client, string(c.body), c.http.Method, c.http.Host, c.http.RequestURI)
}

// partFingerprintsOf identifies the parts of the request's prompt that other requests may share.
func partFingerprintsOf(c *call) []poison.Fingerprint {
	var out []poison.Fingerprint
	for _, id := range c.SharedParts {
		out = append(out, poison.FingerprintOfPart(c.service.Name, id))
	}
	return out
}

// admit returns the refusal of a blocked request, or nil.
func (k *crashGuard) admit(c *call) *poison.Refusal {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Admit(time.Now(), c.fingerprint, attemptOf(c), c.partFingerprints...)
}

// mayRetry reports whether a request whose run was lost may run again.
func (k *crashGuard) mayRetry(c *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.MayRetry(c.fingerprint, attemptOf(c), c.partFingerprints...)
}

// incidents returns the number of independent crashes that are known of a request.
func (k *crashGuard) incidents(c *call) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Incidents(c.fingerprint)
}

// attemptOf returns the hash that identifies the client's attempt.
func attemptOf(c *call) uint64 { return xxhash.Sum64String(c.ID) }

// recordLostRun records a run without a complete response. processes are those that it ran
// on, without those that have shut down since.
func (k *crashGuard) recordLostRun(c *call, processes []poison.Process, sentAt time.Time, progressed bool) {
	if len(processes) == 0 {
		return
	}
	run := poison.LostRun{
		Fingerprint: c.fingerprint,
		Parts:       c.partFingerprints,
		Run:         poison.Run{Attempt: attemptOf(c), Number: c.lostRuns},
		Processes:   processes,
		Progressed:  progressed,
		SentAt:      sentAt,
	}
	c.lostRuns++
	k.log.Info("run lost", zap.String("request", c.ID), zap.Stringer("fingerprint", c.fingerprint), zap.Uint64("attempt", run.Run.Attempt),
		zap.Uint32("run", run.Run.Number), zap.Strings("parts", processNames(processes)), zap.Bool("progressed", progressed), zap.Duration("after", time.Since(sentAt)),
		zap.Strings("shared_parts", c.SharedParts))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.logCrashes(k.ledger.RecordLostRun(time.Now(), run), "had already ended")
}

// processNames returns the replica IDs with the start times of the processes.
func processNames(processes []poison.Process) []string {
	out := make([]string, 0, len(processes))
	for _, p := range processes {
		out = append(out, p.Replica+"@"+strconv.FormatInt(p.StartTime, 10))
	}
	return out
}

// recordEnd records that a replica process ended.
func (k *crashGuard) recordEnd(r poison.Process, evidence string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if evidence == endRemoved {
		k.logCrashes(k.ledger.RecordRemoval(time.Now(), r), evidence)
		return
	}
	k.logCrashes(k.ledger.RecordEnd(time.Now(), r), evidence)
}

// recordRestart records that a replica process ended and a later one, which started at nextStart, is
// listed.
func (k *crashGuard) recordRestart(r poison.Process, nextStart int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.logCrashes(k.ledger.RecordRestart(time.Now(), r, nextStart), endRestarted)
}

// logCrashes logs each crash, and each request that is blocked because of it, and has them published.
// The lock is held.
func (k *crashGuard) logCrashes(crashes []poison.Crash, evidence string) {
	if len(crashes) > 0 {
		select {
		case k.recorded <- struct{}{}:
		default:
		}
	}
	for _, c := range crashes {
		k.metrics.CountCrash()
		k.log.Info("replica ended while running a request", zap.Stringer("fingerprint", c.Fingerprint), zap.String("replica", c.Process.Replica),
			zap.Int64("born", c.Process.StartTime), zap.String("sign", evidence), zap.Bool("progressed", c.Progressed),
			zap.Uint64("attempt", c.Run.Attempt), zap.Uint32("run", c.Run.Number),
			zap.Int("incidents", k.ledger.Incidents(c.Fingerprint)))
		if k.ledger.IsBlocked(c.Fingerprint) {
			k.log.Warn("request is blocked", zap.Stringer("fingerprint", c.Fingerprint), zap.Bool("part", c.Fingerprint.IsPart()), crashField(k.ledger.CrashesOf(c.Fingerprint)))
		}
	}
}

// crashField is a log field with the crashed replicas, the start times of their processes,
// and the age of the evidence.
func crashField(crashes []poison.Crash) zap.Field {
	type item struct {
		Replica string `json:"replica"`
		Born    int64  `json:"born"`
		AgeMS   int64  `json:"age_ms"`
		Own     bool   `json:"own"`
	}
	list := make([]item, 0, len(crashes))
	for _, c := range crashes {
		list = append(list, item{c.Process.Replica, c.Process.StartTime, time.Since(c.At).Milliseconds(), c.Local})
	}
	return zap.Any("crashes", list)
}

// recordSuccess records that a request got a complete response.
func (k *crashGuard) recordSuccess(c *call) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.RecordSuccess(time.Now(), c.fingerprint, c.partFingerprints...) {
		k.log.Info("crash evidence of a request cleared after a success", zap.String("request", c.ID),
			zap.Stringer("fingerprint", c.fingerprint), zap.Strings("shared_parts", c.SharedParts))
	}
}

// recordProgress records that the response to a request goes on after its beginning.
func (k *crashGuard) recordProgress(c *call) {
	if len(c.partFingerprints) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.RecordProgress(time.Now(), c.partFingerprints...) {
		k.log.Info("crash evidence of parts of a prompt cleared after progress", zap.String("request", c.ID), zap.Strings("shared_parts", c.SharedParts))
	}
}

// process returns the process that received a run: the listed one, or a later one if that
// had ended before.
func (k *crashGuard) process(listed poison.Process, sentAt time.Time) poison.Process {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Process(listed, sentAt)
}

// scheduleCheck schedules a check whether the replica that got a run still accepts connections.
func (k *crashGuard) scheduleCheck(listed poison.Process, address string, sentAt time.Time) {
	now := time.Now()
	k.mu.Lock()
	r := k.ledger.Process(listed, sentAt)
	if now.Sub(k.checkedAt[r]) < checkInterval {
		k.mu.Unlock()
		return
	}
	k.checkedAt[r] = now
	k.ledger.BeginCheck(r.Replica)
	k.mu.Unlock()
	select {
	case k.queue <- check{listed, address, sentAt}:
	default:
		k.endCheck(r.Replica)
		k.log.Warn("replica not checked: too many checks are queued", zap.String("replica", r.Replica))
	}
}

func (k *crashGuard) endCheck(replica string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.EndCheck(replica)
}

// markResponsive records that a replica responded.
func (k *crashGuard) markResponsive(replica string) {
	if k.activeChecks.Load() > 0 {
		k.lastResponse.Store(replica, time.Now())
	}
}

// run carries out the scheduled checks until ctx ends.
func (k *crashGuard) run(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxChecks)
	defer func() { _ = g.Wait() }() // the checks return no errors
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-k.queue:
			g.Go(func() error {
				k.runCheck(ctx, c)
				return nil
			})
		}
	}
}

// runCheck records a replica as ended if it refuses two connections and does not respond
// to any request in between. A replica that is full may refuse connections too.
func (k *crashGuard) runCheck(ctx context.Context, c check) {
	k.activeChecks.Add(1)
	defer k.activeChecks.Add(-1)
	defer k.endCheck(c.Replica)
	started := time.Now()
	if !k.client.Refused(ctx, c.address) {
		return
	}
	select {
	case <-time.After(secondAttemptDelay):
	case <-ctx.Done():
		return
	}
	if at, ok := k.lastResponse.Load(c.Replica); ok && at.(time.Time).After(started) {
		return
	}
	if k.client.Refused(ctx, c.address) {
		k.recordRefusals(c)
	}
}

// recordRefusals records the end of the process that the run of a check was sent to. That is known
// better now if the list has shown a later process since.
func (k *crashGuard) recordRefusals(c check) {
	k.recordEnd(k.process(c.Process, c.sentAt), endRefused)
}

// pending returns the evidence that was not published yet. It also returns all known
// crashes of each request in it that has crashed more than one replica.
func (k *crashGuard) pending() (poison.Evidence, []poison.Crash) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delta := k.ledger.DrainUpdates()
	var recurring []poison.Crash
	seen := map[poison.Fingerprint]bool{}
	for _, c := range delta.Crashes {
		if !seen[c.Fingerprint] && k.ledger.Incidents(c.Fingerprint) >= recurringIncidents {
			recurring = append(recurring, k.ledger.CrashesOf(c.Fingerprint)...)
		}
		seen[c.Fingerprint] = true
	}
	return delta, recurring
}

// recurringIncidents is the minimum number of incidents for a request's evidence to be kept
// in the store too. Evidence of a single crash is not: if it is lost, the request crashes
// one more replica.
const recurringIncidents = 2

// merge adds the evidence of another instance. It leaves the blocks to the next request and to expire:
// with many instances hundreds of messages arrive within a second after replicas end.
func (k *crashGuard) merge(evidence poison.Evidence) {
	k.metrics.CountEvidence(evidenceReceived)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.logCrashes(k.ledger.Merge(time.Now(), evidence), "reported by another instance")
}

func (k *crashGuard) state() poison.Evidence {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Evidence()
}

func (k *crashGuard) digest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Digest()
}

// expire removes expired data and counts the blocked fingerprints.
func (k *crashGuard) expire() {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Expire(now)
	if blocked := k.ledger.BlockedCount(); blocked != k.blocked {
		k.log.Info("blocked requests", zap.Int("before", k.blocked), zap.Int("now", blocked))
		k.blocked = blocked
		k.metrics.SetBlocked(blocked)
	}
	for r, at := range k.checkedAt {
		if now.Sub(at) > checkInterval {
			delete(k.checkedAt, r)
		}
	}
	if k.activeChecks.Load() == 0 {
		k.lastResponse.Clear()
	}
}
