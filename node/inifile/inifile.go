// Package inifile parses INI files and provides an error type that names the file,
// section and key of an invalid value.
package inifile

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Error reports a problem with an INI file. Section and Key are empty when it
// concerns the whole file.
type Error struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Section == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: section [%s] key %q: %s", e.File, e.Section, e.Key, e.Reason)
}

// Parse parses source, which is a path (string) or the content ([]byte). The error is
// an *Error whose File is name.
func Parse(name string, source any) (*ini.File, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, source)
	if err != nil {
		return nil, &Error{File: name, Reason: err.Error()}
	}
	return f, nil
}
