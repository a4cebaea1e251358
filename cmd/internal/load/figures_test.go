package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/node/config"
	"masticbank.example/standin/fleet"
)

// The arrivals of a flow form a Poisson process that depends on the seed and on
// that flow only.
func TestSchedule(t *testing.T) {
	const text = `
[scenario]
seed = %d
targets = a
model = dev
[workspace.w]
key = k
[workspace.large]
key = l
[flow.f]
workspaces = w, large:20
[flow.g]
workspaces = w
[phase.only]
duration = 100s
rate.f = 40
rate.g = %d
`
	s := parseTestScenario(t, fmt.Sprintf(text, 1, 5))
	first := s.schedule()
	require.Equal(t, flowTimes(first, "f"), flowTimes(parseTestScenario(t, fmt.Sprintf(text, 1, 9)).schedule(), "f"))
	require.NotEqual(t, flowTimes(first, "f"), flowTimes(parseTestScenario(t, fmt.Sprintf(text, 2, 5)).schedule(), "f"))

	times := flowTimes(first, "f")
	const mean, sigmas = 4000.0, 5
	require.InDelta(t, mean, len(times), sigmas*math.Sqrt(mean))
	sum, squares := 0.0, 0.0
	for i := 1; i < len(times); i++ {
		gap := (times[i] - times[i-1]).Seconds()
		sum += gap
		squares += gap * gap
	}
	n := float64(len(times) - 1)
	deviation := math.Sqrt(squares/n - (sum/n)*(sum/n))
	require.InDelta(t, 1, deviation/(sum/n), 0.1, "exponentially distributed intervals have a coefficient of variation of 1")

	large := 0
	for _, a := range first {
		if a.flow.Name == "f" && a.workspace == "large" {
			large++
		}
	}
	require.InDelta(t, 20.0/21, float64(large)/float64(len(times)), 0.02)
}

func flowTimes(all []arrival, flow string) []time.Duration {
	var out []time.Duration
	for _, a := range all {
		if a.flow.Name == flow {
			out = append(out, a.at)
		}
	}
	return out
}

// Max-min shares use the whole capacity and exceed no demand, and a share below its
// demand is at least as large as every other share. Jain's index is 1 at these
// shares.
func TestMaxMinAndJain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SliceOfN(rapid.Float64Range(1, 100), 1, 8).Draw(t, "demand")
		total := 0.0
		for _, d := range demand {
			total += d
		}
		capacity := rapid.Float64Range(1, total).Draw(t, "capacity")
		allocated := 0.0
		workspaces := map[string]Group{}
		shares := maxMinShares(demand, capacity)
		for i, s := range shares {
			allocated += s
			require.LessOrEqual(t, s, demand[i]+epsilon)
			for _, other := range shares {
				require.True(t, s >= demand[i]-epsilon || s >= other-epsilon)
			}
			workspaces[fmt.Sprint(i)] = Group{DemandTokens: int(demand[i]), GoodTokens: int(s)}
		}
		require.InDelta(t, capacity, allocated, 1e-6)
		one := map[string]Group{
			"a": {DemandTokens: 100, GoodTokens: 40}, "b": {DemandTokens: 10, GoodTokens: 10},
			"c": {DemandTokens: 2000, GoodTokens: 40},
		}
		require.InDelta(t, 1, jainIndex(one), epsilon)
		require.LessOrEqual(t, jainIndex(workspaces), 1+epsilon)
	})
	starved := map[string]Group{
		"large": {DemandTokens: 2000, GoodTokens: 100}, "small": {DemandTokens: 100, GoodTokens: 0},
	}
	require.InDelta(t, 0.5, jainIndex(starved), epsilon)
}

// For two variables the simplex method agrees with an exhaustive search of all
// corners.
func TestMaximizeMatchesCornerSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Float64Range(0.1, 10)
		value := []float64{number.Draw(t, "v0"), number.Draw(t, "v1")}
		uses := [][]float64{{1, 0}, {0, 1}}
		limit := []float64{number.Draw(t, "l0"), number.Draw(t, "l1")}
		for range rapid.IntRange(0, 4).Draw(t, "rows") {
			uses = append(uses, []float64{number.Draw(t, "u0"), number.Draw(t, "u1")})
			limit = append(limit, number.Draw(t, "l"))
		}
		best := 0.0
		for _, corner := range corners(uses, limit) {
			if feasible(uses, limit, corner) {
				best = max(best, value[0]*corner[0]+value[1]*corner[1])
			}
		}
		require.InDelta(t, best, maximize(value, uses, limit), 1e-6*(1+best))
	})
}

// corners returns the intersections of all pairs of constraints and axes.
func corners(uses [][]float64, limit []float64) [][2]float64 {
	uses = append([][]float64{{1, 0}, {0, 1}}, uses...)
	limit = append([]float64{0, 0}, limit...)
	var out [][2]float64
	for i := range uses {
		for j := range i {
			det := uses[i][0]*uses[j][1] - uses[i][1]*uses[j][0]
			if math.Abs(det) < 1e-12 {
				continue
			}
			out = append(out, [2]float64{
				(limit[i]*uses[j][1] - uses[i][1]*limit[j]) / det,
				(uses[i][0]*limit[j] - limit[i]*uses[j][0]) / det,
			})
		}
	}
	return out
}

func feasible(uses [][]float64, limit []float64, x [2]float64) bool {
	if x[0] < -epsilon || x[1] < -epsilon {
		return false
	}
	for i := range uses {
		if uses[i][0]*x[0]+uses[i][1]*x[1] > limit[i]+1e-7 {
			return false
		}
	}
	return true
}

