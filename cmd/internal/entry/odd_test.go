package entry_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

// putOddEntries publishes entries of another writer, none of which names a usable replica.
func (env *environment) putOddEntries() {
	const entry = `{"service":"plain","address":%s,"zone":"z","slots":%s,"state":"ready","sequence":%s,"born":%s,"layers":%s}`
	const address, none = `"127.0.0.1:9"`, "null"
	deep := strings.Repeat("[", 100_000)
	for i, value := range []string{
		deep, deep + strings.Repeat("]", 100_000), strings.Repeat(`{"a":`, 9_000) + "1" + strings.Repeat("}", 9_000), "\xff", "null", "1e309",
		fmt.Sprintf(entry, `"127.0.0.1:99999"`, "1", "1", "1", none),
		fmt.Sprintf(entry, `"127.0.0.1:0"`, "1", "1", "1", none),
		fmt.Sprintf(entry, `"replica.invalid:80"`, "1", "1", "1", none),
		fmt.Sprintf(entry, `"[fe80::1%lo]:80"`, "1", "1", "1", none),
		fmt.Sprintf(entry, address, "1e308", "1", "1", none),
		fmt.Sprintf(entry, address, "1", "1e19", "1", none),
		fmt.Sprintf(entry, address, "1", "1", "1e19", none),
		fmt.Sprintf(entry, address, "1", "1", "1", `{"from":0,"target":9223372036854775807}`),
		fmt.Sprintf(entry, address, "1", "1", "1", deep),
		fmt.Sprintf(entry, fmt.Sprintf("%q", strings.Repeat("x", 200_000)), "1", "1", "1", none),
	} {
		env.store.Put(platform.ReplicaTopic, fmt.Sprintf("odd-%d", i), []byte(value))
	}
	env.store.Put(platform.ReplicaTopic, "i-\xff", fmt.Appendf(nil, entry, address, "1", "1", "1", none))
	env.store.Put(platform.ReplicaTopic, "i-\xfe", nil)
}

// TestOddEntriesStopTheInstance guards against entries of another writer that end the instance,
// keep it from becoming ready or from following later changes, or get requests.
func TestOddEntriesStopTheInstance(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	// Of two replicas that respond equally fast the one with the lower ID is used.
	a, b := env.newReplica("i-z"), env.newReplica("i-b")
	env.putOddEntries()
	env.publishEntry(a, "plain", "ready")
	env.start()
	require.Equal(t, 200, env.send("POST", "/order/1", "key1", "").status)

	env.putOddEntries()
	env.store.Put(platform.ReplicaTopic, a.ID, []byte(strings.Repeat("[", 100_000)))
	env.publishEntry(b, "plain", "ready")
	env.eventually(func() bool {
		require.Equal(t, 200, env.send("POST", "/order/2", "key1", "").status, "the last good entry stays")
		return len(b.Runs()) > 0
	}, "the new replica is used")
	env.publishEntry(a, "plain", "draining")
	env.eventually(func() bool {
		before := len(a.Runs())
		for range 4 {
			require.Equal(t, 200, env.send("POST", "/order/3", "key1", "").status)
		}
		return len(a.Runs()) == before
	}, "the draining replica gets no new requests")

	env.store.DeleteHistory(platform.ReplicaTopic)
	env.putOddEntries()
	env.publishEntry(b, "plain", "draining")
	env.eventually(func() bool { return env.send("POST", "/order/4", "key1", "").status == 503 }, "no replica is left")
}

// TestLayersOutsideTheModelStopTheInstance guards against a leader that ends when it plans with the
// layers of an entry that names more than the model has.
func TestLayersOutsideTheModelStopTheInstance(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	// The first layers have one holder, so that the leader has something to improve.
	odd := env.newReplica("i-odd")
	env.publishEntry(odd, "llm", "ready", 2, 5)
	replicas := []*platformtest.Replica{odd}
	for i, from := range []int{0, 2, 2} {
		r := env.newReplica(fmt.Sprintf("i-%d", i))
		env.publishEntry(r, "llm", "ready", from, from+2)
		replicas = append(replicas, r)
	}
	env.start()
	env.eventually(func() bool {
		return slices.ContainsFunc(replicas, func(r *platformtest.Replica) bool { return len(r.Orders()) > 0 })
	}, "the leader assigns layers")
	require.Equal(t, completeStream(), env.send("POST", "/chat/1", "key1", "prompt").body)
}

// TestHeartbeatTooLargeHidesLaterEntries guards against an odd entry under the ID of a sound replica
// that counts more heartbeats than the replica ever will: all that the replica says later would be
// taken for outdated.
func TestHeartbeatTooLargeHidesLaterEntries(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a := env.newReplica("i-a")
	env.publishEntry(a, "plain", "ready")
	env.start()
	const tooLarge = 1e18
	env.store.PutJSON(platform.ReplicaTopic, a.ID, a.Entry("plain", "z", "ready", env.startTime, tooLarge))
	calls := env.store.Calls("/-/log-read")
	env.eventually(func() bool { return env.store.Calls("/-/log-read") > calls+4 }, "the odd entry is read")
	env.publishEntry(a, "plain", "draining")
	env.eventually(func() bool { return env.send("GET", "/look/1", "key1", "").status == 503 }, "the draining replica gets no new requests")
}

// TestOddEntryEndsASoundReplicaWhenAllIsRead guards against treating a replica as gone because its
// newest entry cannot be read when the whole list is read again.
func TestOddEntryEndsASoundReplicaWhenAllIsRead(t *testing.T) {
	env := newEnvironment(t)
	env.publishConfig(1, "")
	a := env.newReplica("i-a")
	env.publishEntry(a, "plain", "ready")
	env.start()
	env.store.Put(platform.ReplicaTopic, a.ID, []byte("{"))
	pages := env.store.FullReads()
	env.store.DeleteHistory(platform.ReplicaTopic)
	env.eventually(func() bool { return env.store.FullReads() > pages }, "the whole list is read again")
	calls := env.store.Calls("/-/log-read")
	env.eventually(func() bool { return env.store.Calls("/-/log-read") > calls+4 }, "the list is followed")
	require.Equal(t, 200, env.send("GET", "/look/1", "key1", "").status, "the last good entry stays")
	env.store.Put(platform.ReplicaTopic, a.ID, nil)
	env.eventually(func() bool { return env.send("GET", "/look/1", "key1", "").status == 503 }, "a removed entry does not stay")
}
