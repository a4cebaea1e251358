// Package causes sorts the requests in the logs of instances by why they were late, refused or
// lost.
package causes

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Limits are the times beyond which a delivered stream counts as late.
type Limits struct {
	FirstEvent time.Duration
	Pause      time.Duration
}

// Period restricts the requests to those that ended within it; a zero time is no limit.
type Period struct{ From, To time.Time }

func (p Period) includes(t time.Time) bool {
	return (p.From.IsZero() || !t.Before(p.From)) && (p.To.IsZero() || t.Before(p.To))
}

// Cause is a reason and the requests that it applies to.
type Cause struct {
	Name  string
	Count int
	// Time is the mean time that the cause took of the late events; 0 if the lines do not state it.
	Time time.Duration
	// First and Last are when the first and the last of these requests ended.
	First, Last time.Time
	// Example is the ID of one of them.
	Example string
}

// Summary holds the causes, the most frequent first, and the number of all requests.
type Summary struct {
	Requests int
	Causes   []Cause
	// Unreadable counts lines that are no log lines.
	Unreadable int
}

// ended is the log line of a request's end. Durations are in milliseconds.
type ended struct {
	Time       time.Time `json:"ts"`
	Message    string    `json:"msg"`
	Request    string    `json:"request"`
	Status     int       `json:"status"`
	Outcome    string    `json:"outcome"`
	Events     int       `json:"events"`
	FirstEvent float64   `json:"first_event"`
	FirstCause string    `json:"first_event_cause"`
	FirstShare float64   `json:"first_event_share"`
	Pause      float64   `json:"longest_pause"`
	PauseCause string    `json:"pause_cause"`
	PauseShare float64   `json:"pause_share"`
}

// Summarize reads log lines and sums the requests by cause. Text before the JSON object of a line is
// ignored.
func Summarize(r io.Reader, limits Limits, period Period) (*Summary, error) {
	s := &Summary{}
	byName := map[string]*Cause{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			continue
		}
		var e ended
		if err := json.Unmarshal(line[start:], &e); err != nil {
			s.Unreadable++
			continue
		}
		if e.Message != "request ended" || !period.includes(e.Time) {
			continue
		}
		s.Requests++
		if name, took := e.cause(limits); name != "" {
			add(byName, name, took, &e)
		}
	}
	for _, c := range byName {
		c.Time /= time.Duration(c.Count)
		s.Causes = append(s.Causes, *c)
	}
	slices.SortFunc(s.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return s, trace.Wrap(lines.Err())
}

func add(byName map[string]*Cause, name string, took time.Duration, e *ended) {
	c := byName[name]
	if c == nil {
		c = &Cause{Name: name, First: e.Time, Example: e.Request}
		byName[name] = c
	}
	c.Count++
	c.Time += took
	c.Last = e.Time
}

// cause returns why a request was late, refused or lost, and how long that took of a late event, or ""
// if it was served in time. A stream that kept the objectives of its route states no cause.
func (e *ended) cause(limits Limits) (string, time.Duration) {
	switch {
	case e.Outcome != "delivered":
		return fmt.Sprintf("ended: %s (%d)", e.Outcome, e.Status), 0
	case e.Status >= 500:
		return fmt.Sprintf("replica answered %d", e.Status), 0
	case e.Events > 0 && milliseconds(e.FirstEvent) > limits.FirstEvent:
		return "first event late: " + cmp.Or(e.FirstCause, "prefill"), milliseconds(e.FirstShare)
	case e.Events > 0 && milliseconds(e.Pause) > limits.Pause:
		return "pause: " + cmp.Or(e.PauseCause, "slow stages"), milliseconds(e.PauseShare)
	}
	return "", 0
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Print writes the summary as a table.
func (s *Summary) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []string{fmt.Sprintf("requests\t%d", s.Requests)}
	if s.Unreadable > 0 {
		rows = append(rows, fmt.Sprintf("unreadable lines\t%d", s.Unreadable))
	}
	rows = append(rows, "cause\trequests\tshare\ttime\tfirst\tlast\texample")
	for _, c := range s.Causes {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%.4f\t%s\t%s\t%s\t%s", c.Name, c.Count, float64(c.Count)/float64(s.Requests), c.Time.Round(time.Millisecond),
			c.First.Format(time.RFC3339Nano), c.Last.Format(time.RFC3339Nano), c.Example))
	}
	if _, err := io.WriteString(t, strings.Join(rows, "\n")+"\n"); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(t.Flush())
}
