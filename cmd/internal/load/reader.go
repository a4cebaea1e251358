package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// reader reads the keys of one section and keeps the first error.
type reader struct {
	file    string
	section *ini.Section
	used    []string
	err     error
}

func (r *reader) fail(key, reason string) {
	if r.err == nil {
		r.err = &ParseError{File: r.file, Section: r.section.Name(), Key: key, Reason: reason}
	}
}

// value returns the text of a key; ok is false when it is missing.
func (r *reader) value(key string) (text string, ok bool) {
	r.used = append(r.used, key)
	if !r.section.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(r.section.Key(key).String()), true
}

func (r *reader) text(key, fallback string) string {
	if v, ok := r.value(key); ok {
		return v
	}
	return fallback
}

func (r *reader) list(key string) []string {
	var out []string
	for _, item := range strings.Split(r.text(key, ""), ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

func (r *reader) number(key string, fallback int) int {
	v, ok := r.value(key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		r.fail(key, fmt.Sprintf("%q is not a whole number", v))
	}
	return n
}

func (r *reader) float(key string, fallback float64) float64 {
	v, ok := r.value(key)
	if !ok {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= 0) {
		r.fail(key, fmt.Sprintf("%q is not a number of at least 0", v))
	}
	return f
}

func (r *reader) boolean(key string) bool {
	v, ok := r.value(key)
	if !ok {
		return false
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.fail(key, fmt.Sprintf("%q is neither true nor false", v))
	}
	return b
}

func (r *reader) duration(key string, fallback time.Duration) time.Duration {
	v, ok := r.value(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		r.fail(key, fmt.Sprintf("%q is not a duration such as 250ms", v))
	}
	return d
}

// numbers reads "5" or "5-10".
func (r *reader) numbers(key string, fallback Range) Range {
	v, ok := r.value(key)
	if !ok {
		return fallback
	}
	low, high, isRange := strings.Cut(v, "-")
	if !isRange {
		high = low
	}
	first, err1 := strconv.Atoi(strings.TrimSpace(low))
	last, err2 := strconv.Atoi(strings.TrimSpace(high))
	if err1 != nil || err2 != nil || last < first {
		r.fail(key, fmt.Sprintf("%q is neither a number nor a range such as 5-10", v))
	}
	return Range{Min: first, Max: last}
}

// shares reads "a:20, b, c"; a missing weight is 1.
func (r *reader) shares(key string) []Share {
	var out []Share
	for _, item := range r.list(key) {
		name, weight, weighted := strings.Cut(item, ":")
		share := Share{Workspace: strings.TrimSpace(name), Weight: 1}
		if weighted {
			w, err := strconv.ParseFloat(strings.TrimSpace(weight), 64)
			if err != nil || !(w > 0) {
				r.fail(key, fmt.Sprintf("%q has no weight above 0", item))
			}
			share.Weight = w
		}
		out = append(out, share)
	}
	return out
}

// finish reports the first error, or the first key that was not read.
func (r *reader) finish() error {
	if r.err != nil {
		return r.err
	}
	used := make(map[string]bool, len(r.used))
	for _, key := range r.used {
		used[key] = true
	}
	for _, key := range r.section.KeyStrings() {
		if !used[key] {
			r.fail(key, "unknown key")
		}
	}
	return r.err
}
