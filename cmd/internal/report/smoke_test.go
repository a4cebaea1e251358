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

// runSmoke runs the chosen flows of the committed short scenario, for two
// seconds, against stand-ins and two instances.
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
		targets = append(targets, a.CallerAddr())
	}
	result, err := load.Run(t.Context(), load.Options{
		Scenario: s, Targets: targets, Control: cluster.Fleet.Addresses().Control,
	})
	require.NoError(t, err)
	require.NoError(t, Write(t.TempDir(), result))
	return result
}

// requireSound fails unless every answer is right or refused as not run, and
// agrees with what the stand-ins saw.
func requireSound(t *testing.T, result *load.Result) {
	t.Helper()
	all := result.Whole.All
	require.Empty(t, result.Defects(), "%+v", all.Details)
	require.Positive(t, all.Outcomes[load.Completed])
	require.Equal(t, all.Requests, all.Outcomes[load.Completed]+all.Outcomes[load.Refused], "%+v", all)
}

func TestSmokeModels(t *testing.T) {
	t.Parallel()
	requireSound(t, runSmoke(t, func(f *load.Flow) bool { return f.Kind == load.Chat || f.Kind == load.Completion }))
}

// Orders, half of them sent again through the other instance, are recorded once.
func TestSmokeOrders(t *testing.T) {
	t.Parallel()
	result := runSmoke(t, func(f *load.Flow) bool { return f.Kind == load.Order || f.Kind == load.Query })
	requireSound(t, result)
	require.Positive(t, result.Checks.OrdersRecorded)
}
