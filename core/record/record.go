// Package record defines the records that instances append to the streams of the platform's
// log, and their JSON encoding. Every record has a unique ID, so that readers recognize
// duplicates. The types are plain values; a decoded Record shares no memory with its input.
package record

import "time"

// Version is the newest record format that this program reads and writes. It also covers
// the rules that validate the content of a Proposal: a change of either requires a new
// number, so that no reader applies outdated rules.
const Version = 1

// Size limits, in bytes.
const (
	MaxSize     = 4 << 20
	MaxContent  = 2 << 20
	MaxResponse = 256 << 10
	MaxKey      = 256
	MaxName     = 128
)

// ID uniquely identifies one record.
type ID string

// Record is one record of a stream. Exactly one of the pointers is set.
type Record struct {
	Version  int       `json:"v"`
	ID       ID        `json:"id"`
	Proposal *Proposal `json:"proposal,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	Claim    *Claim    `json:"claim,omitempty"`
	Outcome  *Outcome  `json:"outcome,omitempty"`
	Release  *Release  `json:"release,omitempty"`
	Lease    *Lease    `json:"lease,omitempty"`
}

// Proposal requests to replace the content of revision Base.
type Proposal struct {
	Base    uint64 `json:"base"`
	Author  string `json:"author"`
	Content []byte `json:"content"`
}

// Winner identifies the record that created a revision.
type Winner struct {
	Revision uint64 `json:"revision"`
	ID       ID     `json:"id"`
	Author   string `json:"author"`
}

// Snapshot is the state after all records below offset Next.
type Snapshot struct {
	Revision uint64 `json:"revision"`
	Next     uint64 `json:"next"`
	Content  []byte `json:"content"`
	// Winners are the latest accepted proposals, in ascending order of revision.
	Winners []Winner `json:"winners"`
}

// OrderKey identifies one non-idempotent call.
type OrderKey struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Key       string `json:"key"`
}

// Claim requests the right to make the call identified by Key. The first valid claim in log
// order wins.
type Claim struct {
	Key OrderKey `json:"key"`
	// Fingerprint is the hash of the request.
	Fingerprint string `json:"fingerprint"`
	Claimant    string `json:"claimant"`
	// ReadOffset is the offset up to which the claimant had read when the call arrived. A
	// release at or above it invalidates the claim.
	ReadOffset uint64 `json:"began"`
	// Expiry is how long after reading the claim a reader may expect an outcome.
	Expiry time.Duration `json:"expiry"`
}

// Response is the recorded response of an upstream.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Outcome completes the claim whose record ID is Claim.
type Outcome struct {
	Key   OrderKey `json:"key"`
	Claim ID       `json:"claim"`
	// Known is false if the claimant does not know whether the upstream executed the call.
	Known bool `json:"known"`
	// BodyOmitted is set if the body of the response was too large to be recorded and was
	// omitted.
	BodyOmitted bool     `json:"oversize,omitempty"`
	Response    Response `json:"answer"`
}

// Release withdraws the claim whose record ID is Claim; the call was not made.
type Release struct {
	Key   OrderKey `json:"key"`
	Claim ID       `json:"claim"`
}

// LeaseOp is the kind of a Lease record.
type LeaseOp string

// Kinds of Lease records.
const (
	LeaseAcquire LeaseOp = "acquire"
	LeaseRenew   LeaseOp = "renew"
	LeaseRelease LeaseOp = "release"
)

// Lease acquires, renews or releases the lease of a leader task.
type Lease struct {
	Op     LeaseOp `json:"op"`
	Task   string  `json:"duty"`
	Holder string  `json:"holder"`
	// Epoch is the offset after the accepted acquire record; set for renew and release
	// only.
	Epoch uint64 `json:"epoch,omitempty"`
	// ReadOffset is the offset up to which the holder had read; set for acquire only.
	ReadOffset uint64 `json:"read,omitempty"`
}

// Entry is one encoded record of a stream.
type Entry struct {
	Offset uint64
	Data   []byte
}

// Batch is the result of one read of a stream.
type Batch struct {
	// First is the lowest offset that the log retains.
	First uint64
	// Next is the offset after the last entry.
	Next uint64
	// Entries are consecutive, in offset order.
	Entries []Entry
}
