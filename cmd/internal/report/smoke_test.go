package report

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/cmd/internal/load"
	"masticbank.example/cmd/internal/local"
	"masticbank.example/standin/fleet"
)

// runSmoke runs the chosen flows of the smoke scenario for two seconds against
// stand-ins and two instances.
func runSmoke(t *testing.T, choose func(*load.Flow) bool) *load.Result {
	t.Helper()
	cluster, err := local.Start(local.Options{
		Instances: 2, Spec: fleet.Dev(), Configuration: local.DevConfiguration,
	})
	require.NoError(t, err)
	defer cluster.Close(context.Background())
	s, err := load.ReadScenario("../../../scenarios/smoke.ini")
	require.NoError(t, err)
	phase := &s.Phases[0]
	phase.Duration = 2 * time.Second
	phase.Rates = slices.DeleteFunc(phase.Rates, func(r load.Rate) bool {
		i := slices.IndexFunc(s.Flows, func(f load.Flow) bool { return f.Name == r.Flow })
		return !choose(&s.Flows[i])
	})
	var targets []string
	for _, a := range cluster.Apps {
		targets = append(targets, a.ClientAddr())
	}
	result, err := load.Run(t.Context(), load.Options{
		Scenario: s, Targets: targets, Control: cluster.Fleet.Addresses().Control,
	})
	require.NoError(t, err)
	require.NoError(t, Write(t.TempDir(), result))
	return result
}

// requireNoDefects fails unless every response is correct or refused as not run,
// and agrees with the records of the stand-ins.
func requireNoDefects(t *testing.T, result *load.Result) {
	t.Helper()
	all := result.Whole.All
	require.Empty(t, result.Defects(), "%+v", all.Details)
	require.Positive(t, all.Outcomes[load.Completed])
	require.Equal(t, all.Requests, all.Outcomes[load.Completed]+all.Outcomes[load.Refused], "%+v", all)
}

func TestSmokeModels(t *testing.T) {
	t.Parallel()
	requireNoDefects(t, runSmoke(t, func(f *load.Flow) bool { return f.Kind == load.Chat || f.Kind == load.Completion }))
}

// Orders are recorded once, although half of them are sent a second time through
// the other instance.
func TestSmokeOrders(t *testing.T) {
	t.Parallel()
	result := runSmoke(t, func(f *load.Flow) bool { return f.Kind == load.Order || f.Kind == load.Query })
	requireNoDefects(t, result)
	require.Positive(t, result.Checks.OrdersRecorded)
}
