package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	first = flag.Uint64("soak.first", 1, "first seed")
	count = flag.Int("soak.seeds", 2, "number of seeds")
	keep  = flag.String("soak.keep", "", "folder for the logs of seeds with findings")
)

// buildProgram builds the real program and returns its path.
func buildProgram(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "masticbank")
	out, err := exec.Command("go", "build", "-o", path, "masticbank.example/cmd/masticbank").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

// regressionSeeds maps seeds that have failed before to the cause of the failure.
var regressionSeeds = map[uint64]string{
	6:  "the soak test started an instance twice when two series of faults acted on it at the same time",
	20: "the soak test attributed a request to a later process of a replica to the earlier process, which had left",
}

// TestSoak runs the seeds that -soak.seeds and -soak.first select.
func TestSoak(t *testing.T) {
	binary := buildProgram(t)
	for i := range *count {
		runSeed(t, binary, *first+uint64(i))
	}
}

// TestRegressionSeeds runs the seeds that have failed before.
func TestRegressionSeeds(t *testing.T) {
	binary := buildProgram(t)
	for seed, cause := range regressionSeeds {
		t.Log(cause)
		runSeed(t, binary, seed)
	}
}

func runSeed(t *testing.T, binary string, seed uint64) {
	dir := t.TempDir()
	s, err := Run(t.Context(), binary, dir, seed)
	require.NoError(t, err, "seed %d", seed)
	t.Log(s)
	require.Positive(t, s.Served, "seed %d", seed)
	for _, finding := range s.Findings {
		t.Errorf("seed %d: %s", seed, finding)
	}
	if len(s.Findings) > 0 && *keep != "" {
		log, err := os.ReadFile(filepath.Join(dir, "log.json"))
		require.NoError(t, err)
		name := fmt.Sprintf("seed-%d-%s.json", seed, time.Now().Format("150405"))
		require.NoError(t, os.WriteFile(filepath.Join(*keep, name), log, 0o600))
	}
}

// TestCheckersDetectViolations checks that each violation is found, and that similar valid
// histories have no findings.
func TestCheckersDetectViolations(t *testing.T) {
	start := time.Unix(1000, 0)
	noRestart := func(string, time.Time) int { return 0 }
	restartedLater := func(_ string, at time.Time) int {
		if at.After(start.Add(5 * time.Second)) {
			return 1
		}
		return 0
	}
	undisrupted := func(int, time.Time, time.Time) bool { return false }
	completeRequest := func(id string, kind Kind, status int) Request {
		return Request{ID: id, Kind: kind, Sent: start, Status: status, Complete: true, Replica: "r"}
	}
	cases := map[string]struct {
		request    Request
		executions []Execution
		findings   int
	}{
		"served once":               {completeRequest("a", Order, 200), []Execution{{"r", "a"}}, 0},
		"order twice":               {completeRequest("a", Order, 200), []Execution{{"r", "a"}, {"q", "a"}}, 1},
		"lookup twice":              {completeRequest("a", Lookup, 200), []Execution{{"r", "a"}, {"q", "a"}}, 0},
		"refused and executed":      {completeRequest("a", Order, 503), []Execution{{"r", "a"}}, 1},
		"refused":                   {completeRequest("a", Order, 503), nil, 0},
		"execution without request": {completeRequest("a", Order, 503), []Execution{{"r", "b"}}, 1},
		"executed without response, planned faults only": {Request{ID: "a", Sent: start}, []Execution{{"r", "a"}}, 1},
		"not executed, no response":                      {Request{ID: "a", Sent: start}, nil, 0},
		"truncated, planned faults only":                 {Request{ID: "a", Sent: start, Status: 200}, []Execution{{"r", "a"}}, 1},
		"sent too late after leaving":                    {Request{ID: "a", Kind: Lookup, Sent: start.Add(10 * time.Second), Status: 200, Complete: true}, []Execution{{"left", "a"}}, 1},
		"sent soon after leaving":                        {Request{ID: "a", Kind: Lookup, Sent: start.Add(time.Second), Status: 200, Complete: true}, []Execution{{"left", "a"}}, 0},
		"leaving announced to another instance":          {Request{ID: "a", Instance: 1, Sent: start.Add(10 * time.Second), Status: 200, Complete: true}, []Execution{{"left", "a"}}, 0},
	}
	for name, c := range cases {
		rec := NewRecorder()
		rec.AddLeaving(0, "left", 0, start)
		rec.AddRequest(c.request)
		require.Len(t, rec.Evaluate(c.executions, true, noRestart, undisrupted), c.findings, name)
	}
	lateRequest := Request{ID: "a", Sent: start.Add(10 * time.Second), Status: 200, Complete: true}
	recorder := NewRecorder()
	recorder.AddLeaving(0, "left", 0, start)
	recorder.AddRequest(lateRequest)
	require.Empty(t, recorder.Evaluate([]Execution{{"left", "a"}}, true, noRestart, func(int, time.Time, time.Time) bool { return true }))
	require.Empty(t, recorder.Evaluate([]Execution{{"left", "a"}}, true, restartedLater, undisrupted), "a later process of the replica")
	recorder.AddLeaving(0, "left", 1, start.Add(6*time.Second))
	require.NotEmpty(t, recorder.Evaluate([]Execution{{"left", "a"}}, true, restartedLater, undisrupted), "a later process that is leaving as well")

	for name, c := range map[string]struct{ id, replica, body string }{
		"response to another request": {"b", "r", "answer of r"},
		"unsigned":                    {"a", "", "answer of "},
		"truncated":                   {"a", "r", "answer"},
		"two responses":               {"a", "r", "answer of ranswer of r"},
	} {
		rec := NewRecorder()
		checkResponse(rec, &Request{ID: "a", Kind: Lookup, Replica: c.replica}, c.id, c.body)
		require.NotEmpty(t, rec.findings, name)
	}
	rec := NewRecorder()
	checkResponse(rec, &Request{ID: "a", Kind: Stream, Replica: "r"}, "a", completeStream())
	checkResponse(rec, &Request{ID: "a", Kind: Lookup, Replica: "r"}, "a", "answer of r")
	require.Empty(t, rec.findings)
}
