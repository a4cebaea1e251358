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

func newSimulation(t *rapid.T) *simulation {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "schedule"), 0))
	s := &simulation{rng: rng, now: time.UnixMilli(1_000_000), names: keys}
	for range instances {
		s.instances = append(s.instances, s.newInstance(t))
	}
	for i := range keys {
		dated := s.rng.IntN(2) == 0
		s.keys = append(s.keys, &key{name: strconv.Itoa(i), dated: dated})
	}
	return s
}

func (s *simulation) newInstance(t *rapid.T) *instance {
	skew := time.Duration(s.rng.Int64N(2*int64(maxClockSkew))) - maxClockSkew
	return &instance{table: order.NewTable(policy), skew: skew}
}

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

func (s *simulation) time(i *instance) time.Time { return s.now.Add(i.skew) }

func (s *simulation) read(i *instance, limit int) {
	if s.logUnavailable {
		i.table.SetUnavailable(true)
		return
	}
	from := max(int(i.table.Next()), s.first)
	b := record.Batch{First: uint64(s.first)}
	for o := from; o < len(s.log) && o < from+limit; o++ {
		b.Entries = append(b.Entries, record.Entry{Offset: uint64(o), Data: s.log[o].data})
	}
	b.Next = uint64(from + len(b.Entries))
	i.table.Apply(s.time(i), b)
}

func (s *simulation) truncate() {
	for s.first < len(s.log) && s.now.Sub(s.log[s.first].at) > policy.Retention {
		s.first++
	}
}

// send makes the client's first call with a key, or a repeat that abandons the previous
// call.
func (s *simulation) send(t *rapid.T, k *key) *call {
	if k.calls == 0 {
		k.createdAt = s.now
	}
	s.serial++
	k.calls++
	i := pick(s.rng, s.instances)
	c := order.Call{
		Workspace: "w", Service: "s", Key: k.name, Fingerprint: "f",
		FirstUse: k.calls == 1,
		Deadline: s.time(i).Add(callTimeout),
	}
	if k.dated {
		c.Date = k.createdAt
	}
	claim := record.ID(fmt.Sprint("claim", s.serial))
	sent := &call{key: k, instance: i, attempt: order.NewAttempt(i.table, c, claim, "i"), serial: s.serial}
	sent.effects = sent.attempt.Begin(s.time(i))
	k.waiting = sent
	s.calls = append(s.calls, sent)
	return sent
}

// run performs the next effect of c. A Wait effect continues with Wake.
func (s *simulation) run(t *rapid.T, c *call) {
	next := c.effects[0]
	switch e := next.(type) {
	case order.AppendClaim:
		c.claimed = s.now
		s.inFlight = append(s.inFlight, e.Record)
		c.effects = c.effects[1:]
	case order.Append:
		s.inFlight = append(s.inFlight, e.Record)
		c.effects = c.effects[1:]
	case order.Wait:
		c.effects = c.attempt.Step(s.time(c.instance), order.Wake)
	case order.Confirm:
		c.effects = c.attempt.Step(s.time(c.instance), order.ConfirmSend)
		if _, ok := c.effects[0].(order.Send); ok {
			require.Less(t, s.now.Sub(c.claimed), policy.DispatchWindow, "sent after the dispatch window")
		}
	case order.Send:
		c.effects = c.attempt.HandleResponse(s.serve(t, c))
	case order.Reply:
		s.handleReply(t, c, e.Result)
		c.effects = nil
	}
}

func (s *simulation) serve(t *rapid.T, c *call) order.Response {
	outcome := pick(s.rng, []string{"ran", "ran", "lost response", "lost call", "refused"})
	if outcome == "refused" {
		return order.Response{Status: 503, Execution: execution.NotRun}
	}
	if outcome == "lost call" {
		return order.Response{Execution: execution.Unknown}
	}
	c.key.recorded++
	c.key.body = fmt.Sprint("response", c.serial)
	require.Equal(t, 1, c.key.recorded, "key %s recorded twice", c.key.name)
	require.Greater(t, c.serial, c.key.notRun, "key %s recorded after not_run", c.key.name)
	if outcome == "lost response" {
		return order.Response{Execution: execution.Unknown}
	}
	return order.Response{Status: 200, Body: []byte(c.key.body), Execution: execution.Ran}
}

func (s *simulation) handleReply(t *rapid.T, c *call, r order.Result) {
	k := c.key
	if k.waiting != c {
		return
	}
	k.waiting = nil
	switch r.Execution {
	case execution.NotRun:
		require.Zero(t, k.recorded, "not_run returned for recorded key %s: %s", k.name, r.Reason)
		k.notRun = s.serial
	case execution.Ran:
		require.Equal(t, 1, k.recorded)
		require.Equal(t, k.body, string(r.Response.Body))
	case execution.Unknown:
	}
}

