package gateway

import (
	"context"
	"io"
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
	"masticbank.example/node/exchange"
)

const (
	// noConfigRetry is told to callers that come before the configuration is known;
	// it is read within this time after a start.
	noConfigRetry = 300 * time.Millisecond
	// noReplicaRetry is told when a service has no usable replica; the list of
	// replicas is read again within this time.
	noReplicaRetry = 700 * time.Millisecond
	// openPatience is how long a request waits for the configuration and the replicas to be
	// read after a start, and openShare the largest part of its caller's time that it takes.
	// Both are read within some 200 ms.
	openPatience = 700 * time.Millisecond
	openShare    = 0.25
	// drainingRetry is told by an instance that stops; another one serves at once.
	drainingRetry = 50 * time.Millisecond
	// defaultDeadline is used for callers that state none.
	defaultDeadline = 30 * time.Second
	// answerMargin is kept back from the caller's deadline so that the last answer
	// still reaches it.
	answerMargin = 30 * time.Millisecond
	// maxAnswerBytes bounds a plain answer, which is held in memory until it is
	// complete, and leastAnswerBytes is room for one.
	maxAnswerBytes   = 16 << 20
	leastAnswerBytes = maxAnswerBytes + 1<<20
)

// Options configures a Gateway.
type Options struct {
	Codec   Codec
	Control ReplicaControl
	Client  *exchange.Client
	Logger  *zap.Logger
	Metrics *Metrics
	// AnswerBytes bounds the memory for plain answers of more than some kilobytes, all
	// together; at least leastAnswerBytes.
	AnswerBytes int64
	// Zone is where this instance is.
	Zone string
	// Retries bounds the repeats for all instances together.
	Retries RetryBound
	// OnSilent, if set, is called with a replica that gives no sign of life.
	OnSilent func(replica string)
	// OnRejected, if set, is called with a replica that rejected a request though it has
	// room, for the count-th time in a row.
	OnRejected func(replica string, count int)
	// OnLeaving, if set, is called with a process of a replica that said in an answer
	// that it leaves; more than once if it answers more than once.
	OnLeaving func(roster.Process)
	// OnEvidence, if set, is called with evidence on requests that crash replicas, for
	// the other instances. recurring holds the crashes of requests that have crashed
	// more than one, which have to outlast this process.
	OnEvidence func(news poison.State, recurring []poison.Crash)
}

// RetryBound is the bound on repeats of one service for all instances: ratio
// times its requests plus slack, in each window.
type RetryBound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Gateway is an http.Handler. It is safe for concurrent use.
type Gateway struct {
	opts  Options
	log   *zap.Logger
	table atomic.Pointer[routing.Table]
	// drainAfter is a Unix time in nanoseconds, 0 while the process stays.
	drainAfter atomic.Int64
	// started is the time from which observed counts. observed is when reports of all
	// replicas were last read here or told by another instance, since then.
	started  time.Time
	observed atomic.Int64
	// opened is closed once by open when configuration and replicas are known.
	open   sync.Once
	opened chan struct{}

	mu      sync.Mutex
	models  map[string]*modelPool
	plains  map[string]*plainPool
	budgets map[string]*retry.Budget
	crashes *crashGuard
	// memory bounds the large answers that are held at the same time.
	memory *bounded.Memory
	// instances is the number of entry instances that share the retry budget, 0 while
	// it is not known.
	instances int
}

// New returns a gateway that knows no configuration and no replicas.
func New(o Options) *Gateway {
	return &Gateway{
		opts:    o,
		log:     o.Logger,
		models:  map[string]*modelPool{},
		plains:  map[string]*plainPool{},
		budgets: map[string]*retry.Budget{},
		memory:  bounded.NewMemory(max(o.AnswerBytes, leastAnswerBytes)),
		crashes: newCrashGuard(o.Client, o.Metrics, o.Logger),
		started: time.Now(),
		opened:  make(chan struct{}),
	}
}

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *routing.Table { return g.table.Load() }

// call is one request on its way.
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
	// deadline is when the caller or the route ends the request.
	deadline time.Time
	// late is what ends it: "caller" or "route".
	late    string
	version int64
	sends   int
	replica string
	// fingerprint identifies what the caller asks for, also in its next attempts.
	fingerprint poison.Fingerprint
	// runs counts the runs that were lost.
	runs uint32
	// hold is the memory that the answer takes.
	hold *bounded.Hold
	// denied is why the last retry was not made, or "".
	denied string
}

// left is the time that a replica may take.
func (c *call) left(now time.Time) time.Duration { return c.deadline.Sub(now) }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Request: g.opts.Codec.Request(r.Header), http: r, writer: w, arrival: time.Now(), hold: g.memory.Hold()}
	defer c.hold.Release()
	g.opts.Metrics.Began()
	defer g.opts.Metrics.Ended()
	g.awaitOpen(c)
	if !g.admit(c) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		g.refuse(c, http.StatusBadRequest, "body", 0)
		return
	}
	if limit := g.table.Load().Limits().BodyBytes; limit > 0 && len(body) > limit {
		g.refuse(c, http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return
	}
	c.body = body
	c.fingerprint = fingerprintOf(c)
	if g.refuseBlocked(c) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.service.Model != nil {
		if g.draining() {
			g.refuse(c, http.StatusServiceUnavailable, "stopping", drainingRetry)
			return
		}
		g.serveModel(ctx, c)
		return
	}
	g.servePlain(ctx, c)
}

