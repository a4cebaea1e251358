package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// sectionReader reads the keys of one section and keeps the first error.
type sectionReader struct {
	file      string
	section   *ini.Section
	requested []string
	err       error
}

func (r *sectionReader) fail(key, reason string) {
	if r.err == nil {
		r.err = &ParseError{File: r.file, Section: r.section.Name(), Key: key, Reason: reason}
	}
}

// value returns the value of a key; ok is false if the key is missing.
func (r *sectionReader) value(key string) (text string, ok bool) {
	r.requested = append(r.requested, key)
	if !r.section.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(r.section.Key(key).String()), true
}

func (r *sectionReader) text(key, fallback string) string {
	if v, ok := r.value(key); ok {
		return v
	}
	return fallback
}

func (r *sectionReader) list(key string) []string {
	var out []string
	for _, item := range strings.Split(r.text(key, ""), ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

func (r *sectionReader) integer(key string, fallback int) int {
	v, ok := r.value(key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		r.fail(key, fmt.Sprintf("%q is not an integer", v))
	}
	return n
}

func (r *sectionReader) float(key string, fallback float64) float64 {
	v, ok := r.value(key)
	if !ok {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= 0) {
		r.fail(key, fmt.Sprintf("%q is not a non-negative number", v))
	}
	return f
}

func (r *sectionReader) boolean(key string) bool {
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

func (r *sectionReader) duration(key string, fallback time.Duration) time.Duration {
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

// intRange parses "5" or "5-10".
func (r *sectionReader) intRange(key string, fallback Range) Range {
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
		r.fail(key, fmt.Sprintf("%q is neither an integer nor a range such as 5-10", v))
	}
	return Range{Min: first, Max: last}
}

// shares parses "a:20, b, c"; the default weight is 1.
func (r *sectionReader) shares(key string) []Share {
	var out []Share
	for _, item := range r.list(key) {
		name, weight, weighted := strings.Cut(item, ":")
		share := Share{Workspace: strings.TrimSpace(name), Weight: 1}
		if weighted {
			w, err := strconv.ParseFloat(strings.TrimSpace(weight), 64)
			if err != nil || !(w > 0) {
				r.fail(key, fmt.Sprintf("the weight of %q is not a positive number", item))
			}
			share.Weight = w
		}
		out = append(out, share)
	}
	return out
}

// validateKeys returns the first error, or an error for the first unknown key.
func (r *sectionReader) validateKeys() error {
	if r.err != nil {
		return r.err
	}
	used := make(map[string]bool, len(r.requested))
	for _, key := range r.requested {
		used[key] = true
	}
	for _, key := range r.section.KeyStrings() {
		if !used[key] {
			r.fail(key, "unknown key")
		}
	}
	return r.err
}
