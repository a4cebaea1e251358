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

// program builds the real program.
func program(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "masticbank")
	out, err := exec.Command("go", "build", "-o", path, "masticbank.example/cmd/masticbank").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

// failed holds the seeds that ever failed, with the cause.
var failed = map[uint64]string{
	6:  "the soak started an instance twice when two series of faults acted on it",
	20: "the soak took a request to a later process of a replica that had left for one to the earlier",
}

// TestSoak plays seeds; -soak.seeds and -soak.first choose which.
func TestSoak(t *testing.T) {
	binary := program(t)
	for i := range *count {
		play(t, binary, *first+uint64(i))
	}
}

// TestSeedsThatFailed plays those seeds again.
func TestSeedsThatFailed(t *testing.T) {
	binary := program(t)
	for seed, cause := range failed {
		t.Log(cause)
		play(t, binary, seed)
	}
}

func play(t *testing.T, binary string, seed uint64) {
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

// TestCheckersCanFail gives each checker what it must find.
func TestCheckersCanFail(t *testing.T) {
	start := time.Unix(1000, 0)
	never := func(string, time.Time) int { return 0 }
	again := func(_ string, at time.Time) int {
		if at.After(start.Add(5 * time.Second)) {
			return 1
		}
		return 0
	}
	calm := func(int, time.Time, time.Time) bool { return false }
	whole := func(id string, kind Kind, status int) Request {
		return Request{ID: id, Kind: kind, Sent: start, Status: status, Whole: true, Replica: "r"}
	}
	cases := map[string]struct {
		request  Request
		runs     []Ran
		findings int
	}{
		"served once":             {whole("a", Order, 200), []Ran{{"r", "a"}}, 0},
		"order twice":             {whole("a", Order, 200), []Ran{{"r", "a"}, {"q", "a"}}, 1},
		"lookup twice":            {whole("a", Lookup, 200), []Ran{{"r", "a"}, {"q", "a"}}, 0},
		"refused and ran":         {whole("a", Order, 503), []Ran{{"r", "a"}}, 1},
		"refused":                 {whole("a", Order, 503), nil, 0},
		"nobody sent it":          {whole("a", Order, 503), []Ran{{"r", "b"}}, 1},
		"no answer in calm":       {Request{ID: "a", Sent: start}, []Ran{{"r", "a"}}, 1},
		"not run, no answer":      {Request{ID: "a", Sent: start}, nil, 0},
		"broken off in calm":      {Request{ID: "a", Sent: start, Status: 200}, []Ran{{"r", "a"}}, 1},
		"too late after it left":  {Request{ID: "a", Kind: Lookup, Sent: start.Add(10 * time.Second), Status: 200, Whole: true}, []Ran{{"left", "a"}}, 1},
		"soon after it left":      {Request{ID: "a", Kind: Lookup, Sent: start.Add(time.Second), Status: 200, Whole: true}, []Ran{{"left", "a"}}, 0},
		"left for another caller": {Request{ID: "a", Instance: 1, Sent: start.Add(10 * time.Second), Status: 200, Whole: true}, []Ran{{"left", "a"}}, 0},
	}
	for name, c := range cases {
		l := NewLedger()
		l.Left(0, "left", 0, start)
		l.Ended(c.request)
		require.Len(t, l.Conclude(c.runs, true, never, calm), c.findings, name)
	}
	late := Request{ID: "a", Sent: start.Add(10 * time.Second), Status: 200, Whole: true}
	excused := NewLedger()
	excused.Left(0, "left", 0, start)
	excused.Ended(late)
	require.Empty(t, excused.Conclude([]Ran{{"left", "a"}}, true, never, func(int, time.Time, time.Time) bool { return true }))
	require.Empty(t, excused.Conclude([]Ran{{"left", "a"}}, true, again, calm), "another process of the replica")
	excused.Left(0, "left", 1, start.Add(6*time.Second))
	require.NotEmpty(t, excused.Conclude([]Ran{{"left", "a"}}, true, again, calm), "which has left as well")

	for name, c := range map[string]struct{ id, replica, body string }{
		"another's answer": {"b", "r", "answer of r"},
		"unsigned":         {"a", "", "answer of "},
		"cut":              {"a", "r", "answer"},
		"two answers":      {"a", "r", "answer of ranswer of r"},
	} {
		l := NewLedger()
		checkAnswer(l, &Request{ID: "a", Kind: Lookup, Replica: c.replica}, c.id, c.body)
		require.NotEmpty(t, l.findings, name)
	}
	l := NewLedger()
	checkAnswer(l, &Request{ID: "a", Kind: Stream, Replica: "r"}, "a", wholeStream())
	checkAnswer(l, &Request{ID: "a", Kind: Lookup, Replica: "r"}, "a", "answer of r")
	require.Empty(t, l.findings)
}
