package api

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticbank.example/core/config"
)

// keyIndex maps API keys to workspaces.
type keyIndex struct {
	cfg        *config.Config
	workspaces map[string]string // workspace by hex SHA-256 of the key
}

// currentKeyIndex returns the key index of cfg. It is cached until the configuration
// changes.
func (s *Server) currentKeyIndex(cfg *config.Config) *keyIndex {
	if idx := s.keys.Load(); idx != nil && idx.cfg == cfg {
		return idx
	}
	idx := &keyIndex{cfg: cfg, workspaces: map[string]string{}}
	for name, w := range cfg.Workspaces {
		for _, k := range w.KeySHA256 {
			idx.workspaces[k] = name
		}
	}
	s.keys.Store(idx)
	return idx
}

// workspace returns the workspace that the bearer token of an Authorization header
// belongs to.
func (k *keyIndex) workspace(header string) (string, bool) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if key = strings.TrimSpace(key); !ok || key == "" {
		return "", false // an empty text has a hash too, which may be listed
	}
	sum := sha256.Sum256([]byte(key))
	name, ok := k.workspaces[hex.EncodeToString(sum[:])]
	return name, ok
}

// maxDeadlineSeconds is the largest deadline that may be given in seconds.
const maxDeadlineSeconds = 86400

// parseDeadline parses a number of seconds from now or an RFC 3339 time.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if s, err := strconv.ParseFloat(text, 64); err == nil {
		if !(s >= -maxDeadlineSeconds && s <= maxDeadlineSeconds) {
			return time.Time{}, fmt.Errorf("deadline of %q seconds is out of range", text)
		}
		return now.Add(time.Duration(s * float64(time.Second))), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is neither seconds nor a time as in RFC 3339", text)
	}
	return at, nil
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
