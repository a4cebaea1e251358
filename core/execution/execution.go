// Package execution defines the status values that state whether a request ran on an
// upstream.
package execution

// Status states whether a request ran.
type Status uint8

const (
	// NotRun means that no upstream executed any part of the request: nothing was
	// written to an upstream, or every upstream that was written to refused the
	// request.
	NotRun Status = iota
	// Unknown means that an upstream may have executed the request.
	Unknown
	// Ran means that an upstream executed the request, at least in part.
	Ran
)

// String returns the value used in responses and logs.
func (s Status) String() string {
	switch s {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	case Unknown:
		return "unknown"
	default:
		return "unknown"
	}
}
