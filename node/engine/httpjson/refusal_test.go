package httpjson_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/engine"
	"masticbank.example/node/engine/httpjson"
	"masticbank.example/node/wire"
)

// startRefusing starts an engine that refuses every step with the refusal of the first step
// on the connection. The refusal names that step if named is set.
func startRefusing(t *testing.T, named bool) engine.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { refuseAll(conn, named) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return engine.Target{ID: "e", Address: l.Addr().String()}
}

func refuseAll(conn net.Conn, named bool) {
	defer conn.Close()
	refusal := ""
	for reader := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var step wire.StepRequest
		if json.NewDecoder(req.Body).Decode(&step) != nil {
			return
		}
		if refusal == "" {
			out := wire.ErrorBody{Code: wire.CodeOverloaded}
			if named {
				out.Step = step.ID()
			}
			body, err := json.Marshal(out)
			if err != nil {
				return
			}
			refusal = fmt.Sprintf("HTTP/1.1 429 Too Many Requests\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		_, _ = io.WriteString(conn, refusal)
	}
}

// TestRefusalOfAnotherStepIsNoProof guards against an earlier refusal that an engine writes
// once more when it receives the next step: that step may have run.
func TestRefusalOfAnotherStepIsNoProof(t *testing.T) {
	for named, proofs := range map[bool][]engine.Proof{
		true:  {engine.ProofRefused, engine.ProofNone},
		false: {engine.ProofNone, engine.ProofNone},
	} {
		target := startRefusing(t, named)
		c := httpjson.New()
		for n, want := range proofs {
			_, err := c.Step(context.Background(), target, &wire.StepRequest{RequestID: "r", Attempt: n})
			var failure *engine.CallError
			require.ErrorAs(t, err, &failure)
			require.Equal(t, want, failure.Proof, "attempt %d, named %t", n, named)
		}
		c.Release(target)
	}
}
