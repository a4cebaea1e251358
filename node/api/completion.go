package api

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"masticbank.example/core/attempt"
	"masticbank.example/core/execution"
	"masticbank.example/node/openai"
	"masticbank.example/node/router"
)

// completion returns the handler of one completion endpoint.
func (s *Server) completion(kind openai.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, apiErr := s.beginCall(r)
		if apiErr != nil {
			s.writeError(w, c.id, apiErr)
			return
		}
		req, parsed, apiErr := s.readCompletion(kind, c, r)
		if apiErr != nil {
			s.writeError(w, c.id, apiErr)
			return
		}
		response := openai.CompletionResponse{ID: c.id, Kind: kind, Model: parsed.Model, Created: c.arrived}
		w.Header().Set(HeaderRequestID, c.id)
		if parsed.Stream {
			s.respondStream(w, r, req, parsed, response)
			return
		}
		s.respondWhole(w, r, req, response)
	}
}

// readCompletion reads and checks the body of a completion request. The configured
// maximum of output tokens of the model limits the requested one.
func (s *Server) readCompletion(kind openai.Kind, c *call, r *http.Request) (*router.Request, openai.CompletionRequest, *apiError) {
	body, apiErr := s.readBody(r)
	if apiErr != nil {
		return nil, openai.CompletionRequest{}, apiErr
	}
	parsed, err := openai.Parse(kind, body)
	if err != nil {
		return nil, parsed, requestError(err)
	}
	model, ok := c.cfg.Models[parsed.Model]
	if !ok {
		return nil, parsed, &apiError{status: http.StatusNotFound, code: string(router.CodeUnknownModel), message: "unknown model " + parsed.Model, param: "model"}
	}
	maxTokens := model.MaxOutput
	if parsed.MaxTokens > 0 {
		maxTokens = min(maxTokens, parsed.MaxTokens)
	}
	return &router.Request{
		ID:        c.id,
		Workspace: c.workspace,
		Rank:      c.rank,
		Model:     parsed.Model,
		Prompt:    parsed.Prompt,
		MaxTokens: maxTokens,
		Deadline:  c.deadline,
		Arrived:   c.arrived,
	}, parsed, nil
}

func (s *Server) readBody(r *http.Request) ([]byte, *apiError) {
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(s.opts.MaxBodyBytes)+1))
	if err != nil {
		return nil, &apiError{status: http.StatusBadRequest, code: "malformed_request", message: "the body cannot be read"}
	}
	if len(body) > s.opts.MaxBodyBytes {
		return nil, &apiError{status: http.StatusRequestEntityTooLarge, code: "body_too_large", message: "the body is too large"}
	}
	return body, nil
}

func requestError(err error) *apiError {
	apiErr := &apiError{status: http.StatusBadRequest, code: "invalid_request", message: err.Error()}
	var re *openai.RequestError
	if errors.As(err, &re) {
		apiErr.param = re.Param
	}
	return apiErr
}

// textSink collects the text of a response that is not streamed.
type textSink struct {
	text   strings.Builder
	finish string
}

// Token implements router.Sink.
func (t *textSink) Token(tok attempt.Token) error {
	t.text.WriteString(tok.Text)
	t.finish = tok.Finish
	return nil
}

// respondWhole responds with one JSON body after the last token was generated; an
// incomplete text is never sent.
func (s *Server) respondWhole(w http.ResponseWriter, r *http.Request, req *router.Request, response openai.CompletionResponse) {
	sink := &textSink{}
	result := s.opts.Router.Generate(r.Context(), req, sink)
	if !result.Complete {
		writeResultError(w, &result)
		return
	}
	body, err := response.Body(sink.text.String(), sink.finish, usage(req, &result))
	if err != nil {
		writeResultError(w, &result)
		return
	}
	w.Header().Set(HeaderExecution, execution.Ran.String())
	writeBody(w, http.StatusOK, "application/json", body)
}

// streamSink writes each token as a server-sent event. The response header is sent
// with the first token, so that a request that fails earlier gets an error status.
type streamSink struct {
	w        http.ResponseWriter
	response openai.CompletionResponse
	started  bool
}

// Token implements router.Sink.
func (t *streamSink) Token(tok attempt.Token) error {
	if !t.started {
		t.started = true
		t.w.Header().Set("Content-Type", "text/event-stream")
		t.w.Header().Set("Cache-Control", "no-store")
		// The first token proves that the request was executed.
		t.w.Header().Set(HeaderExecution, execution.Ran.String())
		t.w.WriteHeader(http.StatusOK)
	}
	if err := t.response.WriteChunk(t.w, tok.Text, tok.Finish); err != nil {
		return err
	}
	flush(t.w)
	return nil
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// respondStream responds with server-sent events. Only a complete response ends with
// the [DONE] event.
func (s *Server) respondStream(w http.ResponseWriter, r *http.Request, req *router.Request, parsed openai.CompletionRequest, response openai.CompletionResponse) {
	sink := &streamSink{w: w, response: response}
	result := s.opts.Router.Generate(r.Context(), req, sink)
	switch {
	case result.Complete:
		if parsed.IncludeUsage {
			_ = response.WriteUsage(w, usage(req, &result))
		}
		_ = openai.WriteDone(w)
		flush(w)
	case sink.started:
		_ = openai.WriteError(w, errorBody(&result))
		flush(w)
	default:
		writeResultError(w, &result)
	}
}

func usage(req *router.Request, result *router.Result) openai.Usage {
	prompt := req.PromptTokens()
	return openai.Usage{PromptTokens: prompt, CompletionTokens: result.Tokens, TotalTokens: prompt + result.Tokens}
}

// writeResultError writes the error response to a request that the router could not
// complete.
func writeResultError(w http.ResponseWriter, result *router.Result) {
	if result.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(wholeSeconds(result.RetryAfter)))
	}
	w.Header().Set(HeaderRequestID, result.RequestID)
	w.Header().Set(HeaderExecution, result.Execution.String())
	writeJSON(w, httpStatus(result.Code), errorBody(result))
}

func errorBody(result *router.Result) openai.ErrorBody {
	return openai.ErrorBody{Error: openai.ErrorDetail{
		Message:           result.Message,
		Type:              errorType(httpStatus(result.Code)),
		Code:              string(result.Code),
		Execution:         result.Execution.String(),
		RequestID:         result.RequestID,
		RetryAfterSeconds: wholeSeconds(result.RetryAfter),
	}}
}

// wholeSeconds rounds up to seconds, which is the unit of the Retry-After header.
func wholeSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// httpStatus returns the HTTP status for an error code of the router.
func httpStatus(code router.Code) int {
	switch code {
	case router.CodeUnknownModel, router.CodeUnknownService:
		return http.StatusNotFound
	case router.CodeWorkspaceQueueFull:
		return http.StatusTooManyRequests
	case router.CodeDeadlinePassed:
		return http.StatusGatewayTimeout
	case router.CodePoison, router.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case router.CodeKeyMalformed:
		return http.StatusBadRequest
	case router.CodeKeyExpired, router.CodeKeyUndecided:
		return http.StatusConflict
	case router.CodeResponseTooLarge:
		return http.StatusInsufficientStorage
	case router.CodeAttemptsExhausted, router.CodeUpstreamFailed, router.CodeRetryBudgetExhausted:
		return http.StatusBadGateway
	case router.CodeCancelled:
		return http.StatusRequestTimeout
	case router.CodeRefused, router.CodePoolQueueFull, router.CodeDeadlineUnreachable, router.CodeNoRoute,
		router.CodeNoUpstream, router.CodeNotReady, router.CodeLogUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
