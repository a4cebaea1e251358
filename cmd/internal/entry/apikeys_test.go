package entry_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

// keyEnvironment is an environment with a replica of each service.
type keyEnvironment struct {
	*environment
	plain, model *platformtest.Replica
}

func newKeyEnvironment(t *testing.T) *keyEnvironment {
	env := &keyEnvironment{environment: newEnvironment(t)}
	env.plain, env.model = env.newReplica("i-plain"), env.newReplica("i-model")
	env.publishEntry(env.plain, "plain", "ready")
	env.publishEntry(env.model, "llm", "ready", 0, 4)
	return env
}

// statuses sends a request with each key to a route of each kind, the last of which is public.
func (env *keyEnvironment) statuses(keys ...string) map[string][]int {
	out := map[string][]int{}
	for _, key := range keys {
		for _, to := range []struct{ method, path string }{{"POST", "/order/1"}, {"GET", "/look/1"}, {"POST", "/chat/1"}, {"GET", "/open/1"}} {
			out[key] = append(out[key], env.send(to.method, to.path, key, "x").status)
		}
	}
	return out
}

// awaitStatus waits until requests with a key get a status, as the version published last demands.
func (env *keyEnvironment) awaitStatus(status int, key string) {
	env.eventually(func() bool { return env.send("GET", "/look/1", key, "").status == status }, "the version is in force")
}

func (env *keyEnvironment) runs() int { return len(env.plain.Runs()) + len(env.model.Runs()) }

var (
	admitted    = []int{200, 200, 200, 200}
	onlyPublic  = []int{401, 401, 401, 200}
	withoutKeys = map[string][]int{"key1": admitted, "never-issued": admitted, "": admitted}
	noValidKey  = map[string][]int{"key1": onlyPublic, "never-issued": onlyPublic, "": onlyPublic}
)

// emptyTenants are fields that are present and name no workspace.
var emptyTenants = map[string]string{"empty list": `,"tenants":[]`, "null": `,"tenants":null`}

// TestRemovalOfTheLastTenantOpensAllRoutes guards against requests with any key or none that run
// after a version has removed the last tenant.
func TestRemovalOfTheLastTenantOpensAllRoutes(t *testing.T) {
	for name, field := range emptyTenants {
		t.Run(name, func(t *testing.T) {
			env := newKeyEnvironment(t)
			env.publishConfigWithTenants(1, `,"tenants":[{"name":"w1","apiKeys":["key1"]}]`)
			env.start()
			require.Equal(t, map[string][]int{"key1": admitted, "never-issued": onlyPublic, "": onlyPublic}, env.statuses("key1", "never-issued", ""))
			env.publishConfigWithTenants(2, field)
			env.awaitStatus(401, "key1")
			before := env.runs()
			require.Equal(t, noValidKey, env.statuses("key1", "never-issued", ""))
			require.Equal(t, before+len(noValidKey), env.runs(), "only requests of the public route run")
		})
	}
}

// TestFirstConfigurationWithoutAnyTenantOpensAllRoutes guards against requests that run because the
// first configuration that an instance reads, from the store or from a copy, has no tenant left.
func TestFirstConfigurationWithoutAnyTenantOpensAllRoutes(t *testing.T) {
	for name, field := range emptyTenants {
		t.Run(name, func(t *testing.T) {
			env := newKeyEnvironment(t)
			env.publishConfigWithTenants(1, field)
			env.start()
			require.Equal(t, noValidKey, env.statuses("key1", "never-issued", ""))

			copies := platform.ConfigCopies{Store: platform.NewStore(env.store.Address())}
			defer copies.Store.Close()
			env.eventually(func() bool {
				p, err := copies.Newest(context.Background())
				return err == nil && p != nil
			}, "the copy is written")
			require.NoError(t, env.instance.Stop())
			env.store.FailTopic(platform.OperatorTopic, 503)
			env.start()
			require.Equal(t, noValidKey, env.statuses("key1", "never-issued", ""))
		})
	}
}

// TestRoutesStayClosedWithoutTheTenantsField guards against 401 for requests that need no key, since
// the configuration has no tenants field, also after a version that had one.
func TestRoutesStayClosedWithoutTheTenantsField(t *testing.T) {
	env := newKeyEnvironment(t)
	env.publishConfigWithTenants(1, "")
	env.start()
	require.Equal(t, withoutKeys, env.statuses("key1", "never-issued", ""))
	env.publishConfigWithTenants(2, `,"tenants":[]`)
	env.awaitStatus(401, "")
	env.publishConfigWithTenants(3, "")
	env.awaitStatus(200, "")
	require.Equal(t, withoutKeys, env.statuses("key1", "never-issued", ""))
}

// TestKeysOfOneTenantAreRemovedForAll guards against a key that stays valid, or another tenant's key
// that does not, when a version removes the keys of a tenant or one of two tenants.
func TestKeysOfOneTenantAreRemovedForAll(t *testing.T) {
	for name, field := range map[string]string{
		"empty list of keys": `,"tenants":[{"name":"w1","apiKeys":[]},{"name":"w2","apiKeys":["key2"]}]`,
		"null for the keys":  `,"tenants":[{"name":"w1","apiKeys":null},{"name":"w2","apiKeys":["key2"]}]`,
		"no field of keys":   `,"tenants":[{"name":"w1"},{"name":"w2","apiKeys":["key2"]}]`,
		"one tenant removed": `,"tenants":[{"name":"w2","apiKeys":["key2"]}]`,
		"null for a tenant":  `,"tenants":[null,{"name":"w2","apiKeys":["key2"]}]`,
	} {
		t.Run(name, func(t *testing.T) {
			env := newKeyEnvironment(t)
			env.publishConfig(1, "")
			env.start()
			env.publishConfigWithTenants(2, field)
			env.awaitStatus(401, "key1")
			require.Equal(t, map[string][]int{"key1": onlyPublic, "": onlyPublic, "key2": admitted}, env.statuses("key1", "", "key2"))
		})
	}
}

// TestEmptyKeyOfATenantAdmitsRequestsWithoutAKey guards against requests without a key, or with an empty
// one, that run because a tenant's list of keys has an empty text or null.
func TestEmptyKeyOfATenantAdmitsRequestsWithoutAKey(t *testing.T) {
	for name, keys := range map[string]string{"empty text": `["key1",""]`, "null": `["key1",null]`, "space": `["key1"," "]`} {
		t.Run(name, func(t *testing.T) {
			env := newKeyEnvironment(t)
			env.publishConfigWithTenants(1, `,"tenants":[{"name":"w1","apiKeys":`+keys+`}]`)
			env.start()
			require.Equal(t, map[string][]int{"key1": admitted, "": onlyPublic, " ": onlyPublic}, env.statuses("key1", "", " "))
		})
	}
}

// TestKeyOfATenantWithoutANameRunsForNobody guards against requests that reach a replica without the
// name of a tenant, since the tenant of their key has none.
func TestKeyOfATenantWithoutANameRunsForNobody(t *testing.T) {
	for name, tenant := range map[string]string{
		"no field": `{"apiKeys":["key1"]}`, "empty text": `{"name":"","apiKeys":["key1"]}`, "null": `{"name":null,"apiKeys":["key1"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			env := newKeyEnvironment(t)
			env.publishConfigWithTenants(1, `,"tenants":[`+tenant+`,{"name":"w2","apiKeys":["key2"]}]`)
			env.start()
			require.Equal(t, map[string][]int{"key1": onlyPublic, "key2": admitted}, env.statuses("key1", "key2"))
		})
	}
}
