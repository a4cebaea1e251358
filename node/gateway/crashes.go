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
	// recheckDelay is the time between two connections that must be refused before a
	// replica is taken to have ended. One that is only full answers others meanwhile.
	recheckDelay = 200 * time.Millisecond
	// checkOnce is how long a replica is not checked again.
	checkOnce = time.Second
	// maxChecks bounds the replicas that are checked at the same time, and queuedChecks
	// those that wait; further ones are judged by their entries alone.
	maxChecks    = 16
	queuedChecks = 256
)

// Signs by which a replica is known to have ended.
const (
	signRefused   = "refuses connections"
	signRestarted = "restarted"
	signRemoved   = "no longer listed"
)

// crashGuard keeps requests that crash replicas from running on and on. It is safe for
// concurrent use.
type crashGuard struct {
	log     *zap.Logger
	client  *exchange.Client
	metrics *Metrics

	mu     sync.Mutex
	ledger *poison.Ledger
	// checked holds when a replica was checked last.
	checked map[poison.Incarnation]time.Time

	checks chan check
	// watching counts the checks under way; while it is 0, signs are not recorded.
	watching atomic.Int32
	signs    sync.Map // replica ID to time.Time
}

// check is a replica to be checked.
type check struct {
	poison.Incarnation
	address string
}

func newCrashGuard(client *exchange.Client, metrics *Metrics, log *zap.Logger) *crashGuard {
	return &crashGuard{
		log:     log,
		client:  client,
		metrics: metrics,
		ledger:  poison.NewLedger(poison.Retention),
		checked: map[poison.Incarnation]time.Time{},
		checks:  make(chan check, queuedChecks),
	}
}

// fingerprintOf identifies what a caller asks for. Requests of different callers never
// have the same one. On routes without keys, callers are told apart by their address.
func fingerprintOf(c *call) poison.Fingerprint {
	caller := "workspace " + c.workspace
	if c.workspace == "" {
		host, _, err := net.SplitHostPort(c.http.RemoteAddr)
		if err != nil {
			host = c.http.RemoteAddr
		}
		caller = "address " + host
	}
	return poison.FingerprintOf(caller, string(c.body), c.http.Method, c.http.Host, c.http.RequestURI)
}

// admit returns why a request must not run, or nil.
func (k *crashGuard) admit(c *call) *poison.Refusal {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Admit(time.Now(), c.fingerprint, attemptOf(c))
}

// mayRetry tells whether an attempt that was lost may run again.
func (k *crashGuard) mayRetry(c *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.MayRetry(c.fingerprint, attemptOf(c))
}

func attemptOf(c *call) uint64 { return xxhash.Sum64String(c.ID) }

// lost takes a run without a whole answer. The replicas that left meanwhile are not
// among its parts.
func (k *crashGuard) lost(c *call, parts []poison.Incarnation, began time.Time, progressed bool) {
	if len(parts) == 0 {
		return
	}
	run := poison.LostRun{
		Fingerprint: c.fingerprint,
		Run:         poison.Run{Attempt: attemptOf(c), Number: c.runs},
		Parts:       parts,
		Progressed:  progressed,
		Began:       began,
	}
	c.runs++
	k.log.Info("run lost", zap.String("request", c.ID), zap.Stringer("fingerprint", c.fingerprint), zap.Uint64("attempt", run.Run.Attempt),
		zap.Uint32("run", run.Run.Number), zap.Strings("parts", namesOf(parts)), zap.Bool("progressed", progressed), zap.Duration("after", time.Since(began)))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.report(k.ledger.Lost(time.Now(), run), "ended before")
}

// namesOf returns the IDs of replicas with their starts.
func namesOf(parts []poison.Incarnation) []string {
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, p.Replica+"@"+strconv.FormatInt(p.Born, 10))
	}
	return out
}

// ended takes a replica whose process ended.
func (k *crashGuard) ended(r poison.Incarnation, sign string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if sign == signRemoved {
		k.report(k.ledger.Removed(time.Now(), r), sign)
		return
	}
	k.report(k.ledger.Ended(time.Now(), r), sign)
}

// report writes a line for each crash, and one for each request that is blocked. The
// caller holds the lock.
func (k *crashGuard) report(crashes []poison.Crash, sign string) {
	for _, c := range crashes {
		k.metrics.Crashed()
		k.log.Info("replica ended under a request", zap.Stringer("fingerprint", c.Fingerprint), zap.String("replica", c.Replica.Replica),
			zap.Int64("born", c.Replica.Born), zap.String("sign", sign), zap.Bool("progressed", c.Progressed),
			zap.Uint64("attempt", c.Run.Attempt), zap.Uint32("run", c.Run.Number),
			zap.Int("incidents", k.ledger.Incidents(c.Fingerprint)))
		if k.ledger.IsBlocked(c.Fingerprint) {
			k.log.Warn("request is blocked", zap.Stringer("fingerprint", c.Fingerprint), crashField(k.ledger.CrashesOf(c.Fingerprint)))
		}
	}
}

