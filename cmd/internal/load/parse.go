package load

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"

	"masticbank.example/standin/fault"
)

const (
	defaultTimeout     = 30 * time.Second
	defaultMaxInFlight = 2000
	// maxArrivals bounds the requests of a run, whose samples are kept.
	maxArrivals = 1_000_000
	// maxPromptBytes bounds one prompt, maxTotalBytes all prompts of a run.
	maxPromptBytes = 64 << 10
	maxTotalBytes  = 1 << 30
	ratePrefix     = "rate."
)

// ParseError is an invalid scenario.
type ParseError struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error returns file, section, key and reason in one line.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%s: section [%s] key %q: %s", e.File, e.Section, e.Key, e.Reason)
}

// ReadScenario reads a scenario file. Errors of its content are *ParseError.
func ReadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseScenario(path, data)
}

// ParseScenario reads a scenario; file names it in errors.
func ParseScenario(file string, data []byte) (*Scenario, error) {
	options := ini.LoadOptions{SpaceBeforeInlineComment: true}
	source, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	s := new(Scenario)
	for _, section := range source.Sections() {
		r := &reader{file: file, section: section}
		if err := s.read(r); err != nil {
			return nil, err
		}
	}
	return s, s.check(file)
}

// read adds one section, "kind" or "kind.name".
func (s *Scenario) read(r *reader) error {
	kind, name, _ := strings.Cut(r.section.Name(), ".")
	switch kind {
	case ini.DefaultSection:
	case "scenario":
		s.readScenario(r)
	case "workspace":
		s.Workspaces = append(s.Workspaces, Workspace{Name: name, Key: r.text("key", "")})
	case "flow":
		s.Flows = append(s.Flows, readFlow(r, name))
	case "phase":
		s.Phases = append(s.Phases, readPhase(r, name))
	case "fault":
		s.Faults = append(s.Faults, readFault(r, name))
	default:
		return &ParseError{File: r.file, Section: r.section.Name(), Reason: "unknown section"}
	}
	return r.finish()
}

func (s *Scenario) readScenario(r *reader) {
	s.Name = r.text("name", "")
	s.Seed = uint64(r.number("seed", 1))
	s.Targets = r.list("targets")
	s.Control = r.text("control", "")
	s.Model = r.text("model", "")
	s.Fleet = r.text("fleet", "")
	s.Timeout = r.duration("timeout", defaultTimeout)
	s.MaxInFlight = r.number("max_in_flight", defaultMaxInFlight)
}

func readFlow(r *reader, name string) Flow {
	return Flow{
		Name:         name,
		Kind:         Kind(r.text("kind", string(Chat))),
		Rank:         r.text("rank", ""),
		Shares:       r.shares("workspaces"),
		PromptBytes:  r.numbers("prompt_bytes", Range{200, 200}),
		MaxTokens:    r.numbers("max_tokens", Range{16, 16}),
		SharedPrefix: r.number("shared_prefix_bytes", 0),
		Stream:       r.boolean("stream"),
		Deadline:     r.duration("deadline", 0),
		Service:      r.text("service", ""),
		Path:         r.text("path", "/"),
		Repeat:       r.float("repeat", 0),
	}
}

func readPhase(r *reader, name string) Phase {
	p := Phase{
		Name:     name,
		Duration: r.duration("duration", 0),
		Warmup:   r.boolean("warmup"),
	}
	for _, key := range r.section.KeyStrings() {
		if flow, ok := strings.CutPrefix(key, ratePrefix); ok {
			p.Rates = append(p.Rates, Rate{Flow: flow, PerSecond: r.float(key, 0)})
		}
	}
	return p
}

func readFault(r *reader, name string) TimedFault {
	return TimedFault{
		Name: name,
		At:   r.duration("at", 0),
		Fault: fault.Fault{
			Instance:       r.text("instance", ""),
			Kind:           fault.Kind(r.text("kind", "")),
			Count:          r.number("count", 0),
			Factor:         r.float("factor", 0),
			Text:           r.text("text", ""),
			DelayMillis:    int(r.duration("delay", 0).Milliseconds()),
			DurationMillis: int(r.duration("duration", 0).Milliseconds()),
		},
	}
}

// check reports the first part of the scenario that does not fit the others.
func (s *Scenario) check(file string) error {
	fail := func(section, key, format string, args ...any) error {
		return &ParseError{File: file, Section: section, Key: key, Reason: fmt.Sprintf(format, args...)}
	}
	if s.Arrivals() > maxArrivals {
		return fail("scenario", "", "%.0f arrivals are over the limit of %d", s.Arrivals(), maxArrivals)
	}
	if s.MaxInFlight < 1 {
		return fail("scenario", "max_in_flight", "must be above 0")
	}
	if s.Timeout <= 0 {
		return fail("scenario", "timeout", "must be above 0")
	}
	if _, known := fleets[s.Fleet]; s.Fleet != "" && !known {
		return fail("scenario", "fleet", "unknown fleet %q", s.Fleet)
	}
	for i := range s.Flows {
		if key, reason := s.checkFlow(&s.Flows[i]); reason != "" {
			return fail("flow."+s.Flows[i].Name, key, "%s", reason)
		}
	}
	if len(s.Phases) == 0 {
		return fail("phase", "", "at least one phase is needed")
	}
	for _, p := range s.Phases {
		if key, reason := s.checkPhase(p); reason != "" {
			return fail("phase."+p.Name, key, "%s", reason)
		}
	}
	if s.promptBytes() > maxTotalBytes {
		return fail("scenario", "", "all prompts together are over %d bytes", maxTotalBytes)
	}
	return nil
}

func (s *Scenario) checkPhase(p Phase) (key, reason string) {
	if p.Duration <= 0 {
		return "duration", "must be above 0"
	}
	for _, r := range p.Rates {
		if s.flow(r.Flow) == nil {
			return ratePrefix + r.Flow, "no such flow"
		}
	}
	return "", ""
}

// promptBytes returns the most bytes that the prompts of a run are expected to
// take.
func (s *Scenario) promptBytes() float64 {
	n := 0.0
	for _, p := range s.Phases {
		for _, r := range p.Rates {
			n += r.PerSecond * p.Duration.Seconds() * float64(s.flow(r.Flow).PromptBytes.Max)
		}
	}
	return n
}

func (s *Scenario) checkFlow(f *Flow) (key, reason string) {
	kinds := []Kind{Chat, Text, Order, Query}
	switch {
	case !slices.Contains(kinds, f.Kind):
		return "kind", fmt.Sprintf("unknown kind %q", f.Kind)
	case len(f.Shares) == 0:
		return "workspaces", "at least one workspace is needed"
	case (f.Kind == Order || f.Kind == Query) && f.Service == "":
		return "service", "is needed for this kind"
	case (f.Kind == Chat || f.Kind == Text) && s.Model == "":
		return "kind", "the scenario names no model"
	case f.MaxTokens.Min < 1:
		return "max_tokens", "must be above 0"
	case f.PromptBytes.Min < 1 || f.PromptBytes.Max > maxPromptBytes:
		return "prompt_bytes", fmt.Sprintf("must lie between 1 and %d", maxPromptBytes)
	case f.Repeat > 1:
		return "repeat", "must be at most 1"
	}
	for _, share := range f.Shares {
		if s.key(share.Workspace) == "" {
			return "workspaces", fmt.Sprintf("no workspace %q with a key", share.Workspace)
		}
	}
	return "", ""
}
