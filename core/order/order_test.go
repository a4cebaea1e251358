package order_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/execution"
	"masticbank.example/core/order"
	"masticbank.example/core/record"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "400")
}

const (
	instances    = 3
	keys         = 2
	maxSteps     = 600
	callTimeout  = 120 * time.Millisecond
	maxClockSkew = 10 * time.Millisecond
)

var policy = order.Policy{
	AcceptanceWindow: 700 * time.Millisecond,
	Retention:        1000 * time.Millisecond,
	DispatchWindow:   60 * time.Millisecond,
	ClockSkew:        4 * maxClockSkew,
	Grace:            50 * time.Millisecond,
}

type logRecord struct {
	at   time.Time
	data []byte
}

type instance struct {
	table *order.Table
	skew  time.Duration
}

// call is one attempt with the effects that its instance has not performed yet.
type call struct {
	key      *key
	instance *instance
	attempt  *order.Attempt
	effects  []order.Effect
	claimed  time.Time
	serial   int
}

// key is one order and its client, which repeats it after abandoning the previous call.
type key struct {
	name      string
	createdAt time.Time
	dated     bool
	waiting   *call
	calls     int
	recorded  int
	body      string
	// notRun is the serial number at the last NotRun result that the client received.
	notRun int
}

type simulation struct {
	rng            *rand.Rand
	now            time.Time
	log            []logRecord
	first          int
	logUnavailable bool
	inFlight       []record.Record
	instances      []*instance
	calls          []*call
	keys           []*key
	serial         int
	names          int
}

func newWorld(t *rapid.T) *simulation {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "schedule"), 0))
	w := &simulation{rng: rng, now: time.UnixMilli(1_000_000), names: keys}
	for range instances {
		w.instances = append(w.instances, w.newInstance(t))
	}
	for i := range keys {
		dated := w.rng.IntN(2) == 0
		w.keys = append(w.keys, &key{name: strconv.Itoa(i), dated: dated})
	}
	return w
}

func (w *simulation) newInstance(t *rapid.T) *instance {
	skew := time.Duration(w.rng.Int64N(2*int64(maxClockSkew))) - maxClockSkew
	return &instance{table: order.NewTable(policy), skew: skew}
}

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

func (w *simulation) time(i *instance) time.Time { return w.now.Add(i.skew) }

func (w *simulation) read(i *instance, limit int) {
	if w.logUnavailable {
		i.table.SetUnavailable(true)
		return
	}
	from := max(int(i.table.Next()), w.first)
	b := record.Batch{First: uint64(w.first)}
	for o := from; o < len(w.log) && o < from+limit; o++ {
		b.Entries = append(b.Entries, record.Entry{Offset: uint64(o), Data: w.log[o].data})
	}
	b.Next = uint64(from + len(b.Entries))
	i.table.Apply(w.time(i), b)
}

func (w *simulation) truncate() {
	for w.first < len(w.log) && w.now.Sub(w.log[w.first].at) > policy.Retention {
		w.first++
	}
}

// send makes the client's first call with a key, or a repeat that abandons the previous
// call.
func (w *simulation) send(t *rapid.T, k *key) *call {
	if k.calls == 0 {
		k.createdAt = w.now
	}
	w.serial++
	k.calls++
	i := pick(w.rng, w.instances)
	c := order.Call{
		Workspace: "w", Service: "s", Key: k.name, Fingerprint: "f",
		FirstUse: k.calls == 1,
		Deadline: w.time(i).Add(callTimeout),
	}
	if k.dated {
		c.Date = k.createdAt
	}
	claim := record.ID(fmt.Sprint("claim", w.serial))
	sent := &call{key: k, instance: i, attempt: order.NewAttempt(i.table, c, claim, "i"), serial: w.serial}
	sent.effects = sent.attempt.Begin(w.time(i))
	k.waiting = sent
	w.calls = append(w.calls, sent)
	return sent
}

// run performs the next effect of c. A Wait effect continues with Wake.
func (w *simulation) run(t *rapid.T, c *call) {
	next := c.effects[0]
	switch e := next.(type) {
	case order.AppendClaim:
		c.claimed = w.now
		w.inFlight = append(w.inFlight, e.Record)
		c.effects = c.effects[1:]
	case order.Append:
		w.inFlight = append(w.inFlight, e.Record)
		c.effects = c.effects[1:]
	case order.Wait:
		c.effects = c.attempt.Step(w.time(c.instance), order.Wake)
	case order.Confirm:
		c.effects = c.attempt.Step(w.time(c.instance), order.ConfirmSend)
		if _, ok := c.effects[0].(order.Send); ok {
			require.Less(t, w.now.Sub(c.claimed), policy.DispatchWindow, "sent after the dispatch window")
		}
	case order.Send:
		c.effects = c.attempt.HandleResponse(w.serve(t, c))
	case order.Reply:
		w.handleReply(t, c, e.Result)
		c.effects = nil
	}
}

func (w *simulation) serve(t *rapid.T, c *call) order.Response {
	outcome := pick(w.rng, []string{"ran", "ran", "lost answer", "lost call", "refused"})
	if outcome == "refused" {
		return order.Response{Status: 503, Execution: execution.NotRun}
	}
	if outcome == "lost call" {
		return order.Response{Execution: execution.Unknown}
	}
	c.key.recorded++
	c.key.body = fmt.Sprint("answer", c.serial)
	require.Equal(t, 1, c.key.recorded, "key %s recorded twice", c.key.name)
	require.Greater(t, c.serial, c.key.notRun, "key %s recorded after not_run", c.key.name)
	if outcome == "lost answer" {
		return order.Response{Execution: execution.Unknown}
	}
	return order.Response{Status: 200, Body: []byte(c.key.body), Execution: execution.Ran}
}

