package config

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func valid() *Config {
	return &Config{
		Ranks: []RankConfig{
			{Name: "urgent", FirstToken: time.Second, Deadline: time.Minute, MinShare: 0.5},
			{Name: "least", FirstToken: time.Minute, Deadline: time.Hour, MinShare: 0.1},
		},
		Models:     map[string]ModelConfig{"m": {Layers: 4, MaxOutput: 8}},
		Services:   map[string]ServiceConfig{"s": {Timeout: time.Second}},
		Workspaces: map[string]WorkspaceConfig{"w": {Weight: 1, DefaultRank: "least", MaxQueued: 1}},
		Limits:     Limits{MaxQueued: 1, RetryRatio: 0.1, StepTimeout: time.Second, PoisonTTL: time.Minute},
	}
}

func TestValidateNamesSectionAndKey(t *testing.T) {
	require.NoError(t, valid().Validate())
	cases := []struct {
		section, key string
		change       func(*Config)
	}{
		{"rank.*", "priority", func(c *Config) { c.Ranks = nil }},
		{"rank.urgent", "min_share", func(c *Config) { c.Ranks[0].MinShare = -1 }},
		{"rank.*", "min_share", func(c *Config) { c.Ranks[0].MinShare = 0.95 }},
		{"rank.least", "priority", func(c *Config) { c.Ranks[0].Name = "least" }},
		{"model.m", "layers", func(c *Config) { c.Models["m"] = ModelConfig{MaxOutput: 1} }},
		{"service.s", "timeout", func(c *Config) { c.Services["s"] = ServiceConfig{} }},
		{"workspace.w", "weight", func(c *Config) { c.Workspaces["w"] = WorkspaceConfig{DefaultRank: "least", MaxQueued: 1} }},
		{"limits", "retry_ratio", func(c *Config) { c.Limits.RetryRatio = 2 }},
		{"limits", "urgent_reserve", func(c *Config) { c.Limits.UrgentReserve = math.NaN() }},
	}
	for _, tc := range cases {
		c := valid()
		tc.change(c)
		var fe *FieldError
		require.ErrorAs(t, c.Validate(), &fe, tc.section)
		require.Equal(t, tc.section, fe.Section)
		require.Equal(t, tc.key, fe.Key)
	}
}
