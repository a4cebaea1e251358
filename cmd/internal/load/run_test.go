package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/standin/engine"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// fakeRouter responds in process, so that it can run inside a synctest bubble.
type fakeRouter func(r *http.Request, body requestBody, w io.Writer) (status int, header http.Header)

// RoundTrip returns the response of the fake router.
func (f fakeRouter) RoundTrip(r *http.Request) (*http.Response, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var body requestBody
	_ = json.Unmarshal(data, &body)
	responses := make(chan *http.Response, 1)
	go func() {
		var out strings.Builder
		status, header := f(r, body, &out)
		content := io.NopCloser(strings.NewReader(out.String()))
		responses <- &http.Response{StatusCode: status, Header: header, Body: content}
	}()
	select {
	case response := <-responses:
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func expectedText(body requestBody) string {
	var b strings.Builder
	for _, token := range engine.ExpectedTokens("dev", 12, "user: "+body.Messages[0].Content, body.MaxTokens) {
		b.WriteString(token.Text)
	}
	return b.String()
}

func writeWhole(w io.Writer, text string) {
	content, _ := json.Marshal(text)
	_, _ = fmt.Fprintf(w, `{"choices":[{"message":{"role":"assistant","content":%s}}]}`, content)
}

func parseTestScenario(t *testing.T, text string) *Scenario {
	t.Helper()
	s, err := ParseScenario("test.ini", []byte(text))
	require.NoError(t, err)
	return s
}

const stallScenario = `
[scenario]
targets = router
model = dev
fleet = dev
[workspace.w]
key = k
[flow.f]
workspaces = w
max_tokens = 4
[phase.only]
duration = 20s
rate.f = 10
`

// A server that stalls for ten seconds delays all requests that arrive in that
// time. Their latencies must be measured from the intended arrival.
func TestTimesCountFromIntendedArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stall = 10 * time.Second
		s := parseTestScenario(t, stallScenario)
		start := time.Now()
		router := fakeRouter(func(_ *http.Request, body requestBody, w io.Writer) (int, http.Header) {
			time.Sleep(time.Until(start.Add(stall)))
			writeWhole(w, expectedText(body))
			return http.StatusOK, http.Header{}
		})
		result, err := Run(t.Context(), Options{Scenario: s, transport: router})
		require.NoError(t, err)

		var want []time.Duration
		for _, a := range s.schedule() {
			want = append(want, max(0, stall-startDelay-a.at))
		}
		require.Equal(t, len(want), result.Whole.All.Outcomes[Completed])
		require.Equal(t, distributionOf(want), result.Whole.All.Total)
		require.Zero(t, result.Generator.LateSend.Max)
	})
}

const outcomeScenario = `
[scenario]
targets = router
model = dev
fleet = dev
timeout = 5s
[workspace.w]
key = k
[flow.f]
workspaces = w
max_tokens = 3
stream = %s
prompt_bytes = 20
[phase.only]
duration = 10s
rate.f = 1
`

// responders produce responses that the client must classify as the given outcome.
var responders = map[Outcome]func(body requestBody, w io.Writer) (int, http.Header){
	Completed: func(body requestBody, w io.Writer) (int, http.Header) {
		writeResponse(w, body, expectedText(body), true)
		return http.StatusOK, http.Header{}
	},
	Wrong: func(body requestBody, w io.Writer) (int, http.Header) {
		writeResponse(w, body, expectedText(body)[1:], true)
		return http.StatusOK, http.Header{}
	},
	Partial: func(body requestBody, w io.Writer) (int, http.Header) {
		writeResponse(w, body, expectedText(body), false)
		return http.StatusOK, http.Header{}
	},
	Refused: func(_ requestBody, w io.Writer) (int, http.Header) {
		_, _ = io.WriteString(w, `{"error":{"code":"overloaded"}}`)
		return http.StatusTooManyRequests, http.Header{headerExecution: {executionNotRun}}
	},
	Failed: func(_ requestBody, w io.Writer) (int, http.Header) {
		_, _ = io.WriteString(w, `{"error":{"code":"lost","execution":"unknown"}}`)
		return http.StatusBadGateway, http.Header{}
	},
	TimedOut: func(requestBody, io.Writer) (int, http.Header) {
		time.Sleep(time.Minute)
		return http.StatusOK, http.Header{}
	},
}

