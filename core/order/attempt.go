package order

import (
	"time"

	"masticbank.example/core/execution"
	"masticbank.example/core/record"
)

// Event is an input of an Attempt.
type Event uint8

const (
	// Wake reports that the key's state may have changed or that time has passed.
	Wake Event = iota
	// ConfirmSend requests the final check of whether the call may be sent.
	ConfirmSend
	// QueueFull reports that the claim could not be queued for appending.
	QueueFull
	// ClientGone reports that the client no longer waits for the result.
	ClientGone
)

// Effect is an action that the user of an Attempt performs. Append effects must be queued
// in order and before any waiting.
type Effect interface{ effect() }

// AppendClaim requests to append a claim. It must not be appended after Until.
type AppendClaim struct {
	Record record.Record
	Until  time.Time
}

// Append requests to append an outcome or a release, without a time limit.
type Append struct{ Record record.Record }

// Wait requests to wait until the key changes or until the time Until, and then to call
// Step with Wake.
type Wait struct{ Until time.Time }

// Confirm requests to call Step with ConfirmSend immediately before the call is sent.
type Confirm struct{}

// Send requests to send the call and to pass the response to the attempt.
type Send struct{}

// Reply returns the result of the attempt and ends it.
type Reply struct{ Result Result }

func (AppendClaim) effect() {}
func (Append) effect()      {}
func (Wait) effect()        {}
func (Confirm) effect()     {}
func (Send) effect()        {}
func (Reply) effect()       {}

type phase uint8

const (
	phaseWaiting phase = iota
	phaseClaiming
	phaseHolding
	phaseSent
	phaseDone
)

// Attempt is the state machine of one call from its arrival to its result. It is not safe
// for concurrent use; the Table must not change during a step.
type Attempt struct {
	call     Call
	claim    record.ID
	claimant string
	table    *Table

	phase      phase
	readOffset uint64
	claimedAt  time.Time
}

// NewAttempt returns an Attempt for a call that has just arrived. claim is the unique ID to
// use for its claim record.
func NewAttempt(table *Table, call Call, claim record.ID, claimant string) *Attempt {
	return &Attempt{call: call, claim: claim, claimant: claimant, table: table, readOffset: table.next}
}

// Begin starts the attempt and returns the effects to perform.
func (a *Attempt) Begin(now time.Time) []Effect { return a.decide(now) }

// Step handles one event and returns the effects to perform.
func (a *Attempt) Step(now time.Time, ev Event) []Effect {
	switch {
	case a.phase == phaseSent || a.phase == phaseDone:
		return nil
	case ev == ClientGone:
		return a.abandon(ReasonClientGone)
	case a.phase == phaseWaiting:
		return a.decide(now)
	case a.phase == phaseClaiming && ev == QueueFull:
		return a.reply(a.refusal(ReasonOverloaded))
	case a.phase == phaseClaiming:
		return a.checkClaim(now)
	case ev == ConfirmSend:
		return a.confirm(now)
	default:
		return nil
	}
}

// HandleResponse handles the response to the call after Send.
func (a *Attempt) HandleResponse(response Response) []Effect {
	if a.phase != phaseSent {
		return nil
	}
	result := Result{Response: response, Execution: response.Execution}
	if response.Execution == execution.NotRun {
		return append([]Effect{a.release()}, a.reply(result)...)
	}
	return append([]Effect{Append{Record: a.outcome(response)}}, a.reply(result)...)
}

// decide evaluates the key's state while the attempt has no claim.
func (a *Attempt) decide(now time.Time) []Effect {
	a.phase = phaseWaiting
	e := a.table.lookup(a.call.key())
	switch {
	case e.claim == "":
		return a.startClaim(now, e)
	case e.fingerprint != a.call.Fingerprint:
		return a.reply(Result{Execution: execution.NotRun, Reason: ReasonKeyReused})
	case e.outcome != nil:
		return a.reply(replay(e.outcome))
	case !now.Before(e.expires):
		return a.reply(Result{Execution: execution.Unknown, Reason: ReasonClaimantGone})
	case !now.Before(a.call.Deadline):
		return a.reply(Result{Execution: execution.Unknown, Reason: ReasonRunning})
	default:
		return []Effect{Wait{Until: earlier(e.expires, a.call.Deadline)}}
	}
}

