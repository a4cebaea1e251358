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

// keyIndex finds the workspace of an API key.
type keyIndex struct {
	cfg    *config.Config
	owners map[string]string // workspace by hex SHA-256 of the key
}

// index returns the index of cfg; it is rebuilt when the configuration changes.
func (s *Server) index(cfg *config.Config) *keyIndex {
	if idx := s.keys.Load(); idx != nil && idx.cfg == cfg {
		return idx
	}
	idx := &keyIndex{cfg: cfg, owners: map[string]string{}}
	for name, w := range cfg.Workspaces {
		for _, k := range w.KeySHA256 {
			idx.owners[k] = name
		}
	}
	s.keys.Store(idx)
	return idx
}

// workspace returns the workspace of an Authorization header.
func (k *keyIndex) workspace(header string) (string, bool) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(key)))
	name, ok := k.owners[hex.EncodeToString(sum[:])]
	return name, ok
}

// maxDeadlineSeconds bounds deadlines given in seconds.
const maxDeadlineSeconds = 86400

// parseDeadline reads seconds from now, or a time as in RFC 3339.
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
