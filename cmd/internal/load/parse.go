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
	// maxArrivals limits the requests of a run, because all samples are kept in
	// memory.
	maxArrivals = 1_000_000
	// maxPromptBytes limits a single prompt, maxTotalPromptBytes the sum of all
	// prompts of a run.
	maxPromptBytes      = 64 << 10
	maxTotalPromptBytes = 1 << 30
	ratePrefix          = "rate."
)

// ParseError reports invalid content in a scenario file.
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

// ReadScenario reads and validates a scenario file. Errors in its content are of
// type *ParseError, except for INI syntax errors.
func ReadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseScenario(path, data)
}

// ParseScenario parses and validates the content of a scenario file. The file name
// is used in errors only.
func ParseScenario(file string, data []byte) (*Scenario, error) {
	options := ini.LoadOptions{SpaceBeforeInlineComment: true}
	sections, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	s := new(Scenario)
	for _, section := range sections.Sections() {
		r := &sectionReader{file: file, section: section}
		if err := s.parseSection(r); err != nil {
			return nil, err
		}
	}
	return s, s.validate(file)
}

// parseSection adds one section, named "kind" or "kind.name", to the scenario.
func (s *Scenario) parseSection(r *sectionReader) error {
	kind, name, _ := strings.Cut(r.section.Name(), ".")
	switch kind {
	case ini.DefaultSection:
	case "scenario":
		s.parseScenarioSection(r)
	case "workspace":
		s.Workspaces = append(s.Workspaces, Workspace{Name: name, Key: r.text("key", "")})
	case "flow":
		s.Flows = append(s.Flows, parseFlow(r, name))
	case "phase":
		s.Phases = append(s.Phases, parsePhase(r, name))
	case "fault":
		s.Faults = append(s.Faults, parseFault(r, name))
	default:
		return &ParseError{File: r.file, Section: r.section.Name(), Reason: "unknown section"}
	}
	return r.validateKeys()
}

func (s *Scenario) parseScenarioSection(r *sectionReader) {
	s.Name = r.text("name", "")
	s.Seed = uint64(r.integer("seed", 1))
	s.Targets = r.list("targets")
	s.Control = r.text("control", "")
	s.Model = r.text("model", "")
	s.Fleet = r.text("fleet", "")
	s.Timeout = r.duration("timeout", defaultTimeout)
	s.MaxInFlight = r.integer("max_in_flight", defaultMaxInFlight)
}

func parseFlow(r *sectionReader, name string) Flow {
	return Flow{
		Name:           name,
		Kind:           Kind(r.text("kind", string(Chat))),
		Rank:           r.text("rank", ""),
		Shares:         r.shares("workspaces"),
		PromptBytes:    r.intRange("prompt_bytes", Range{200, 200}),
		MaxTokens:      r.intRange("max_tokens", Range{16, 16}),
		SharedPrefix:   r.integer("shared_prefix_bytes", 0),
		Stream:         r.boolean("stream"),
		Deadline:       r.duration("deadline", 0),
		Service:        r.text("service", ""),
		Path:           r.text("path", "/"),
		RepeatFraction: r.float("repeat", 0),
	}
}

func parsePhase(r *sectionReader, name string) Phase {
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

func parseFault(r *sectionReader, name string) TimedFault {
	return TimedFault{
		Name: name,
		At:   r.duration("at", 0),
		Fault: fault.Fault{
			Instance:       r.text("instance", ""),
			Kind:           fault.Kind(r.text("kind", "")),
			Count:          r.integer("count", 0),
			Factor:         r.float("factor", 0),
			Text:           r.text("text", ""),
			DelayMillis:    int(r.duration("delay", 0).Milliseconds()),
			DurationMillis: int(r.duration("duration", 0).Milliseconds()),
		},
	}
}

// validate checks limits and the references between sections, and returns the first
// error.
func (s *Scenario) validate(file string) error {
	fail := func(section, key, format string, args ...any) error {
		return &ParseError{File: file, Section: section, Key: key, Reason: fmt.Sprintf(format, args...)}
	}
	if s.Arrivals() > maxArrivals {
		return fail("scenario", "", "%.0f arrivals exceed the limit of %d", s.Arrivals(), maxArrivals)
	}
	if s.MaxInFlight < 1 {
		return fail("scenario", "max_in_flight", "must be greater than 0")
	}
	if s.Timeout <= 0 {
		return fail("scenario", "timeout", "must be greater than 0")
	}
	if _, known := fleets[s.Fleet]; s.Fleet != "" && !known {
		return fail("scenario", "fleet", "unknown fleet %q", s.Fleet)
	}
	for i := range s.Flows {
		if key, reason := s.validateFlow(&s.Flows[i]); reason != "" {
			return fail("flow."+s.Flows[i].Name, key, "%s", reason)
		}
	}
	if len(s.Phases) == 0 {
		return fail("phase", "", "at least one phase is required")
	}
	for _, p := range s.Phases {
		if key, reason := s.validatePhase(p); reason != "" {
			return fail("phase."+p.Name, key, "%s", reason)
		}
	}
	if s.expectedPromptBytes() > maxTotalPromptBytes {
		return fail("scenario", "", "all prompts together exceed %d bytes", maxTotalPromptBytes)
	}
	return nil
}

func (s *Scenario) validatePhase(p Phase) (key, reason string) {
	if p.Duration <= 0 {
		return "duration", "must be greater than 0"
	}
	for _, r := range p.Rates {
		if s.flow(r.Flow) == nil {
			return ratePrefix + r.Flow, "flow does not exist"
		}
	}
	return "", ""
}

// expectedPromptBytes returns an upper bound on the expected size of all prompts of
// a run.
func (s *Scenario) expectedPromptBytes() float64 {
	n := 0.0
	for _, p := range s.Phases {
		for _, r := range p.Rates {
			n += r.PerSecond * p.Duration.Seconds() * float64(s.flow(r.Flow).PromptBytes.Max)
		}
	}
	return n
}

func (s *Scenario) validateFlow(f *Flow) (key, reason string) {
	kinds := []Kind{Chat, Completion, Order, Query}
	switch {
	case !slices.Contains(kinds, f.Kind):
		return "kind", fmt.Sprintf("unknown kind %q", f.Kind)
	case len(f.Shares) == 0:
		return "workspaces", "at least one workspace is required"
	case (f.Kind == Order || f.Kind == Query) && f.Service == "":
		return "service", "is required for this kind"
	case (f.Kind == Chat || f.Kind == Completion) && s.Model == "":
		return "kind", "section [scenario] has no model"
	case f.MaxTokens.Min < 1:
		return "max_tokens", "must be greater than 0"
	case f.PromptBytes.Min < 1 || f.PromptBytes.Max > maxPromptBytes:
		return "prompt_bytes", fmt.Sprintf("must be between 1 and %d", maxPromptBytes)
	case f.RepeatFraction > 1:
		return "repeat", "must be at most 1"
	}
	for _, share := range f.Shares {
		if s.key(share.Workspace) == "" {
			return "workspaces", fmt.Sprintf("workspace %q does not exist or has no key", share.Workspace)
		}
	}
	return "", ""
}
