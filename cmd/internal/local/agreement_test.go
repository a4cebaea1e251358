package local

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/cmd/internal/trial"
	"masticbank.example/node/app"
	"masticbank.example/standin/fleet"
	"masticbank.example/standin/logservice"
)

// startThree starts three instances.
func startThree(t *testing.T) *Cluster {
	t.Helper()
	t.Parallel()
	d, err := Start(Options{Instances: 3, Spec: fleet.Dev(), Configuration: DevConfiguration})
	require.NoError(t, err)
	t.Cleanup(func() {
		require.Empty(t, d.Fleet.Violations())
		d.Close(context.Background())
	})
	return d
}

// trial returns the instances as package trial names them.
func (d *Cluster) trial(apps ...*app.App) *trial.Cluster {
	c := &trial.Cluster{AdminKey: AdminKey, Key: Key, Control: d.Fleet.Addresses().Control}
	for _, a := range apps {
		c.Instances = append(c.Instances, trial.Instance{Caller: a.CallerAddr(), Admin: "http://" + a.AdminAddr()})
	}
	return c
}

// TestRacingOperators lets an operator at each instance publish on the same
// base at once, round after round.
func TestRacingOperators(t *testing.T) {
	d := startThree(t)
	const proposals = 60
	out, err := d.trial(d.Apps...).Race(context.Background(), proposals)
	require.NoError(t, err)
	require.Empty(t, out.Defects())
	require.Equal(t, proposals, out.Won+out.Lost+out.Undecided)
	require.LessOrEqual(t, out.Won, out.Rounds)
}

// TestInstanceStartedWhileLogIsAway adds an instance that can get the newest
// configuration from its peers only.
func TestInstanceStartedWhileLogIsAway(t *testing.T) {
	d := startThree(t)
	published, err := d.trial(d.Apps...).Publish(context.Background(), 2)
	require.NoError(t, err)
	require.Zero(t, published.Reversions)
	newest := d.Apps[0].Status().Revision
	d.Log.SetFaults(logservice.Faults{Down: true})
	defer d.Log.SetFaults(logservice.Faults{})

	added, err := d.Add()
	require.NoError(t, err)
	require.NoError(t, WaitReady(added.AdminAddr()))
	require.Equal(t, newest, added.Status().Revision)
	want, _ := d.Apps[0].Config()
	got, _ := added.Config()
	require.Equal(t, want, got)
	r := d.doOn(t, added.CallerAddr(), http.MethodPost, "/v1/completions", `{"model":"dev","prompt":"p","max_tokens":3}`)
	require.Equal(t, http.StatusOK, r.status, string(r.body))
}

// TestInstanceReplacedUnderLoad stops one of three instances while each has
// streams in progress, and starts another. No answer may be cut or lost.
func TestInstanceReplacedUnderLoad(t *testing.T) {
	d := startThree(t)
	successor, err := d.Add()
	require.NoError(t, err)
	require.NoError(t, WaitReady(successor.AdminAddr()))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	result := make(chan *trial.LoadResult, 1)
	go func() {
		result <- d.trial(d.Apps...).Load(ctx, trial.LoadOptions{
			Model: "dev", Layers: 12, Tokens: 24, Callers: 8, KeepAlive: true,
		})
	}()
	leaving := d.Apps[0]
	require.Eventually(t, func() bool { return leaving.Status().InFlight > 0 }, readyTimeout, time.Millisecond)
	bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	// An instance can be stopped once.
	d.Apps = d.Apps[1:]
	require.NoError(t, leaving.Stop(bounded))
	require.Eventually(t, func() bool { return successor.Status().InFlight > 0 }, readyTimeout, time.Millisecond)
	stop()
	out := <-result
	require.Empty(t, out.Defects(), "%+v", out)
	require.Positive(t, out.Completed)
}
