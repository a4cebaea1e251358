package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/poison"
	"masticbank.example/core/retry"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
	"masticbank.example/node/bounded"
	"masticbank.example/node/caller"
	"masticbank.example/node/exchange"
	"masticbank.example/node/httpserver"
)

const (
	// noConfigRetryAfter is the Retry-After for requests that arrive before the configuration
	// is known. After a start it is read within this time.
	noConfigRetryAfter = 300 * time.Millisecond
	// noReplicaRetryAfter is the Retry-After when a service has no usable replica. The list of
	// replicas is read again within this time.
	noReplicaRetryAfter = 700 * time.Millisecond
	// maxStartupWait is how long a request waits after a start for the configuration and the
	// replicas to be read, and maxStartupWaitShare the largest fraction of its client's deadline
	// that the wait may use. Reading both takes about 200 ms.
	maxStartupWait      = 700 * time.Millisecond
	maxStartupWaitShare = 0.25
	// drainingRetryAfter is the Retry-After of an instance that shuts down. It is short
	// because other instances accept requests.
	drainingRetryAfter = 50 * time.Millisecond
	// defaultDeadline applies to clients that send no deadline.
	defaultDeadline = 30 * time.Second
	// responseMargin is subtracted from the client's deadline so that the final response
	// still arrives in time.
	responseMargin = 30 * time.Millisecond
	// maxResponseBytes limits a plain response, which is buffered until it is complete.
	// minResponseMemory is enough memory for one.
	maxResponseBytes  = 16 << 20
	minResponseMemory = maxResponseBytes + 1<<20
)

// Options configures a Gateway.
type Options struct {
	Codec   Codec
	Control ReplicaControl
	Client  *exchange.Client
	Logger  *zap.Logger
	Metrics *Metrics
	// ResponseBytes limits the total memory for buffered plain responses of more than a few
	// kilobytes; at least minResponseMemory.
	ResponseBytes int64
	// Zone is the availability zone of this instance.
	Zone string
	// Retries limits the retries of all instances together.
	Retries retry.Limit
	// FirstStart is true if the whole system starts for the first time, so that no earlier
	// process has spent retries.
	FirstStart bool
	// OnUnresponsive, if set, is called with a replica that is unresponsive.
	OnUnresponsive func(replica string)
	// OnRejected, if set, is called with a replica that rejected a request although it has
	// free capacity; count is the number of such rejections in a row.
	OnRejected func(replica string, count int)
	// OnLeaving, if set, is called with a replica process whose response says that it
	// shuts down. It may be called several times for one process.
	OnLeaving func(roster.Process)
	// OnEvidence, if set, is called with new evidence about requests that crash replicas,
	// to be sent to the other instances. recurring holds all crashes of those requests
	// that have crashed more than one replica; they have to be stored beyond the life of
	// this process.
	OnEvidence func(delta poison.Evidence, recurring []poison.Crash)
	// OnRetriesNeeded, if set, asks other instances for retries of a service, which come back
	// through ReceiveRetries. It returns how many instances it asked and must not block.
	OnRetriesNeeded func(service string, ask retry.Ask) int
}

// Gateway is the http.Handler that serves clients. It is safe for concurrent use.
type Gateway struct {
	opts   Options
	log    *zap.Logger
	routes atomic.Pointer[routing.Table]
	// drain is set when the instance shuts down.
	drain atomic.Pointer[drainTimes]
	// stopping ends when the requests in progress must end; endAll ends it.
	stopping context.Context
	endAll   context.CancelFunc
	// listReadAt is the Unix time in nanoseconds at which the list of replicas was last read
	// here or by another instance that told this one; 0 before.
	listReadAt atomic.Int64
	// started is when the gateway was created. observed is the time from then until the
	// reports of all replicas were last read here or received from another instance.
	started  time.Time
	observed atomic.Int64
	// ready is closed, by means of readyOnce, when the configuration and the replicas are known.
	readyOnce sync.Once
	ready     chan struct{}

	mu      sync.Mutex
	models  map[string]*modelPool
	plains  map[string]*plainPool
	budgets map[string]*retry.Budget
	// share is this instance's share of the retry limit.
	share *retry.Share
	// loans holds the borrowing of retries by service.
	loans   map[string]*loanState
	crashes *crashGuard
	// memory limits the large responses that are buffered at the same time.
	memory *bounded.MemoryLimit
	// instances is the number of instances that share the work; 0 while unknown.
	instances int
	// informed is true once the load of most other instances is known.
	informed bool
}