// crashField names replicas that ended, with their starts and the age of the sign.
func crashField(crashes []poison.Crash) zap.Field {
	type item struct {
		Replica string `json:"replica"`
		Born    int64  `json:"born"`
		AgeMS   int64  `json:"age_ms"`
		Own     bool   `json:"own"`
	}
	list := make([]item, 0, len(crashes))
	for _, c := range crashes {
		list = append(list, item{c.Replica.Replica, c.Replica.Born, time.Since(c.At).Milliseconds(), c.Own})
	}
	return zap.Any("crashes", list)
}

// succeeded takes a request that was answered whole.
func (k *crashGuard) succeeded(f poison.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.Succeeded(time.Now(), f) {
		k.log.Info("request cleared by a success", zap.Stringer("fingerprint", f))
	}
}

// process returns the process that took a run.
func (k *crashGuard) process(listed poison.Incarnation, began time.Time) poison.Incarnation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Process(listed, began)
}

// check asks for a look whether a replica still takes connections.
func (k *crashGuard) check(r poison.Incarnation, address string) {
	now := time.Now()
	k.mu.Lock()
	if now.Sub(k.checked[r]) < checkOnce {
		k.mu.Unlock()
		return
	}
	k.checked[r] = now
	k.mu.Unlock()
	select {
	case k.checks <- check{r, address}:
	default:
		k.log.Warn("replica not checked, too many wait", zap.String("replica", r.Replica))
	}
}

// sign notes that a replica gave a sign of life.
func (k *crashGuard) sign(replica string) {
	if k.watching.Load() > 0 {
		k.signs.Store(replica, time.Now())
	}
}

// run checks replicas until ctx ends.
func (k *crashGuard) run(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxChecks)
	defer func() { _ = g.Wait() }() // the checks return no errors
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-k.checks:
			g.Go(func() error {
				k.carryOut(ctx, c)
				return nil
			})
		}
	}
}

// carryOut takes a replica for ended that refuses two connections and gives no sign of
// life in between. A replica that is full may refuse connections too.
func (k *crashGuard) carryOut(ctx context.Context, c check) {
	k.watching.Add(1)
	defer k.watching.Add(-1)
	begun := time.Now()
	if !k.client.Refused(ctx, c.address) {
		return
	}
	select {
	case <-time.After(recheckDelay):
	case <-ctx.Done():
		return
	}
	if at, ok := k.signs.Load(c.Replica); ok && at.(time.Time).After(begun) {
		return
	}
	if k.client.Refused(ctx, c.address) {
		k.ended(c.Incarnation, signRefused)
	}
}

// news returns the evidence that was not told yet, and the crashes of its requests that
// have crashed more than one replica.
func (k *crashGuard) news() (poison.State, []poison.Crash) {
	k.mu.Lock()
	defer k.mu.Unlock()
	news := k.ledger.News()
	var recurring []poison.Crash
	seen := map[poison.Fingerprint]bool{}
	for _, c := range news.Crashes {
		if !seen[c.Fingerprint] && k.ledger.Incidents(c.Fingerprint) >= recurringIncidents {
			recurring = append(recurring, k.ledger.CrashesOf(c.Fingerprint)...)
		}
		seen[c.Fingerprint] = true
	}
	return news, recurring
}

// recurringIncidents is the number of incidents from which on evidence is kept in the
// store: with one crash lost, a request crashes one replica more.
const recurringIncidents = 2

func (k *crashGuard) learn(s poison.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.ledger.Blocked()
	k.report(k.ledger.Learn(time.Now(), s), "another instance says")
	if after := k.ledger.Blocked(); after != before {
		k.log.Info("blocked requests", zap.Int("before", before), zap.Int("now", after), zap.String("source", "another instance"),
			zap.Int("crashes", len(s.Crashes)), zap.Int("clears", len(s.Clears)))
	}
}

func (k *crashGuard) state() poison.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.State()
}

func (k *crashGuard) digest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Digest()
}

// tidy drops what is too old.
func (k *crashGuard) tidy() {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Expire(now)
	k.metrics.SetBlocked(k.ledger.Blocked())
	for r, at := range k.checked {
		if now.Sub(at) > checkOnce {
			delete(k.checked, r)
		}
	}
	if k.watching.Load() == 0 {
		k.signs.Clear()
	}
}
