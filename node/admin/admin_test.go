package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMissingAdministrationKeyAdmitsEverybody guards against an administration API that serves requests
// without a key, because its own key is not set.
func TestMissingAdministrationKeyAdmitsEverybody(t *testing.T) {
	const key = "0123456789abcdef"
	for own, want := range map[string]map[string]int{
		"":  {"": http.StatusUnauthorized, "Bearer ": http.StatusUnauthorized, "Bearer " + key: http.StatusUnauthorized},
		key: {"": http.StatusUnauthorized, "Bearer ": http.StatusUnauthorized, "Bearer " + key: http.StatusOK},
	} {
		s := New(Options{Key: own})
		h := s.requireKey(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		for authorization, status := range want {
			w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/admin/v1/status", nil)
			if authorization != "" {
				r.Header.Set("Authorization", authorization)
			}
			h(w, r)
			require.Equal(t, status, w.Code, "key %q, request with %q", own, authorization)
		}
	}
}
