// Package inifile parses INI sources and names the place of a problem in them.
package inifile

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Error is an invalid value in an INI source.
type Error struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error returns file, section, key and reason in one line.
func (e *Error) Error() string {
	if e.Section == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: section [%s] key %q: %s", e.File, e.Section, e.Key, e.Reason)
}

// Parse parses source, a path or the content as []byte, which errors call name.
// The error is an *Error.
func Parse(name string, source any) (*ini.File, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, source)
	if err != nil {
		return nil, &Error{File: name, Reason: err.Error()}
	}
	return f, nil
}
