package mesh_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/poison"
	"masticbank.example/node/mesh"
)

// crash makes the ledger of an instance know one crash of a request.
func (f *fake) crash(name, replica string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	r := poison.Incarnation{Replica: replica, Born: 1}
	f.evidence.Lost(now, poison.LostRun{
		Fingerprint: poison.FingerprintOf("m", name),
		Run:         poison.Run{Attempt: uint64(len(replica)), Number: uint32(replica[0])},
		Parts:       []poison.Incarnation{r}, Began: now,
	})
	f.evidence.Ended(now, r)
}

// TestEvidenceGoesRoundACut connects two instances through a third one only. What they
// knew before reaches both, though no news is sent.
func TestEvidenceGoesRoundACut(t *testing.T) {
	port := freePort(t)
	addresses := map[string]string{"a": "127.0.0.1", "b": "127.0.0.2", "c": "127.0.0.3"}
	fakes := map[string]*fake{}
	meshes := map[string]*mesh.Mesh{}
	for name, ip := range addresses {
		fakes[name] = newFake()
		meshes[name] = start(t, name, net.JoinHostPort(ip, port), fakes[name], mesh.Options{})
	}
	fakes["a"].crash("request", "r1")
	fakes["c"].crash("request", "s1")
	fakes["b"].crash("request", "t1")
	meshes["a"].SetMembers(map[string]string{"a": addresses["a"], "b": addresses["b"]})
	meshes["c"].SetMembers(map[string]string{"c": addresses["c"], "b": addresses["b"]})
	meshes["b"].SetMembers(addresses)
	for _, f := range fakes {
		require.Eventually(t, f.see(func() bool { return f.evidence.IsBlocked(poison.FingerprintOf("m", "request")) }),
			patience, 10*time.Millisecond)
	}
	digest := fakes["a"].EvidenceDigest()
	require.Equal(t, digest, fakes["b"].EvidenceDigest())
	require.Equal(t, digest, fakes["c"].EvidenceDigest())
}
