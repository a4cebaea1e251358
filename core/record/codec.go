package record

import (
	"encoding/json"
	"errors"
	"fmt"
)

var (
	// ErrMalformed means that the data is not a valid record. Every reader skips it.
	ErrMalformed = errors.New("malformed record")
	// ErrVersion means that the record has a newer format, which this reader can't
	// evaluate.
	ErrVersion = errors.New("record of a newer version")
)

// Encode returns the encoding of r with the current Version. It fails with ErrMalformed if
// Decode would reject the result.
func Encode(r Record) ([]byte, error) {
	r.Version = Version
	if err := r.check(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(data) > MaxSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, len(data))
	}
	return data, nil
}

// Decode parses data. The result depends on data alone, so that all readers of one Version
// agree. Errors match ErrMalformed or ErrVersion.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxSize {
		return Record{}, fmt.Errorf("%w: %d bytes", ErrMalformed, len(data))
	}
	var head struct {
		Version int `json:"v"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if head.Version > Version {
		return Record{}, fmt.Errorf("%w: %d", ErrVersion, head.Version)
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r *Record) check() error {
	if r.Version != Version {
		return fmt.Errorf("%w: version %d", ErrMalformed, r.Version)
	}
	if r.ID == "" || len(r.ID) > MaxName {
		return fmt.Errorf("%w: record ID", ErrMalformed)
	}
	if r.bodies() != 1 {
		return fmt.Errorf("%w: %d bodies", ErrMalformed, r.bodies())
	}
	if !r.validBody() {
		return fmt.Errorf("%w: field missing or out of bounds", ErrMalformed)
	}
	return nil
}

func (r *Record) bodies() int {
	n := 0
	for _, set := range []bool{
		r.Proposal != nil, r.Snapshot != nil, r.Claim != nil,
		r.Outcome != nil, r.Release != nil, r.Lease != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (r *Record) validBody() bool {
	switch {
	case r.Proposal != nil:
		return len(r.Proposal.Content) <= MaxContent && len(r.Proposal.Author) <= MaxName
	case r.Snapshot != nil:
		return len(r.Snapshot.Content) <= MaxContent
	case r.Claim != nil:
		c := r.Claim
		return c.Key.valid() && validName(c.Fingerprint) && validName(c.Claimant) && c.Expiry > 0
	case r.Outcome != nil:
		return r.Outcome.Key.valid() && validName(string(r.Outcome.Claim)) && len(r.Outcome.Response.Body) <= MaxResponse
	case r.Release != nil:
		return r.Release.Key.valid() && validName(string(r.Release.Claim))
	default:
		return r.Lease.valid()
	}
}

func (l *Lease) valid() bool {
	known := l.Op == LeaseAcquire || l.Op == LeaseRenew || l.Op == LeaseRelease
	return known && validName(l.Task) && validName(l.Holder)
}

func (k OrderKey) valid() bool {
	return validName(k.Workspace) && validName(k.Service) && k.Key != "" && len(k.Key) <= MaxKey
}

func validName(s string) bool { return s != "" && len(s) <= MaxName }
