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

// statusOf maps the codes of refusals to HTTP status codes.
func statusOf(code string) int {
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
	if e.isPoison(req.Prompt) {
		panic(http.ErrAbortHandler)
	}
	s, refused := e.begin(req)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	select {
	case <-s.done:
	case <-r.Context().Done():
		e.leave(s)
		panic(http.ErrAbortHandler)
	}
	e.leave(s)
	e.passFaults(r)
	if s.refusal != nil {
		writeRefusal(w, s.refusal)
		return
	}
	e.answer(w, *s.response)
}

// answer writes a step's response, with the answer faults that are on.
func (e *Engine) answer(w http.ResponseWriter, response wire.StepResponse) {
	if e.useAnswerFault(fault.ForeignIdentity) {
		response.RequestID = "foreign-" + response.RequestID
	}
	body, _ := json.Marshal(response)
	switch {
	case e.useAnswerFault(fault.CloseMidAnswer):
		writeRaw(w, func(b *bufio.Writer, _ net.Conn) {
			raw := rawAnswer(body)
			_, _ = b.Write(raw[:len(raw)-len(body)/2])
		})
	case e.useAnswerFault(fault.AnswerTwice):
		writeRaw(w, func(b *bufio.Writer, _ net.Conn) {
			_, _ = b.Write(rawAnswer(body))
			_, _ = b.Write(rawAnswer(body))
		})
	case e.useAnswerFault(fault.DelayedDuplicate):
		e.answerLateAgain(w, body)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	}
}

func (e *Engine) answerLateAgain(w http.ResponseWriter, body []byte) {
	e.mu.Lock()
	delay := e.faults.delay
	e.mu.Unlock()
	writeRaw(w, func(b *bufio.Writer, _ net.Conn) {
		_, _ = b.Write(rawAnswer(body))
		_ = b.Flush()
		time.Sleep(delay)
		_, _ = b.Write(rawAnswer(body))
	})
}

// writeRaw takes the connection over, writes to it and closes it.
func writeRaw(w http.ResponseWriter, write func(*bufio.Writer, net.Conn)) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	write(buffer.Writer, conn)
	_ = buffer.Flush()
}

func rawAnswer(body []byte) []byte {
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
	leaving, loading := e.faults.leaving, e.held.Loading
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

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeRefusal(w, refuse(wire.CodeMalformed, err.Error()))
		return
	}
	writeJSON(w, http.StatusOK, e.take(o))
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

func writeRefusal(w http.ResponseWriter, r *refusal) {
	writeJSON(w, statusOf(r.code), wire.ErrorBody{Code: r.code, Message: r.message})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
