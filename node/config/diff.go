package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"masticbank.example/core/config"
)

// Diff returns one line for each section that differs: "+" for an added one,
// "-" for a removed one, "~" for a changed one. A nil configuration is empty.
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

// sections returns the JSON of each section by its name.
func sections(c *config.Config) map[string]string {
	out := map[string]string{}
	if c == nil {
		return out
	}
	for i, r := range c.Ranks {
		out[fmt.Sprintf("rank.%s", r.Name)] = fmt.Sprintf("priority %d %s", i, text(r))
	}
	for name, m := range c.Models {
		out["model."+name] = text(m)
	}
	for name, s := range c.Services {
		out["service."+name] = text(s)
	}
	for name, w := range c.Workspaces {
		out["workspace."+name] = text(w)
	}
	out["limits"] = text(c.Limits)
	return out
}

func text(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