func (a *Attempt) startClaim(now time.Time, e entry) []Effect {
	if e.releasedAt > a.readOffset {
		return a.reply(a.refusal(ReasonReleased))
	}
	reason := a.table.policy.checkKey(now, a.call)
	switch {
	case reason == ReasonMalformed:
		return a.reply(Result{Execution: execution.NotRun, Reason: reason})
	case reason != ReasonNone:
		return a.reply(a.refusal(reason))
	case a.table.newerVersion:
		return a.reply(a.refusal(ReasonVersion))
	case a.table.unavailable:
		return a.reply(a.refusal(ReasonLogUnavailable))
	case !now.Before(a.call.Deadline):
		return a.reply(a.refusal(ReasonDispatchWindowPassed))
	}
	a.phase = phaseClaiming
	a.claimedAt = now
	until := earlier(now.Add(a.table.policy.DispatchWindow), a.call.Deadline)
	return []Effect{AppendClaim{Record: a.claimRecord(now), Until: until}, Wait{Until: until}}
}

// checkClaim checks whether the attempt's own claim holds the key in the records read so
// far.
func (a *Attempt) checkClaim(now time.Time) []Effect {
	e := a.table.lookup(a.call.key())
	switch {
	case e.claim == a.claim:
		a.phase = phaseHolding
		return []Effect{Confirm{}}
	case e.claim != "":
		return a.decide(now)
	case e.releasedAt > a.readOffset:
		return a.reply(a.refusal(ReasonReleased))
	case !a.withinWindow(now):
		return a.abandon(ReasonLogUnavailable)
	default:
		return []Effect{Wait{Until: earlier(a.claimedAt.Add(a.table.policy.DispatchWindow), a.call.Deadline)}}
	}
}

// confirm performs the last check before the call is sent.
func (a *Attempt) confirm(now time.Time) []Effect {
	if !a.withinWindow(now) {
		return a.abandon(ReasonDispatchWindowPassed)
	}
	a.phase = phaseSent
	return []Effect{Send{}}
}

func (a *Attempt) withinWindow(now time.Time) bool {
	return now.Sub(a.claimedAt) < a.table.policy.DispatchWindow && now.Before(a.call.Deadline)
}

// abandon ends an attempt that has not sent its call and never will. A claim is released
// whether or not it has reached the log.
func (a *Attempt) abandon(reason Reason) []Effect {
	result := a.refusal(reason)
	if a.phase == phaseWaiting {
		return a.reply(result)
	}
	if a.phase == phaseHolding {
		result.Execution = execution.NotRun
	}
	return append([]Effect{a.release()}, a.reply(result)...)
}

// refusal returns the result of a call that is refused without knowledge of earlier
// attempts with its key.
func (a *Attempt) refusal(reason Reason) Result {
	if a.call.FirstUse {
		return Result{Execution: execution.NotRun, Reason: reason}
	}
	return Result{Execution: execution.Unknown, Reason: reason}
}

func (a *Attempt) reply(result Result) []Effect {
	a.phase = phaseDone
	return []Effect{Reply{Result: result}}
}

func (a *Attempt) claimRecord(now time.Time) record.Record {
	return record.Record{ID: a.claim, Claim: &record.Claim{
		Key:         a.call.key(),
		Fingerprint: a.call.Fingerprint,
		Claimant:    a.claimant,
		ReadOffset:  a.readOffset,
		Expiry:      a.call.Deadline.Sub(now) + a.table.policy.Grace,
	}}
}

func (a *Attempt) release() Append {
	return Append{Record: record.Record{
		ID:      a.claim + "/release",
		Release: &record.Release{Key: a.call.key(), Claim: a.claim},
	}}
}

func (a *Attempt) outcome(response Response) record.Record {
	o := &record.Outcome{
		Key:      a.call.key(),
		Claim:    a.claim,
		Known:    response.Execution == execution.Ran,
		Response: record.Response{Status: response.Status, ContentType: response.ContentType, Body: response.Body},
	}
	if len(response.Body) > record.MaxResponse {
		o.BodyOmitted = true
		o.Response = record.Response{Status: response.Status}
	}
	return record.Record{ID: a.claim + "/outcome", Outcome: o}
}

// replay returns the result for a key that already has an outcome.
func replay(o *record.Outcome) Result {
	if !o.Known {
		return Result{Execution: execution.Unknown, Replayed: true, Reason: ReasonClaimantGone}
	}
	if o.BodyOmitted {
		return Result{Execution: execution.Ran, Replayed: true, Reason: ReasonResponseTooLarge}
	}
	response := Response{
		Status:      o.Response.Status,
		ContentType: o.Response.ContentType,
		Body:        o.Response.Body,
		Execution:   execution.Ran,
	}
	return Result{Response: response, Execution: execution.Ran, Replayed: true}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
