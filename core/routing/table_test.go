package routing_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/routing"
)

func table() *routing.Table {
	return routing.NewTable(&routing.Config{
		Version: 3,
		Routes: []routing.Route{
			{Name: "all", Host: "A.example", PathPrefix: "/"},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
			{Name: "short", Host: "a.example", PathPrefix: "/x/"},
			{Name: "other", Host: "b.example", PathPrefix: "/x/"},
		},
		Workspaces: []routing.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
		Services:   []routing.Service{{Name: "s"}},
	})
}

func TestLongestPrefixOfTheHost(t *testing.T) {
	tab := table()
	for path, want := range map[string]string{"/x/y/z": "long", "/x/y": "short", "/x/": "short", "/x": "all", "/": "all"} {
		require.Equal(t, want, tab.Route("a.example:80", path).Name, path)
	}
	require.Equal(t, "other", tab.Route("B.EXAMPLE", "/x/1").Name)
	require.Nil(t, tab.Route("b.example", "/y/"))
	require.Nil(t, tab.Route("c.example", "/"))
}

func TestKeys(t *testing.T) {
	tab := table()
	require.True(t, tab.RequiresAPIKeys())
	require.Equal(t, "w", tab.Workspace("k2").Name)
	require.Nil(t, tab.Workspace(""))
	require.NotNil(t, tab.Service("s"))
	require.Nil(t, tab.Service("t"))
}

// TestConfigurationWithoutWorkspacesAdmitsEverybody guards against routes that require no key because
// there is no workspace that could have one.
func TestConfigurationWithoutWorkspacesAdmitsEverybody(t *testing.T) {
	require.True(t, routing.NewTable(&routing.Config{Version: 1}).RequiresAPIKeys())
	require.True(t, routing.NewTable(&routing.Config{Version: 1, Workspaces: []routing.Workspace{}}).RequiresAPIKeys())
	require.False(t, routing.NewTable(&routing.Config{Version: 1, Anonymous: true}).RequiresAPIKeys())
}

// TestEmptyKeyAdmitsRequestsWithoutAKey guards against a workspace whose list of keys has an empty one,
// and which all requests without a key then belong to.
func TestEmptyKeyAdmitsRequestsWithoutAKey(t *testing.T) {
	tab := routing.NewTable(&routing.Config{Version: 1, Workspaces: []routing.Workspace{{Name: "w", Keys: []string{"", "k"}}}})
	require.Nil(t, tab.Workspace(""))
	require.NotNil(t, tab.Workspace("k"))
}

// TestKeyOfAWorkspaceWithoutANameIsValid guards against requests that run for nobody, since the workspace
// of their key has no name.
func TestKeyOfAWorkspaceWithoutANameIsValid(t *testing.T) {
	tab := routing.NewTable(&routing.Config{Version: 1, Workspaces: []routing.Workspace{{Keys: []string{"k1"}}, {Name: "w", Keys: []string{"k2"}}}})
	require.Nil(t, tab.Workspace("k1"))
	require.Equal(t, "w", tab.Workspace("k2").Name)
}

// TestRouteWithoutAPrefixMatchesAllPaths guards against requests that match no published prefix and are
// sent to the service of a route whose prefix or host is empty.
func TestRouteWithoutAPrefixMatchesAllPaths(t *testing.T) {
	tab := routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{
		{Name: "no prefix", Host: "a.example"}, {Name: "no host", PathPrefix: "/"}, {}, {Name: "x", Host: "a.example", PathPrefix: "/x/"},
	}})
	for _, host := range []string{"a.example", "", ":80"} {
		for _, path := range []string{"", "*", "/", "/y/"} {
			require.Nil(t, tab.Route(host, path), "%q %q", host, path)
		}
	}
	require.Equal(t, "x", tab.Route("a.example", "/x/1").Name)
}

func TestPickByWeight(t *testing.T) {
	r := routing.Route{Targets: []routing.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	require.Equal(t, "a", r.PickService(0))
	require.Equal(t, "a", r.PickService(0.89))
	require.Equal(t, "b", r.PickService(0.91))
	require.Empty(t, (&routing.Route{}).PickService(0.5))
	none := routing.Route{Targets: []routing.Target{{Service: "a"}}}
	require.Empty(t, none.PickService(0.5))
}

// TestRoundingSendsRequestsToATargetWithoutAWeight guards against a service without a share that gets the
// requests for which the sum of the others' weights falls short by rounding.
func TestRoundingSendsRequestsToATargetWithoutAWeight(t *testing.T) {
	r := routing.Route{Targets: []routing.Target{{Service: "a", Weight: 0.7}, {Service: "b", Weight: 2.1000000000000005}, {Service: "c"}}}
	require.Equal(t, "b", r.PickService(math.Nextafter(1, 0)))
	r.Targets = append(r.Targets, routing.Target{Service: "d", Weight: -1})
	require.Equal(t, "a", r.PickService(0))
	require.Equal(t, "b", r.PickService(math.Nextafter(1, 0)))
}

func TestRepeatable(t *testing.T) {
	require.True(t, (&routing.Route{Kind: routing.Idempotent}).Repeatable())
	require.False(t, (&routing.Route{Kind: routing.NonIdempotent, Resumable: true}).Repeatable())
	require.False(t, (&routing.Route{Kind: routing.Streaming}).Repeatable())
	require.True(t, (&routing.Route{Kind: routing.Streaming, Resumable: true}).Repeatable())
}