// With a single pipeline the bound is that of the range with the fewest slots.
func TestBoundOfOnePipeline(t *testing.T) {
	spec := fleet.Dev()
	m := spec.Models[0]
	const prompt, output = 100.0, 20.0
	slots, seconds := math.Inf(1), 0.0
	for _, r := range m.Ranges {
		layers := float64(r.Last - r.First + 1)
		seconds += prompt * layers / r.Accelerator.PrefillTokensPerSecond
		seconds += (output - 1) * layers * r.Accelerator.StepPerLayer.Seconds()
		slots = min(slots, float64(r.Accelerator.Slots*len(r.Zones)))
	}
	require.InEpsilon(t, slots*output/seconds, modelThroughputBound(m, prompt, output), 1e-9)
}

func TestRecovery(t *testing.T) {
	points := make([]Point, 30)
	for i := range points {
		points[i].GoodTokens = 100
	}
	require.Zero(t, recoverySeconds(points, 10))
	for i := 10; i < 14; i++ {
		points[i].GoodTokens = 0
	}
	require.InDelta(t, 4, recoverySeconds(points, 10), 0)
	for i := 10; i < 30; i++ {
		points[i].GoodTokens = 80
	}
	require.InDelta(t, -1, recoverySeconds(points, 10), 0)
}

// The scenarios in the repository are valid and short enough to run.
func TestCommittedScenarios(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		s, err := ReadScenario(file)
		require.NoError(t, err)
		require.NotEmpty(t, s.schedule(), file)
		require.LessOrEqual(t, s.Duration(), 3*time.Minute, file)
		require.Positive(t, s.throughputBound(samplesOf(s)), file)
	}
}

func samplesOf(s *Scenario) []*sample {
	var out []*sample
	for _, a := range s.schedule() {
		out = append(out, &sample{arrival: &a})
	}
	return out
}

func TestParseErrorsNameSectionAndKey(t *testing.T) {
	const rest = "\n[workspace.w]\nkey = k\n[flow.f]\nworkspaces = w\n[phase.p]\nduration = 1s\n"
	for text, want := range map[string]ParseError{
		"[scenario]\nmodel = m\nspeed = 1" + rest:           {Section: "scenario", Key: "speed"},
		"[scenario]\nmodel = m\ntimeout = x" + rest:         {Section: "scenario", Key: "timeout"},
		"[scenario]\nmodel = m" + rest + "rate.x = 1":       {Section: "phase.p", Key: "rate.x"},
		"[scenario]" + rest:                                 {Section: "flow.f", Key: "kind"},
		"[scenario]\nmodel = m" + rest + "[other]\na = b":   {Section: "other"},
		"[scenario]\nmodel = m\nfleet = none" + rest:        {Section: "scenario", Key: "fleet"},
		"[scenario]\nmodel = m" + rest + "rate.f = 2000000": {Section: "scenario"},
		"[scenario]\nmodel = m\nmax_in_flight = 0" + rest:   {Section: "scenario", Key: "max_in_flight"},
		"[scenario]\nmodel = m" + rest + "[flow.g]\nworkspaces = w\nprompt_bytes = 9-99999999": {
			Section: "flow.g", Key: "prompt_bytes",
		},
	} {
		_, err := ParseScenario("x.ini", []byte(text))
		var got *ParseError
		require.ErrorAs(t, err, &got, text)
		require.Equal(t, "x.ini", got.File)
		require.Equal(t, want.Section, got.Section, text)
		require.Equal(t, want.Key, got.Key, text)
	}
	_, err := ReadScenario(filepath.Join(t.TempDir(), "none.ini"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

// The configurations in the repository are valid and contain the API keys, models
// and ranks of the scenarios.
func TestScenarioKeysMatchConfiguration(t *testing.T) {
	for _, name := range []string{"asistente", "apuntador"} {
		cfg, err := config.LoadDir(filepath.Join("../../../scenarios/config", name))
		require.NoError(t, err)
		files, err := filepath.Glob(filepath.Join("../../../scenarios", name+"-*.ini"))
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			s, err := ReadScenario(file)
			require.NoError(t, err)
			require.Contains(t, cfg.Models, s.Model)
			for _, w := range s.Workspaces {
				sum := sha256.Sum256([]byte(w.Key))
				require.Contains(t, cfg.Workspaces[w.Name].KeySHA256, hex.EncodeToString(sum[:]))
			}
			for _, f := range s.Flows {
				_, known := cfg.RankByName(f.Rank)
				require.True(t, known || f.Rank == "", f.Rank)
			}
		}
	}
}

// Any input is either rejected or results in a scenario that can be scheduled.
func FuzzParseScenario(f *testing.F) {
	files, err := filepath.Glob("../../../scenarios/*.ini")
	require.NoError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte("[scenario]\nmodel=m\n[workspace.w]\nkey=k\n[flow.f]\nworkspaces=w\n" +
		"[phase.p]\nduration=1s\nrate.f=1e-300\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseScenario("fuzz.ini", data)
		if err != nil || s.Arrivals() > 10_000 || s.expectedPromptBytes() > 1<<20 {
			return
		}
		for _, a := range s.schedule() {
			require.NotEmpty(t, a.workspace)
			require.LessOrEqual(t, a.at, s.Duration()+maxRepeatDelay)
		}
	})
}
