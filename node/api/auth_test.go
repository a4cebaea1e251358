package api

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/config"
)

// TestHashOfTheEmptyKeyAdmitsRequestsWithoutAKey guards against a workspace that lists the hash of an empty
// text, and that requests with an empty key then belong to.
func TestHashOfTheEmptyKeyAdmitsRequestsWithoutAKey(t *testing.T) {
	hash := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	s := &Server{}
	keys := s.currentKeyIndex(&config.Config{Workspaces: map[string]config.WorkspaceConfig{"w": {KeySHA256: []string{hash("k"), hash(""), ""}}}})
	name, ok := keys.workspace("Bearer k")
	require.True(t, ok)
	require.Equal(t, "w", name)
	for _, header := range []string{"", "Bearer", "Bearer ", "Bearer  ", "k", "Basic k", "Bearer unknown"} {
		_, ok := keys.workspace(header)
		require.False(t, ok, "%q", header)
	}
	for _, none := range []map[string]config.WorkspaceConfig{nil, {}, {"w": {}}, {"w": {KeySHA256: []string{}}}} {
		_, ok := s.currentKeyIndex(&config.Config{Workspaces: none}).workspace("Bearer k")
		require.False(t, ok, "without keys nobody is admitted")
	}
}