// New returns a Gateway without a configuration and without replicas.
func New(o Options) *Gateway {
	stopping, endAll := context.WithCancel(context.Background())
	return &Gateway{
		stopping: stopping,
		endAll:   endAll,

		opts:    o,
		log:     o.Logger,
		models:  map[string]*modelPool{},
		plains:  map[string]*plainPool{},
		budgets: map[string]*retry.Budget{},
		loans:   map[string]*loanState{},
		share:   retry.NewShare(o.Retries, time.Now(), o.FirstStart),
		memory:  bounded.NewMemoryLimit(max(o.ResponseBytes, minResponseMemory)),
		crashes: newCrashGuard(o.Client, o.Metrics, o.Logger),
		started: time.Now(),
		ready:   make(chan struct{}),
	}
}

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *routing.Table { return g.routes.Load() }

// call is the state of one client request.
type call struct {
	Request
	http      *http.Request
	writer    http.ResponseWriter
	body      []byte
	route     *routing.Route
	service   *routing.Service
	workspace string
	rank      int
	arrival   time.Time
	// handlerWait is the time from arrival, when the request was read, to the start of its
	// handler, lastSend when it was last sent to a replica.
	handlerWait time.Duration
	lastSend    time.Time
	// deadline is the earlier of the client's deadline and the route's timeout.
	deadline time.Time
	// deadlineSource names which of the two applies: "caller" (the client's) or "route".
	deadlineSource string
	// version is that of the configuration by which the request is judged, bodyLimit its limit on the
	// body in bytes, or 0.
	version   int64
	bodyLimit int
	sends     int
	replica   string
	// fingerprint identifies the content of the request; it is the same for later attempts
	// of the client.
	fingerprint poison.Fingerprint
	// partFingerprints identify the parts of the prompt that other requests may share.
	partFingerprints []poison.Fingerprint
	// lostRuns counts the runs of this attempt that were lost.
	lostRuns uint32
	// memory accounts for the memory of the buffered response.
	memory *bounded.Reservation
	// denialReason is why the last retry was denied, or "". retrySpent is when the last one that was
	// not denied was spent.
	denialReason string
	retrySpent   time.Time
}

// remaining returns the time until the deadline.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// ServeHTTP serves one client request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Request: g.opts.Codec.Request(r.Header), http: r, writer: w, arrival: time.Now(), memory: g.memory.NewReservation()}
	defer c.memory.Release()
	if at, ok := httpserver.ReadAt(r.Context()); ok {
		c.arrival, c.handlerWait = at, c.arrival.Sub(at)
	}
	g.opts.Metrics.RequestStarted()
	defer g.opts.Metrics.RequestEnded()
	g.awaitReady(c)
	if caller.Check(r.Context()) != nil {
		g.logEnd(c, statusClientClosed, "caller_left")
		return
	}
	if !g.admit(c) {
		return
	}
	body, err := readBody(r)
	if err != nil {
		g.sendRefusal(c, http.StatusBadRequest, "body", 0)
		return
	}
	if c.bodyLimit > 0 && len(body) > c.bodyLimit {
		g.sendRefusal(c, http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return
	}
	c.body = body
	c.fingerprint, c.partFingerprints = fingerprintOf(c), partFingerprintsOf(c)
	if g.refuseBlocked(c) {
		return
	}
	if g.mayOutliveInstance(c) {
		g.sendRefusal(c, http.StatusServiceUnavailable, outcomeStopping, drainingRetryAfter)
		return
	}
	deadlineCtx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(deadlineCtx)
	defer end(nil)
	defer context.AfterFunc(g.stopping, func() { end(errStopping) })()
	if c.service.Model != nil {
		g.serveModel(ctx, c)
		return
	}
	g.servePlain(ctx, c)
}

// MarkReady signals that the configuration and the replicas are known.
func (g *Gateway) MarkReady() { g.readyOnce.Do(func() { close(g.ready) }) }

// awaitReady delays a request that arrives just after the start until routes and replicas
// are known. Clients whose connections broke with the previous process reconnect
// immediately, and some of them do not retry a second time.
func (g *Gateway) awaitReady(c *call) {
	select {
	case <-g.ready:
		return
	default:
	}
	wait := maxStartupWait - time.Since(g.started)
	if c.Deadline > 0 {
		wait = min(wait, time.Duration(float64(c.Deadline)*maxStartupWaitShare))
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-g.ready:
	case <-t.C:
	case <-c.http.Context().Done():
	}
}

