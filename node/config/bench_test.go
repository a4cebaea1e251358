package config_test

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	coreconfig "masticbank.example/core/config"
	"masticbank.example/node/config"
	"masticbank.example/node/follower"
)

// configOfSize returns a configuration with five models, ten services and the given
// number of workspaces, each with one key.
func configOfSize(workspaces int) *coreconfig.Config {
	c := &coreconfig.Config{
		Ranks: []coreconfig.RankConfig{
			{Name: "urgent", FirstToken: time.Second, Deadline: 10 * time.Second, MinShare: 0.5},
			{Name: "middle", FirstToken: 2 * time.Second, Deadline: time.Minute, MinShare: 0.2},
			{Name: "least", FirstToken: time.Minute, Deadline: time.Hour, MinShare: 0.1},
		},
		Models:     map[string]coreconfig.ModelConfig{},
		Services:   map[string]coreconfig.ServiceConfig{},
		Workspaces: map[string]coreconfig.WorkspaceConfig{},
		Limits:     coreconfig.Limits{MaxQueued: 4096, RetryRatio: 0.1, StepTimeout: 2 * time.Second, PoisonTTL: 10 * time.Minute},
	}
	for i := range 5 {
		c.Models[fmt.Sprint("model-", i)] = coreconfig.ModelConfig{Layers: 40, Version: "1", MaxOutput: 1024}
	}
	for i := range 10 {
		c.Services[fmt.Sprint("service-", i)] = coreconfig.ServiceConfig{Timeout: 10 * time.Second, IdempotentMethods: []string{"GET", "HEAD"}}
	}
	for i := range workspaces {
		key := sha256.Sum256(fmt.Append(nil, "key-", i))
		c.Workspaces[fmt.Sprintf("workspace-%04d", i)] = coreconfig.WorkspaceConfig{
			KeySHA256: []string{hex.EncodeToString(key[:])}, Weight: float64(1 + i%4), DefaultRank: "middle", MaxQueued: 256,
		}
	}
	return c
}

var workspaceCounts = []int{10, 200, 2000}

// BenchmarkDecode measures decoding one revision, as each instance does on reading it,
// for several numbers of workspaces. It also reports the size of the content and of
// one workspace's entry.
func BenchmarkDecode(b *testing.B) {
	for _, workspaces := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			c := configOfSize(workspaces)
			content, err := follower.EncodeJSON(c)
			if err != nil {
				b.Fatal(err)
			}
			entry, err := json.Marshal(c.Workspaces["workspace-0000"])
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := follower.DecodeJSON(content); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(content)), "content-B")
			b.ReportMetric(float64(len(entry)), "entry-B")
		})
	}
}

// BenchmarkCompressed measures the decompression of a configuration in JSON that was
// compressed with gzip, and its compressed size.
func BenchmarkCompressed(b *testing.B) {
	for _, workspaces := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			content, err := follower.EncodeJSON(configOfSize(workspaces))
			if err != nil {
				b.Fatal(err)
			}
			var packed bytes.Buffer
			w := gzip.NewWriter(&packed)
			if _, err := w.Write(content); err != nil {
				b.Fatal(err)
			}
			if err := w.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				r, err := gzip.NewReader(bytes.NewReader(packed.Bytes()))
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, r); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(packed.Len()), "content-B")
		})
	}
}

// BenchmarkLoadDir measures loading and validating a directory of INI files.
func BenchmarkLoadDir(b *testing.B) {
	for _, workspaces := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			dir := b.TempDir()
			var text bytes.Buffer
			text.WriteString("[rank.middle]\npriority = 0\nfirst_token = 1s\ndeadline = 1m\nmin_share = 0.2\n\n[model.m]\nlayers = 40\nversion = 1\n")
			for name, w := range configOfSize(workspaces).Workspaces {
				fmt.Fprintf(&text, "\n[workspace.%s]\nkey_sha256 = %s\nweight = %g\ndefault_rank = middle\n", name, w.KeySHA256[0], w.Weight)
			}
			if err := os.WriteFile(filepath.Join(dir, "10-all.ini"), text.Bytes(), 0o600); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := config.LoadDir(dir); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
