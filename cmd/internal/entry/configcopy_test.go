package entry_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform"
)

// All instances ended while the store could not serve the operator's record. They had no
// configuration after the start and refused every request until the record was back, seconds
// later. A copy of the configuration in force must serve meanwhile, and must not outlive the record.
func TestConfigurationIsReadFromACopy(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(3, "")
	plain := env.newReplica("i-1")
	env.publishEntry(plain, "plain", "ready")
	env.start()
	copies := platform.ConfigCopies{Store: platform.NewStore(env.store.Address())}
	defer copies.Store.Close()
	env.eventually(func() bool {
		p, err := copies.Newest(context.Background())
		return err == nil && p != nil && p.Config.Version == 3
	}, "the copy is written")
	require.NoError(t, env.instance.Stop())

	env.store.FailTopic(platform.OperatorTopic, 503)
	env.store.FailTopic("keyed.masticbank-config-1", 503)
	env.start()
	require.Equal(t, 200, env.send("GET", "/look/1", "key1", "x").status)
	require.Equal(t, 401, env.send("GET", "/look/1", "withdrawn", "x").status)

	env.publishConfig(4, `,{"name":"new","host":"h.example","pathPrefix":"/new/","routeKind":"idempotent","timeoutMs":5000,"maxAttempts":2,"service":"plain"}`)
	env.store.FailTopic(platform.OperatorTopic, 0)
	env.eventually(func() bool { return env.send("GET", "/new/1", "key1", "x").status == 200 }, "the record replaces the copy")
}