// writeResponse writes text as a single response or as a stream, complete or
// truncated.
func writeResponse(w io.Writer, body requestBody, text string, whole bool) {
	if !body.Stream {
		var b strings.Builder
		writeWhole(&b, text)
		if !whole {
			_, _ = io.WriteString(w, b.String()[:b.Len()/2])
			return
		}
		_, _ = io.WriteString(w, b.String())
		return
	}
	for _, part := range strings.SplitAfter(text, " ") {
		content, _ := json.Marshal(part)
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", content)
	}
	if whole {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

func TestOutcomes(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		for want, respond := range responders {
			t.Run(fmt.Sprintf("%s/stream=%s", want, stream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := parseTestScenario(t, fmt.Sprintf(outcomeScenario, stream))
					router := fakeRouter(func(_ *http.Request, body requestBody, w io.Writer) (int, http.Header) {
						return respond(body, w)
					})
					result, err := Run(t.Context(), Options{Scenario: s, transport: router})
					require.NoError(t, err)
					all := result.Whole.All
					require.Positive(t, all.Requests)
					require.Equal(t, map[Outcome]int{want: all.Requests}, all.Outcomes)
					require.Equal(t, want == Completed, all.GoodTokens > 0)
					synctest.Wait()
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

const orderScenario = `
[scenario]
targets = a, b
[workspace.w]
key = k
[flow.f]
kind = order
service = s
path = /orders
workspaces = w
repeat = 1
[phase.only]
duration = 10s
rate.f = 2
`

// A stream that ends with an error event is Failed, not Partial.
func TestErrorInStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := parseTestScenario(t, fmt.Sprintf(outcomeScenario, "true"))
		router := fakeRouter(func(_ *http.Request, body requestBody, w io.Writer) (int, http.Header) {
			writeResponse(w, body, expectedText(body), false)
			_, _ = io.WriteString(w, "data: {\"error\":{\"code\":\"deadline_passed\",\"execution\":\"ran\"}}\n\n")
			return http.StatusOK, http.Header{}
		})
		result, err := Run(t.Context(), Options{Scenario: s, transport: router})
		require.NoError(t, err)
		all := result.Whole.All
		require.Equal(t, map[Outcome]int{Failed: all.Requests}, all.Outcomes)
		require.Equal(t, map[string]int{"deadline_passed": all.Requests}, all.Details)
		require.Equal(t, map[string]int{"ran": all.Requests}, all.Executions)
	})
}

// Orders are sent twice with the same key. A second response that differs from the
// first is Wrong.
func TestRepeatedOrders(t *testing.T) {
	for _, replay := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := parseTestScenario(t, orderScenario)
			n := make(chan int, 1)
			n <- 0
			router := fakeRouter(func(r *http.Request, _ requestBody, w io.Writer) (int, http.Header) {
				number := <-n
				n <- number + 1
				if replay {
					_, _ = io.WriteString(w, r.Header.Get(headerIdempotencyKey))
				} else {
					_, _ = fmt.Fprint(w, number)
				}
				return http.StatusCreated, http.Header{}
			})
			result, err := Run(t.Context(), Options{Scenario: s, RunID: "r", transport: router})
			require.NoError(t, err)
			all := result.Whole.All
			wrong := 0
			if !replay {
				wrong = all.Requests / 2
			}
			require.Equal(t, wrong, all.Outcomes[Wrong])
			require.Equal(t, all.Requests, all.Outcomes[Completed]+wrong)
		})
	}
}

// A run that is interrupted reports the requests sent so far.
func TestInterruptedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := parseTestScenario(t, stallScenario)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		router := fakeRouter(func(_ *http.Request, body requestBody, w io.Writer) (int, http.Header) {
			writeWhole(w, expectedText(body))
			return http.StatusOK, http.Header{}
		})
		var progress strings.Builder
		result, err := Run(ctx, Options{Scenario: s, Progress: &progress, transport: router})
		require.NoError(t, err)
		require.True(t, result.Interrupted)
		require.InDelta(t, 5, result.Seconds, 1)
		require.Less(t, result.Whole.All.Requests, len(s.schedule()))
		require.Contains(t, progress.String(), "completed")
	})
}

// Arrivals above max_in_flight are counted as Unsent and not sent.
func TestGeneratorLimitIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5
		s := parseTestScenario(t, strings.Replace(stallScenario, "[scenario]", "[scenario]\nmax_in_flight = 5", 1))
		router := fakeRouter(func(_ *http.Request, body requestBody, w io.Writer) (int, http.Header) {
			time.Sleep(25 * time.Second)
			writeWhole(w, expectedText(body))
			return http.StatusOK, http.Header{}
		})
		result, err := Run(t.Context(), Options{Scenario: s, transport: router})
		require.NoError(t, err)
		all := result.Whole.All
		require.Equal(t, map[Outcome]int{Completed: limit, Unsent: all.Requests - limit}, all.Outcomes)
		require.Equal(t, limit, result.Generator.MaxInFlight)
	})
}
