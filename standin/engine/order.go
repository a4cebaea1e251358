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
	// weightRetry is the pause before a refused load is tried again.
	weightRetry = 100 * time.Millisecond
	// weightTimeout bounds one fetch of weights.
	weightTimeout = time.Minute
)

// take applies an order. An engine without fencing takes orders with any fence.
func (e *Engine) take(o wire.Order) wire.OrderResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing && o.Fence < e.held.Fence {
		return wire.OrderResponse{Fence: e.held.Fence}
	}
	e.held.Fence = max(e.held.Fence, o.Fence)
	if !e.holds(o) {
		e.dropAll()
		e.cache.clear()
		e.held.Model, e.held.Version = o.Model, o.Version
		e.held.FirstLayer, e.held.LastLayer = o.FirstLayer, o.LastLayer
		e.startLoading(o)
	}
	return wire.OrderResponse{Accepted: true, Fence: e.held.Fence}
}

func (e *Engine) holds(o wire.Order) bool {
	h := e.held
	return h.Model == o.Model && h.Version == o.Version &&
		h.FirstLayer == o.FirstLayer && h.LastLayer == o.LastLayer
}

// dropAll drops every sequence. The caller holds e.mu.
func (e *Engine) dropAll() {
	for _, s := range e.sequences {
		e.end(s, true)
	}
}

func (e *Engine) startLoading(o wire.Order) {
	if e.options.WeightStore == "" {
		return
	}
	e.held.Loading = true
	go e.fetchWeights(o)
}

// fetchWeights ends the loading when the store has given the weights, unless
// another order came meanwhile.
func (e *Engine) fetchWeights(o wire.Order) {
	for {
		err := fetchWeights(e.options.WeightStore, o)
		e.mu.Lock()
		superseded := !e.holds(o)
		if err == nil && !superseded {
			e.held.Loading = false
		}
		e.mu.Unlock()
		if err == nil || superseded || e.isClosed() {
			return
		}
		time.Sleep(weightRetry)
	}
}

func fetchWeights(store string, o wire.Order) error {
	query := url.Values{}
	query.Set("model", o.Model)
	query.Set("version", o.Version)
	query.Set("first", strconv.Itoa(o.FirstLayer))
	query.Set("last", strconv.Itoa(o.LastLayer))
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