func (w *simulation) handleReply(t *rapid.T, c *call, r order.Result) {
	k := c.key
	if k.waiting != c {
		return
	}
	k.waiting = nil
	switch r.Execution {
	case execution.NotRun:
		require.Zero(t, k.recorded, "not_run returned for recorded key %s: %s", k.name, r.Reason)
		k.notRun = w.serial
	case execution.Ran:
		require.Equal(t, 1, k.recorded)
		require.Equal(t, k.body, string(r.Response.Body))
	case execution.Unknown:
	}
}

func (w *simulation) removeCall(c *call) {
	for i, other := range w.calls {
		if other == c {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			return
		}
	}
}

func (w *simulation) crash(t *rapid.T) {
	i := w.rng.IntN(len(w.instances))
	for _, c := range append([]*call(nil), w.calls...) {
		if c.instance == w.instances[i] {
			w.removeCall(c)
		}
	}
	w.instances[i] = w.newInstance(t)
}

func (w *simulation) deliver(t *rapid.T) {
	i := w.rng.IntN(len(w.inFlight))
	r := w.inFlight[i]
	data, err := record.Encode(r)
	require.NoError(t, err)
	w.log = append(w.log, logRecord{at: w.now, data: data})
	repeated := w.rng.IntN(4) == 0
	if !repeated {
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	}
}

func (w *simulation) step(t *rapid.T) {
	if len(w.calls) == 0 {
		return
	}
	c := pick(w.rng, w.calls)
	for range 1 + w.rng.IntN(3) {
		if len(c.effects) > 0 {
			w.run(t, c)
		}
	}
	if len(c.effects) == 0 {
		w.removeCall(c)
	}
}

// act performs one random action. Numbers whose condition does not hold change nothing.
func (w *simulation) act(t *rapid.T) {
	switch n := w.rng.IntN(40); {
	case n < 14:
		w.step(t)
	case n < 20 && len(w.inFlight) > 0 && !w.logUnavailable:
		w.deliver(t)
	case n < 28:
		w.read(pick(w.rng, w.instances), 1+w.rng.IntN(8))
	case n < 31:
		w.repeat(t)
	case n < 35:
		w.now = w.now.Add(time.Duration(pick(w.rng, []int{1, 1, 5, 5, 10, 20, 60, 200})) * time.Millisecond)
	case n == 35 && w.rng.IntN(3) == 0:
		w.now = w.now.Add(policy.Retention + policy.AcceptanceWindow*time.Duration(w.rng.IntN(2)))
	case n == 36:
		w.logUnavailable = !w.logUnavailable && w.rng.IntN(6) == 0
	case n == 37:
		w.truncate()
	case n == 38 && w.rng.IntN(4) == 0:
		w.crash(t)
	case n == 39:
		w.clientGone(t)
	}
}

// repeat sends a key again or replaces it by a new one.
func (w *simulation) repeat(t *rapid.T) {
	i := w.rng.IntN(len(w.keys))
	k := w.keys[i]
	promised := k.dated || k.calls == 0 || w.now.Sub(k.createdAt) <= policy.AcceptanceWindow
	replaced := w.now.Sub(k.createdAt) > policy.AcceptanceWindow && w.rng.IntN(3) == 0
	if promised && (k.calls == 0 || !replaced) {
		w.send(t, k)
		return
	}
	w.names++
	w.keys[i] = &key{name: strconv.Itoa(w.names), dated: w.rng.IntN(2) == 0}
}

func (w *simulation) clientGone(t *rapid.T) {
	c := pick(w.rng, w.keys).waiting
	if c == nil {
		return
	}
	if effects := c.attempt.Step(w.time(c.instance), order.ClientGone); len(effects) > 0 {
		c.effects = effects
	}
}

// With crashes, pauses at any step, lost responses, outages, discarded records and repeats
// through other instances, no order is recorded twice, none with the result not_run is
// recorded, and a recorded response is replayed.
func TestOrdersAreRecordedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range maxSteps {
			w.act(t)
		}
		w.settle(t)
	})
}

// settle completes all attempts and repeats each key whose outcome is in the log.
func (w *simulation) settle(t *rapid.T) {
	w.logUnavailable = false
	for len(w.calls) > 0 {
		w.now = w.now.Add(policy.DispatchWindow)
		w.step(t)
		for _, i := range w.instances {
			w.read(i, len(w.log))
		}
	}
	ended := map[string]bool{}
	for _, s := range w.log[w.first:] {
		r, err := record.Decode(s.data)
		require.NoError(t, err)
		if r.Outcome != nil && r.Outcome.Known {
			ended[r.Outcome.Key.Key] = true
		}
	}
	for _, i := range w.instances {
		w.read(i, len(w.log))
	}
	for _, k := range w.keys {
		tooOld := w.now.Sub(k.createdAt) > policy.AcceptanceWindow-policy.ClockSkew
		if !ended[k.name] || tooOld {
			continue
		}
		c := w.send(t, k)
		reply, ok := c.effects[0].(order.Reply)
		require.True(t, ok)
		require.True(t, reply.Result.Replayed)
		w.handleReply(t, c, reply.Result)
	}
}
