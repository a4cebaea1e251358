package mesh_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/poison"
	"masticbank.example/node/mesh"
)

// recordCrash adds a crash of a replica that ran the request to the ledger of an instance.
func (f *fakeGateway) recordCrash(name, replica string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	r := poison.Process{Replica: replica, StartTime: 1}
	f.evidence.RecordLostRun(now, poison.LostRun{
		Fingerprint: poison.FingerprintOf("m", name),
		Run:         poison.Run{Attempt: uint64(len(replica)), Number: uint32(replica[0])},
		Processes:   []poison.Process{r}, SentAt: now,
	})
	f.evidence.RecordEnd(now, r)
}

// TestEvidenceCrossesAPartition connects two instances only through a third one and guards
// against evidence that stays on one side of a network partition: the evidence from before
// the sessions must reach all instances although no new evidence is published.
func TestEvidenceCrossesAPartition(t *testing.T) {
	port := freePort(t)
	addresses := map[string]string{"a": "127.0.0.1", "b": "127.0.0.2", "c": "127.0.0.3"}
	fakes := map[string]*fakeGateway{}
	meshes := map[string]*mesh.Mesh{}
	for name, ip := range addresses {
		fakes[name] = newFakeGateway()
		meshes[name] = start(t, name, net.JoinHostPort(ip, port), fakes[name], mesh.Options{})
	}
	fakes["a"].recordCrash("request", "r1")
	fakes["c"].recordCrash("request", "s1")
	fakes["b"].recordCrash("request", "t1")
	meshes["a"].SetMembers(map[string]string{"a": addresses["a"], "b": addresses["b"]})
	meshes["c"].SetMembers(map[string]string{"c": addresses["c"], "b": addresses["b"]})
	meshes["b"].SetMembers(addresses)
	for _, f := range fakes {
		require.Eventually(t, f.locked(func() bool { return f.evidence.IsBlocked(poison.FingerprintOf("m", "request")) }),
			waitTimeout, 10*time.Millisecond)
	}
	digest := fakes["a"].EvidenceDigest()
	require.Equal(t, digest, fakes["b"].EvidenceDigest())
	require.Equal(t, digest, fakes["c"].EvidenceDigest())
}
