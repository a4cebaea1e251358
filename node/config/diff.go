package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"masticbank.example/core/config"
)

// Diff returns one line for each section that differs, in the order of their names.
// The line begins with "+" for an added section, "-" for a removed one and "~" for a
// changed one. A nil configuration has no sections.
func Diff(from, to *config.Config) []string {
	a, b := sections(from), sections(to)
	names := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	out := []string{}
	for _, name := range names {
		old, had := a[name]
		now, has := b[name]
		switch {
		case !had:
			out = append(out, fmt.Sprintf("+ [%s] %s", name, now))
		case !has:
			out = append(out, fmt.Sprintf("- [%s] %s", name, old))
		case old != now:
			out = append(out, fmt.Sprintf("~ [%s] %s -> %s", name, old, now))
		}
	}
	return out
}

// sections returns the sections of c in JSON by name.
func sections(c *config.Config) map[string]string {
	out := map[string]string{}
	if c == nil {
		return out
	}
	for i, r := range c.Ranks {
		out[fmt.Sprintf("rank.%s", r.Name)] = fmt.Sprintf("priority %d %s", i, jsonText(r))
	}
	for name, m := range c.Models {
		out["model."+name] = jsonText(m)
	}
	for name, s := range c.Services {
		out["service."+name] = jsonText(s)
	}
	for name, w := range c.Workspaces {
		out["workspace."+name] = jsonText(w)
	}
	out["limits"] = jsonText(c.Limits)
	return out
}

func jsonText(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
