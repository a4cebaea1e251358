// Package execution defines what a caller may be told about whether its
// request ran on an upstream.
package execution

// Status tells whether a request ran.
type Status uint8

const (
	// NotRun means that no upstream executed any part of the request: nothing
	// was written to an upstream, or every upstream written to refused it.
	NotRun Status = iota
	// Unknown means that an upstream may have executed the request.
	Unknown
	// Ran means that an upstream executed the request, at least in part.
	Ran
)

// String returns the value used in answers and logs.
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
