package soak

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStuckReloadHoldsAStop guards against a SIGTERM that waits for a reload of the settings, which
// were read from a volume that does not respond.
func TestStuckReloadHoldsAStop(t *testing.T) {
	env, err := newEnvironment(buildProgram(t), t.TempDir())
	require.NoError(t, err)
	defer env.close()
	_, err = env.startInstances(t.Context(), NewRecorder())
	require.NoError(t, err)
	p := env.processes[0]
	require.NoError(t, os.Remove(p.settings))
	require.NoError(t, syscall.Mkfifo(p.settings, 0o600))
	// Opening a pipe for writing waits until it is open for reading.
	volume, err := os.OpenFile(p.settings, os.O_WRONLY, 0)
	require.NoError(t, err)
	defer func() { _ = volume.Close() }()
	p.signal(syscall.SIGHUP)
	require.True(t, p.stop(syscall.SIGTERM), "exited within its grace time")
}
