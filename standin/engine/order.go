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

// applyOrder applies a layer assignment. With fencing, one with an outdated fencing token is
// refused; without, every assignment is accepted.
func (e *Engine) applyOrder(order wire.Order) wire.OrderResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing && order.Fence < e.state.Fence {
		return wire.OrderResponse{Fence: e.state.Fence}
	}
	e.state.Fence = max(e.state.Fence, order.Fence)
	if !e.matches(order) {
		e.discardAll()
		e.cache.clear()
		e.state.Model, e.state.Version = order.Model, order.Version
		e.state.FirstLayer, e.state.LastLayer = order.FirstLayer, order.LastLayer
		e.startLoading(order)
	}
	return wire.OrderResponse{Accepted: true, Fence: e.state.Fence}
}

// matches reports whether the engine holds or loads the layers of an assignment.
func (e *Engine) matches(order wire.Order) bool {
	held := e.state
	return held.Model == order.Model && held.Version == order.Version &&
		held.FirstLayer == order.FirstLayer && held.LastLayer == order.LastLayer
}

// discardAll discards all sequences. The caller holds e.mu.
func (e *Engine) discardAll() {
	for _, s := range e.sequences {
		e.endSequence(s, true)
	}
}

// startLoading begins to fetch the weights, if there is a weight store. The caller
// holds e.mu.
func (e *Engine) startLoading(order wire.Order) {
	if e.options.WeightStore == "" {
		return
	}
	e.state.Loading = true
	go e.loadWeights(order)
}

// loadWeights fetches the weights, with retries, and marks them as loaded. It gives up
// when another assignment has replaced this one or the engine is closed.
func (e *Engine) loadWeights(order wire.Order) {
	for {
		err := fetchWeights(e.options.WeightStore, order)
		e.mu.Lock()
		superseded := !e.matches(order)
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
func fetchWeights(store string, order wire.Order) error {
	query := url.Values{}
	query.Set("model", order.Model)
	query.Set("version", order.Version)
	query.Set("first", strconv.Itoa(order.FirstLayer))
	query.Set("last", strconv.Itoa(order.LastLayer))
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