// Open tells that the configuration and the replicas are known.
func (g *Gateway) Open() { g.open.Do(func() { close(g.opened) }) }

// awaitOpen lets a request that comes just after the start wait until the router can tell
// where it goes: callers whose connections broke with the process before come back at once,
// and not all of them a second time.
func (g *Gateway) awaitOpen(c *call) {
	select {
	case <-g.opened:
		return
	default:
	}
	wait := openPatience - time.Since(g.started)
	if c.Deadline > 0 {
		wait = min(wait, time.Duration(float64(c.Deadline)*openShare))
	}
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-g.opened:
	case <-t.C:
	case <-c.http.Context().Done():
	}
}

// admit finds the route, the workspace and the service of a request, or answers
// it.
func (g *Gateway) admit(c *call) bool {
	table := g.table.Load()
	if table == nil {
		g.refuse(c, http.StatusServiceUnavailable, "no_configuration", noConfigRetry)
		return false
	}
	c.version = table.Version()
	host, path := hostAndPath(c.http)
	c.route = table.Route(host, path)
	if c.route == nil {
		g.refuse(c, http.StatusNotFound, "no_route", 0)
		return false
	}
	c.rank = c.route.Priority
	if table.NeedsKeys() && !c.route.Public {
		ws := table.Workspace(c.Key)
		if ws == nil {
			g.refuse(c, http.StatusUnauthorized, "unknown_key", 0)
			return false
		}
		c.workspace = ws.Name
		if ws.Priority != nil {
			c.rank = *ws.Priority
		}
	}
	c.service = table.Service(c.route.Pick(rand.Float64()))
	if c.service == nil {
		g.refuse(c, http.StatusServiceUnavailable, "no_service", noReplicaRetry)
		return false
	}
	c.setDeadline()
	return true
}

// setDeadline takes the earlier of the caller's deadline and the route's timeout.
func (c *call) setDeadline() {
	wait := c.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	c.deadline, c.late = c.arrival.Add(wait-min(answerMargin, wait/4)), "caller"
	if t := c.route.Timeout; t > 0 && c.arrival.Add(t).Before(c.deadline) {
		c.deadline, c.late = c.arrival.Add(t), "route"
	}
}

// hostAndPath returns what the route is chosen by. A target in absolute form
// names the host itself.
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

// refuse sends an answer of the router's own. The statuses 408, 421, 429 and 503
// state that the request did not run.
func (g *Gateway) refuse(c *call, status int, why string, retryAfter time.Duration, more ...zap.Field) {
	h := c.writer.Header()
	for k, v := range g.opts.Codec.Refusal(c.ID, retryAfter) {
		h[k] = v
	}
	c.writer.WriteHeader(status)
	g.finish(c, status, why, append(more, zap.Duration("retry_after", retryAfter))...)
}

// refuseBlocked answers a request that crashes replicas, and tells whether it did.
func (g *Gateway) refuseBlocked(c *call) bool {
	r := g.crashes.admit(c)
	if r == nil {
		return false
	}
	g.refuse(c, http.StatusServiceUnavailable, outcomeBlocked, r.RetryAfter, crashField(r.Crashes))
	return true
}

// outcomeBlocked is the outcome of requests that are refused because copies of them
// crashed replicas.
const outcomeBlocked = "crashes_replicas"

// finish writes the line about the end of a request and counts it.
func (g *Gateway) finish(c *call, status int, why string, more ...zap.Field) {
	took := time.Since(c.arrival)
	g.opts.Metrics.Done(c.workspace, c.rank, status, why, took)
	fields := []zap.Field{
		zap.String("request", c.ID),
		zap.Int("status", status),
		zap.String("outcome", why),
		zap.Duration("took", took),
		zap.Int64("config", c.version),
		zap.String("workspace", c.workspace),
		zap.Int("rank", c.rank),
		zap.Int("sends", c.sends),
		zap.String("replica", c.replica),
		zap.Stringer("fingerprint", c.fingerprint),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name))
	}
	g.log.Info("request ended", append(fields, more...)...)
}

// request builds the message for a replica.
func (g *Gateway) request(c *call, s Send, fresh bool) *exchange.Request {
	s.Deadline = c.left(time.Now())
	s.Workspace = c.workspace
	host := c.http.Header.Get("Host")
	if host == "" {
		host = c.http.Host
	}
	return &exchange.Request{
		Method: c.http.Method,
		Target: c.http.RequestURI,
		Host:   host,
		Header: g.opts.Codec.Forward(c.http.Header, s),
		Body:   c.body,
		Fresh:  fresh,
	}
}
