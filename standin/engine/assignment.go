package engine

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"masticbank.example/node/wire"
)

const (
	// weightRetry is the delay before a failed fetch of weights is retried.
	weightRetry = 100 * time.Millisecond
	// weightTimeout bounds each fetch of weights.
	weightTimeout = time.Minute
)

// applyAssignment applies a layer assignment. With fencing, an assignment with an
// outdated fencing token is refused; without fencing, every assignment is accepted.
func (e *Engine) applyAssignment(a wire.LayerAssignment) wire.LayerAssignmentResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing && a.Fence < e.state.Fence {
		return wire.LayerAssignmentResponse{Fence: e.state.Fence}
	}
	e.state.Fence = max(e.state.Fence, a.Fence)
	if !e.matches(a) {
		e.discardAll()
		e.cache.clear()
		e.state.Model, e.state.Version = a.Model, a.Version
		e.state.FirstLayer, e.state.LastLayer = a.FirstLayer, a.LastLayer
		e.startLoading(a)
	}
	return wire.LayerAssignmentResponse{Accepted: true, Fence: e.state.Fence}
}

// matches reports whether the engine holds or loads the layers of an assignment.
func (e *Engine) matches(a wire.LayerAssignment) bool {
	held := e.state
	return held.Model == a.Model && held.Version == a.Version &&
		held.FirstLayer == a.FirstLayer && held.LastLayer == a.LastLayer
}

// discardAll discards all sequences. The caller holds e.mu.
func (e *Engine) discardAll() {
	for _, s := range e.sequences {
		e.endSequence(s, true)
	}
}

// startLoading begins to fetch the weights, if there is a weight store. The caller
// holds e.mu.
func (e *Engine) startLoading(a wire.LayerAssignment) {
	if e.options.WeightStore == "" {
		return
	}
	e.state.Loading = true
	go e.loadWeights(a)
}

// loadWeights fetches the weights, with retries, and marks them as loaded. It gives up
// when another assignment has replaced this one or the engine is closed.
func (e *Engine) loadWeights(a wire.LayerAssignment) {
	for {
		err := fetchWeights(e.options.WeightStore, a)
		e.mu.Lock()
		superseded := !e.matches(a)
		if err == nil && !superseded {
			e.state.Loading = false
		}
		e.mu.Unlock()
		if err == nil || superseded || e.isClosed() {
			return
		}
		time.Sleep(weightRetry)
	}
}

// fetchWeights fetches the weights of an assignment once and discards them.
func fetchWeights(store string, a wire.LayerAssignment) error {
	query := url.Values{}
	query.Set("model", a.Model)
	query.Set("version", a.Version)
	query.Set("first", strconv.Itoa(a.FirstLayer))
	query.Set("last", strconv.Itoa(a.LastLayer))
	client := http.Client{Timeout: weightTimeout}
	response, err := client.Get(store + wire.PathWeights + "?" + query.Encode())
	if err != nil {
		return fmt.Errorf("fetch weights: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fetch weights: status %d", response.StatusCode)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("fetch weights: %w", err)
	}
	return nil
}
