package fleet

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/wire"
	"masticbank.example/standin/fault"
)

func post(t *testing.T, address, path string, message, out any) (int, error) {
	t.Helper()
	body, err := json.Marshal(message)
	require.NoError(t, err)
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if out != nil {
		err = json.NewDecoder(response.Body).Decode(out)
	}
	return response.StatusCode, err
}

// enginesWithFirstLayers returns one engine instance for each of the given first layers.
func enginesWithFirstLayers(f *Fleet, firsts ...int) []wire.Instance {
	var out []wire.Instance
	for _, first := range firsts {
		for _, i := range f.Instances().Visible() {
			if i.Role == wire.RoleEngine && i.FirstLayer == first {
				out = append(out, i)
				break
			}
		}
	}
	return out
}

func TestPipelineOverDevFleet(t *testing.T) {
	f, err := Start(Dev())
	require.NoError(t, err)
	defer f.Close()
	const n = 3
	var tokens []wire.Token
	for len(tokens) < n {
		req := wire.StepRequest{
			RequestID: "r", Attempt: 1, Position: len(tokens), Model: "dev", Version: "1",
			Prefill: len(tokens) == 0, CoveredTokens: 1, MaxTokens: n,
		}
		if req.Prefill {
			req.Prompt = "hello"
		} else {
			req.Tokens = []int{tokens[len(tokens)-1].ID}
		}
		for _, stage := range enginesWithFirstLayers(f, 0, 4, 9) {
			req.FirstLayer, req.LastLayer = stage.FirstLayer, stage.LastLayer
			var response wire.StepResponse
			status, err := post(t, stage.Address, wire.PathStep, req, &response)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			req.Prompt, req.Tokens, req.Hidden = "", nil, response.Hidden
			if response.Token != nil {
				tokens = append(tokens, *response.Token)
			}
		}
	}
	require.Equal(t, f.ExpectedTokens("dev", "hello", n), tokens)
	require.Empty(t, f.Violations())
	records := f.Records(RecordsQuery{Requests: []string{"r", "other"}, Keys: []string{"none"}})
	require.Equal(t, Records{Orders: map[string]int{}, Ran: map[string]bool{"r": true}}, records)
}

// TestCrashAndRestoreThroughControl checks that a crashed engine refuses connections
// until it is restored.
func TestCrashAndRestoreThroughControl(t *testing.T) {
	f, err := Start(Dev())
	require.NoError(t, err)
	defer f.Close()
	target := enginesWithFirstLayers(f, 0)[0]
	crash := fault.Fault{Instance: target.ID, Kind: fault.Crash}
	status, err := post(t, f.Addresses().Control, fault.Path, crash, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, status)

	_, err = http.Get("http://" + target.Address + wire.PathProbe)
	require.ErrorContains(t, err, "refused")

	restore := fault.Fault{Instance: target.ID, Kind: fault.Restore}
	_, err = post(t, f.Addresses().Control, fault.Path, restore, nil)
	require.NoError(t, err)
	response, err := http.Get("http://" + target.Address + wire.PathProbe)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	require.NoError(t, response.Body.Close())
}

// TestAssignmentLoadsWeights checks that an engine fetches the weights after a layer
// assignment and then holds the new range.
func TestAssignmentLoadsWeights(t *testing.T) {
	f, err := Start(Dev())
	require.NoError(t, err)
	defer f.Close()
	target := enginesWithFirstLayers(f, 0)[0]
	assignment := wire.LayerAssignment{Fence: 1, Model: "dev", Version: "1", FirstLayer: 4, LastLayer: 8}
	var response wire.LayerAssignmentResponse
	_, err = post(t, target.Address, wire.PathLayerAssignment, assignment, &response)
	require.NoError(t, err)
	require.True(t, response.Accepted)
	require.Eventually(t, func() bool { return !f.Engines()[0].State().Loading }, 5*time.Second, time.Millisecond)
	require.Equal(t, 4, f.Engines()[0].State().FirstLayer)
	require.Equal(t, 1, f.Weights().Counts().Loads)
}

// TestUserFleetSpecs checks that the fleets of both users cover every layer and have 40
// replicas of the model, three of the service, and three zones.
func TestUserFleetSpecs(t *testing.T) {
	for _, spec := range []Spec{Asistente(), Apuntador()} {
		replicas, covered := 0, map[int]bool{}
		zones := map[string]bool{}
		for _, r := range spec.Models[0].Ranges {
			replicas += len(r.Zones)
			for l := r.First; l <= r.Last; l++ {
				covered[l] = true
			}
			for _, zone := range r.Zones {
				zones[zone] = true
			}
		}
		require.Equal(t, 40, replicas)
		require.Len(t, covered, spec.Models[0].Layers)
		require.Len(t, zones, 3)
		require.Len(t, spec.Services[0].Zones, 3)
	}
}
