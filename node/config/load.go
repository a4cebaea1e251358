// Package config loads the configuration from a directory of INI files. The files
// are merged in the order of their names; keys of a later file override those of an
// earlier one.
package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"masticbank.example/core/config"
	"masticbank.example/node/inifile"
)

// maxFileBytes is the largest configuration file accepted.
const maxFileBytes = 4 << 20

// File is one INI file of the configuration.
type File struct {
	Name string
	Data []byte
}

// LoadDir reads and merges all *.ini files in dir and validates the result. The
// error is an *inifile.Error.
func LoadDir(dir string) (*config.Config, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		return nil, &inifile.Error{File: dir, Reason: err.Error()}
	}
	if len(names) == 0 {
		return nil, &inifile.Error{File: dir, Reason: "contains no *.ini file"}
	}
	files := make([]File, 0, len(names))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, &inifile.Error{File: name, Reason: err.Error()}
		}
		files = append(files, File{Name: filepath.Base(name), Data: data})
	}
	return Merge(files)
}

// Merge merges files in the order of their names and validates the result.
// The error is an *inifile.Error.
func Merge(files []File) (*config.Config, error) {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	m := mergedFiles{sections: map[string]map[string]fileValue{}}
	for _, f := range files {
		if err := m.add(f); err != nil {
			return nil, err
		}
	}
	cfg, err := m.build()
	if err != nil {
		return nil, err
	}
	if err := cfg.Validate(); err != nil {
		return nil, m.locate(err)
	}
	return cfg, nil
}

// fileValue is the text of one key and the name of the last file that sets it.
type fileValue struct {
	text string
	file string
}

// mergedFiles holds the merged values by section and key.
type mergedFiles struct {
	sections map[string]map[string]fileValue
}

func (m *mergedFiles) add(f File) error {
	if len(f.Data) > maxFileBytes {
		return &inifile.Error{File: f.Name, Reason: fmt.Sprintf("is larger than %d bytes", maxFileBytes)}
	}
	parsed, err := inifile.Parse(f.Name, f.Data)
	if err != nil {
		return err
	}
	for _, sec := range parsed.Sections() {
		for _, key := range sec.Keys() {
			if m.sections[sec.Name()] == nil {
				m.sections[sec.Name()] = map[string]fileValue{}
			}
			m.sections[sec.Name()][key.Name()] = fileValue{text: strings.TrimSpace(key.String()), file: f.Name}
		}
	}
	return nil
}

// locate converts a validation error to an *inifile.Error that names the file of the
// invalid key, or else any file that has the section.
func (m *mergedFiles) locate(err error) error {
	var fe *config.FieldError
	if !errors.As(err, &fe) {
		return &inifile.Error{File: "configuration", Reason: err.Error()}
	}
	file := "configuration"
	if v, ok := m.sections[fe.Section][fe.Key]; ok {
		file = v.file
	} else {
		for _, v := range m.sections[fe.Section] {
			file = v.file
		}
	}
	return &inifile.Error{File: file, Section: fe.Section, Key: fe.Key, Reason: fe.Reason}
}
