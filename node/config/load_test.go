package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const base = `
[rank.urgent]
priority = 0
min_share = 0.5
[rank.least]
priority = 2
[model.m]
layers = 4
[workspace.w]
default_rank = least
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000001
`

func TestMergeByName(t *testing.T) {
	cfg, err := Merge([]File{
		{Name: "20.ini", Data: []byte("[workspace.w]\nweight = 3\n")},
		{Name: "10.ini", Data: []byte(base + "weight = 2\n")},
	})
	require.NoError(t, err)
	require.Equal(t, 3.0, cfg.Workspaces["w"].Weight)
	require.Equal(t, "least", cfg.Workspaces["w"].DefaultRank)
	require.Equal(t, "urgent", cfg.Ranks[0].Name)
}

func TestMergeErrors(t *testing.T) {
	cases := []struct{ add, want string }{
		{"[workspace.w]\nwieght = 1\n", `90.ini: section [workspace.w] key "wieght": unknown key`},
		{"[workspaces]\nw = 1\n", `90.ini: section [workspaces] key "w": unknown section`},
		{"[workspace.w]\nweight = -1\n", `90.ini: section [workspace.w] key "weight": must be positive`},
		{"[workspace.w]\nweight = NaN\n", `90.ini: section [workspace.w] key "weight": "NaN" is not a number`},
		{"[rank.urgent]\ndeadline = soon\n", `90.ini: section [rank.urgent] key "deadline": "soon" is not a duration such as 500ms or 2s`},
	}
	for _, tc := range cases {
		_, err := Merge([]File{{Name: "10.ini", Data: []byte(base)}, {Name: "90.ini", Data: []byte(tc.add)}})
		require.EqualError(t, err, tc.want)
	}
}

// TestEmptyListOfMethodsStandsForTheDefault guards against calls that are sent more than once to a service
// for which the operators list no method that may be.
func TestEmptyListOfMethodsStandsForTheDefault(t *testing.T) {
	for text, want := range map[string][]string{
		"":                                {"GET", "HEAD", "OPTIONS"},
		"idempotent_methods =\n":          nil,
		"idempotent_methods = ,\n":        nil,
		"idempotent_methods = GET, PUT\n": {"GET", "PUT"},
	} {
		cfg, err := Merge([]File{{Name: "10.ini", Data: []byte(base + "[service.s]\ntimeout = 5s\n" + text)}})
		require.NoError(t, err, text)
		require.Equal(t, want, cfg.Services["s"].IdempotentMethods, text)
	}
	cfg, err := Merge([]File{
		{Name: "10.ini", Data: []byte(base + "[service.s]\nidempotent_methods = GET\n")},
		{Name: "20.ini", Data: []byte("[service.s]\nidempotent_methods =\n")},
	})
	require.NoError(t, err)
	require.Empty(t, cfg.Services["s"].IdempotentMethods, "a later file takes the methods away")
}

// TestEmptyValueStandsForTheDefault guards against a number or time that is the default, or zero, since its
// key has no value, and against a key of a workspace that is none.
func TestEmptyValueStandsForTheDefault(t *testing.T) {
	for section, keys := range map[string][]string{
		"limits":      {"max_queued", "retry_ratio", "urgent_reserve", "step_timeout", "poison_ttl"},
		"rank.urgent": {"priority", "first_token", "deadline", "min_share"},
		"model.m":     {"layers", "max_output"},
		"service.s":   {"timeout"},
		"workspace.w": {"weight", "default_rank", "max_queued", "max_in_flight"},
	} {
		for _, key := range keys {
			_, err := Merge([]File{{Name: "10.ini", Data: []byte(base)}, {Name: "90.ini", Data: []byte("[" + section + "]\n" + key + " =\n")}})
			require.ErrorContains(t, err, `90.ini: section [`+section+`] key "`+key+`"`)
		}
	}
	cfg, err := Merge([]File{{Name: "10.ini", Data: []byte(base)}, {Name: "90.ini", Data: []byte("[workspace.w]\nkey_sha256 = ,\n")}})
	require.NoError(t, err)
	require.Empty(t, cfg.Workspaces["w"].KeySHA256)
}

// TestEmptyVersionAdmitsEnginesWithoutOne guards against a model whose version is empty, which all engines
// that state no version then hold.
func TestEmptyVersionAdmitsEnginesWithoutOne(t *testing.T) {
	cfg, err := Merge([]File{{Name: "10.ini", Data: []byte(base)}})
	require.NoError(t, err)
	require.Equal(t, "1", cfg.Models["m"].Version)
	_, err = Merge([]File{{Name: "10.ini", Data: []byte(base)}, {Name: "90.ini", Data: []byte("[model.m]\nversion =\n")}})
	require.EqualError(t, err, `90.ini: section [model.m] key "version": must not be empty`)
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte(base), []byte("[limits]\nmax_queued = 3\n"))
	f.Add([]byte("[rank.x]\n"), []byte("a = b"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		x, errX := Merge([]File{{Name: "1.ini", Data: a}, {Name: "2.ini", Data: b}})
		y, errY := Merge([]File{{Name: "2.ini", Data: b}, {Name: "1.ini", Data: a}})
		require.Equal(t, errX == nil, errY == nil)
		require.Equal(t, x, y)
		if errX == nil {
			require.NoError(t, x.Validate())
		}
	})
}
