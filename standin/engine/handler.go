package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"masticbank.example/node/wire"
	"masticbank.example/standin/fault"
)

// httpStatus maps the code of a refusal to an HTTP status.
func httpStatus(code string) int {
	switch code {
	case wire.CodeMalformed:
		return http.StatusBadRequest
	case wire.CodeUnknownAttempt:
		return http.StatusNotFound
	case wire.CodeOverloaded:
		return http.StatusTooManyRequests
	case wire.CodeLeaving:
		return http.StatusServiceUnavailable
	default:
		return http.StatusConflict
	}
}

func (e *Engine) serveStep(w http.ResponseWriter, r *http.Request) {
	req := new(wire.StepRequest)
	if err := json.NewDecoder(r.Body).Decode(req); err != nil {
		writeRefusal(w, refuse(wire.CodeMalformed, err.Error()))
		return
	}
	if e.crashIfPoison(req.Prompt) {
		panic(http.ErrAbortHandler)
	}
	s, refused := e.beginStep(req)
	if refused != nil {
		writeStepRefusal(w, req, refused)
		return
	}
	select {
	case <-s.done:
	case <-r.Context().Done():
		e.stopWaiting(s)
		panic(http.ErrAbortHandler)
	}
	e.stopWaiting(s)
	e.applyConnectionFaults(r)
	if s.refusal != nil {
		writeStepRefusal(w, req, s.refusal)
		return
	}
	e.respond(w, *s.response)
}

// respond writes the response of a step, with the active response faults.
func (e *Engine) respond(w http.ResponseWriter, response wire.StepResponse) {
	if e.consumeResponseFault(fault.WrongRequestID) {
		response.RequestID = "foreign-" + response.RequestID
	}
	body, _ := json.Marshal(response)
	switch {
	case e.consumeResponseFault(fault.CloseMidResponse):
		writeRaw(w, func(b *bufio.Writer, _ net.Conn) {
			raw := rawResponse(body)
			_, _ = b.Write(raw[:len(raw)-len(body)/2])
		})
	case e.consumeResponseFault(fault.DuplicateResponse):
		writeRaw(w, func(b *bufio.Writer, _ net.Conn) {
			_, _ = b.Write(rawResponse(body))
			_, _ = b.Write(rawResponse(body))
		})
	case e.consumeResponseFault(fault.DelayedDuplicate):
		e.respondTwiceDelayed(w, body)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}
}

// respondTwiceDelayed writes the response and repeats it after the delay of the fault.
func (e *Engine) respondTwiceDelayed(w http.ResponseWriter, body []byte) {
	e.mu.Lock()
	delay := e.faults.delay
	e.mu.Unlock()
	writeRaw(w, func(b *bufio.Writer, _ net.Conn) {
		_, _ = b.Write(rawResponse(body))
		_ = b.Flush()
		time.Sleep(delay)
		_, _ = b.Write(rawResponse(body))
	})
}

// writeRaw takes over the connection, lets write use it and closes it.
func writeRaw(w http.ResponseWriter, write func(*bufio.Writer, net.Conn)) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	write(buffer.Writer, conn)
	_ = buffer.Flush()
}

// rawResponse returns a complete HTTP response with the given body.
func rawResponse(body []byte) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ")
	b.WriteString(strconv.Itoa(len(body)))
	b.WriteString("\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req wire.CancelRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeRefusal(w, refuse(wire.CodeMalformed, err.Error()))
		return
	}
	e.cancel(req)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.LoadReport())
}

func (e *Engine) serveProbe(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	leaving, loading := e.faults.leaving, e.state.Loading
	e.mu.Unlock()
	switch {
	case leaving:
		writeRefusal(w, refuse(wire.CodeLeaving, "no new attempts"))
	case loading:
		writeRefusal(w, refuse(wire.CodeWrongRange, "loading another model"))
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = 0
	}
	e.mu.Lock()
	events := e.cache.since(e.clock.Now(), from)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) serveAssignment(w http.ResponseWriter, r *http.Request) {
	var assignment wire.LayerAssignment
	if err := json.NewDecoder(r.Body).Decode(&assignment); err != nil {
		writeRefusal(w, refuse(wire.CodeMalformed, err.Error()))
		return
	}
	writeJSON(w, http.StatusOK, e.applyAssignment(assignment))
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

func writeStepRefusal(w http.ResponseWriter, req *wire.StepRequest, r *refusal) {
	writeJSON(w, httpStatus(r.code), wire.ErrorBody{Code: r.code, Message: r.message, Step: req.ID()})
}

func writeRefusal(w http.ResponseWriter, r *refusal) {
	writeJSON(w, httpStatus(r.code), wire.ErrorBody{Code: r.code, Message: r.message})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
