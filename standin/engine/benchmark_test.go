package engine

import (
	"fmt"
	"testing"

	"masticbank.example/node/wire"
)

// BenchmarkDecodeStep measures one decode step through the HTTP handler, without network
// and with a step time of 0.
func BenchmarkDecodeStep(b *testing.B) {
	for _, layers := range []int{8, 32} {
		b.Run(fmt.Sprintf("layers=%d", layers), func(b *testing.B) {
			e := New(Options{Model: testModel, Version: "1", Layers: layers, LastLayer: layers - 1})
			req := wire.StepRequest{
				RequestID: "r", Model: testModel, Version: "1", LastLayer: layers - 1,
				Prefill: true, Prompt: "p", CoveredTokens: 1, MaxTokens: 1 << 30,
			}
			post(e, wire.PathStep, req, nil)
			req.Prefill, req.Prompt, req.Tokens = false, "", []int{1}
			b.ReportAllocs()
			for b.Loop() {
				req.Position++
				post(e, wire.PathStep, req, nil)
			}
		})
	}
}