func (s *simulation) removeCall(c *call) {
	for i, other := range s.calls {
		if other == c {
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			return
		}
	}
}

func (s *simulation) crash(t *rapid.T) {
	i := s.rng.IntN(len(s.instances))
	for _, c := range append([]*call(nil), s.calls...) {
		if c.instance == s.instances[i] {
			s.removeCall(c)
		}
	}
	s.instances[i] = s.newInstance(t)
}

func (s *simulation) deliver(t *rapid.T) {
	i := s.rng.IntN(len(s.inFlight))
	r := s.inFlight[i]
	data, err := record.Encode(r)
	require.NoError(t, err)
	s.log = append(s.log, logRecord{at: s.now, data: data})
	repeated := s.rng.IntN(4) == 0
	if !repeated {
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	}
}

func (s *simulation) step(t *rapid.T) {
	if len(s.calls) == 0 {
		return
	}
	c := pick(s.rng, s.calls)
	for range 1 + s.rng.IntN(3) {
		if len(c.effects) > 0 {
			s.run(t, c)
		}
	}
	if len(c.effects) == 0 {
		s.removeCall(c)
	}
}

// act performs one random action. Numbers whose condition does not hold change nothing.
func (s *simulation) act(t *rapid.T) {
	switch n := s.rng.IntN(40); {
	case n < 14:
		s.step(t)
	case n < 20 && len(s.inFlight) > 0 && !s.logUnavailable:
		s.deliver(t)
	case n < 28:
		s.read(pick(s.rng, s.instances), 1+s.rng.IntN(8))
	case n < 31:
		s.repeat(t)
	case n < 35:
		s.now = s.now.Add(time.Duration(pick(s.rng, []int{1, 1, 5, 5, 10, 20, 60, 200})) * time.Millisecond)
	case n == 35 && s.rng.IntN(3) == 0:
		s.now = s.now.Add(policy.Retention + policy.AcceptanceWindow*time.Duration(s.rng.IntN(2)))
	case n == 36:
		s.logUnavailable = !s.logUnavailable && s.rng.IntN(6) == 0
	case n == 37:
		s.truncate()
	case n == 38 && s.rng.IntN(4) == 0:
		s.crash(t)
	case n == 39:
		s.clientGone(t)
	}
}

// repeat sends a key again or replaces it by a new one.
func (s *simulation) repeat(t *rapid.T) {
	i := s.rng.IntN(len(s.keys))
	k := s.keys[i]
	promised := k.dated || k.calls == 0 || s.now.Sub(k.createdAt) <= policy.AcceptanceWindow
	replaced := s.now.Sub(k.createdAt) > policy.AcceptanceWindow && s.rng.IntN(3) == 0
	if promised && (k.calls == 0 || !replaced) {
		s.send(t, k)
		return
	}
	s.names++
	s.keys[i] = &key{name: strconv.Itoa(s.names), dated: s.rng.IntN(2) == 0}
}

func (s *simulation) clientGone(t *rapid.T) {
	c := pick(s.rng, s.keys).waiting
	if c == nil {
		return
	}
	if effects := c.attempt.Step(s.time(c.instance), order.ClientGone); len(effects) > 0 {
		c.effects = effects
	}
}

// With crashes, pauses at any step, lost responses, outages, discarded records and repeats
// through other instances, no order is recorded twice, none with the result not_run is
// recorded, and a recorded response is replayed.
func TestOrdersAreRecordedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range maxSteps {
			s.act(t)
		}
		s.settle(t)
	})
}

// settle completes all attempts and repeats each key whose outcome is in the log.
func (s *simulation) settle(t *rapid.T) {
	s.logUnavailable = false
	for len(s.calls) > 0 {
		s.now = s.now.Add(policy.DispatchWindow)
		s.step(t)
		for _, i := range s.instances {
			s.read(i, len(s.log))
		}
	}
	ended := map[string]bool{}
	for _, stored := range s.log[s.first:] {
		r, err := record.Decode(stored.data)
		require.NoError(t, err)
		if r.Outcome != nil && r.Outcome.Known {
			ended[r.Outcome.Key.Key] = true
		}
	}
	for _, i := range s.instances {
		s.read(i, len(s.log))
	}
	for _, k := range s.keys {
		tooOld := s.now.Sub(k.createdAt) > policy.AcceptanceWindow-policy.ClockSkew
		if !ended[k.name] || tooOld {
			continue
		}
		c := s.send(t, k)
		reply, ok := c.effects[0].(order.Reply)
		require.True(t, ok)
		require.True(t, reply.Result.Replayed)
		s.handleReply(t, c, reply.Result)
	}
}