// admit finds the route, the workspace and the service of a request. If one is missing, it
// sends the error response and returns false.
func (g *Gateway) admit(c *call) bool {
	table := g.routes.Load()
	if table == nil {
		g.sendRefusal(c, http.StatusServiceUnavailable, "no_configuration", noConfigRetryAfter)
		return false
	}
	c.version, c.bodyLimit = table.Version(), table.Limits().BodyBytes
	host, path := hostAndPath(c.http)
	c.route = table.Route(host, path)
	if c.route == nil {
		g.sendRefusal(c, http.StatusNotFound, "no_route", 0)
		return false
	}
	c.rank = c.route.Priority
	if table.RequiresAPIKeys() && !c.route.Public {
		ws := table.Workspace(c.Key)
		if ws == nil {
			g.sendRefusal(c, http.StatusUnauthorized, "unknown_key", 0)
			return false
		}
		c.workspace = ws.Name
		if ws.Priority != nil {
			c.rank = *ws.Priority
		}
	}
	c.service = table.Service(c.route.PickService(rand.Float64()))
	if c.service == nil {
		g.sendRefusal(c, http.StatusServiceUnavailable, "no_service", noReplicaRetryAfter)
		return false
	}
	c.setDeadline()
	return true
}

// setDeadline sets the earlier of the client's deadline and the route's timeout.
func (c *call) setDeadline() {
	wait := c.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	c.deadline, c.deadlineSource = c.arrival.Add(wait-min(responseMargin, wait/4)), "caller"
	if t := c.route.Timeout; t > 0 && c.arrival.Add(t).Before(c.deadline) {
		c.deadline, c.deadlineSource = c.arrival.Add(t), "route"
	}
}

// hostAndPath returns the host and path used for routing. A request target in absolute
// form includes the host.
func hostAndPath(r *http.Request) (host, path string) {
	target := r.RequestURI
	host = r.Header.Get("Host")
	if host == "" {
		host = r.Host
	}
	if !strings.HasPrefix(target, "/") {
		if u, err := url.Parse(target); err == nil && u.Host != "" {
			host = u.Host
			target = strings.TrimPrefix(target, u.Scheme+"://"+u.Host)
		}
	}
	path, _, _ = strings.Cut(target, "?")
	return host, path
}

// sendRefusal sends an error response of the router itself. The statuses 408, 421, 429 and
// 503 mean that the request did not run.
func (g *Gateway) sendRefusal(c *call, status int, reason string, retryAfter time.Duration, extra ...zap.Field) {
	h := c.writer.Header()
	for k, v := range g.opts.Codec.RouterError(c.ID, retryAfter) {
		h[k] = v
	}
	c.writer.WriteHeader(status)
	g.logEnd(c, status, reason, append(extra, zap.Duration("retry_after", retryAfter))...)
}

// refuseBlocked refuses a request that is blocked because it crashes replicas, and reports
// whether it did.
func (g *Gateway) refuseBlocked(c *call) bool {
	r := g.crashes.admit(c)
	if r == nil {
		return false
	}
	g.sendRefusal(c, http.StatusServiceUnavailable, outcomeCrashesReplicas, r.RetryAfter, crashField(r.Crashes))
	return true
}

// outcomeCrashesReplicas is the logged outcome of requests that are refused because
// earlier copies of them crashed replicas.
const outcomeCrashesReplicas = "crashes_replicas"

// logEnd logs the end of a request and updates the metrics.
func (g *Gateway) logEnd(c *call, status int, outcome string, extra ...zap.Field) {
	took := time.Since(c.arrival)
	g.opts.Metrics.RecordOutcome(c.workspace, c.rank, status, outcome, took)
	fields := []zap.Field{
		zap.String("request", c.ID),
		zap.Int("status", status),
		zap.String("outcome", outcome),
		zap.Duration("took", took),
		zap.Int64("config", c.version),
		zap.String("workspace", c.workspace),
		zap.Int("rank", c.rank),
		zap.Int("sends", c.sends),
		zap.String("replica", c.replica),
		zap.Stringer("fingerprint", c.fingerprint),
		zap.Duration("handler_wait", c.handlerWait),
	}
	if cause := context.Cause(c.http.Context()); cause != nil {
		fields = append(fields, zap.NamedError("connection_closed", cause))
	}
	if !c.lastSend.IsZero() {
		fields = append(fields, zap.Duration("last_send", c.lastSend.Sub(c.arrival)))
	}
	if len(c.SharedParts) > 0 {
		fields = append(fields, zap.Strings("shared_parts", c.SharedParts))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name))
	}
	g.log.Info("request ended", append(fields, extra...)...)
}
