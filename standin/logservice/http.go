package logservice

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"masticbank.example/node/wire"
)

// ServeHTTP serves the append and read requests of the log, GET and POST /faults with
// a Faults in JSON, and GET /stats with a Stats in JSON.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathFaults:
		s.serveFaults(w, r)
		return
	case pathStats:
		writeJSON(w, s.Stats())
		return
	}
	faults := s.currentFaults()
	if faults.Slow > 0 && !sleep(r, faults.Slow) {
		return
	}
	if faults.Down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case wire.PathLogAppend:
		s.serveAppend(w, r)
	case wire.PathLogRead:
		s.serveRead(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	}
	writeJSON(w, s.currentFaults())
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "append takes POST", http.StatusMethodNotAllowed)
		return
	}
	var req wire.AppendRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req)
	if err != nil || req.Stream == "" || len(req.Records) == 0 {
		http.Error(w, "malformed append", http.StatusBadRequest)
		return
	}
	resp, lose, ok := s.append(req)
	if !ok {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if lose {
		closeWithoutResponse(w)
		return
	}
	writeJSON(w, resp)
}

// closeWithoutResponse closes the connection without a response, or responds with
// status 504 if the server does not allow that.
func closeWithoutResponse(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
			return
		}
	}
	http.Error(w, "answer lost", http.StatusGatewayTimeout)
}

// serveRead serves a long poll: without records it waits up to wait_ms for an append.
func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil || query.Get("stream") == "" {
		http.Error(w, "malformed read", http.StatusBadRequest)
		return
	}
	limit := parseNonNegative(query.Get("max"), maxReadRecords)
	wait := min(time.Duration(parseNonNegative(query.Get("wait_ms"), 0))*time.Millisecond, maxReadWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		resp, changed := s.read(query.Get("stream"), from, min(limit, maxReadRecords))
		if len(resp.Records) > 0 || wait == 0 {
			writeJSON(w, resp)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
		if s.currentFaults().Down {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
	}
}

// sleep waits for d. It returns false if the request was cancelled first.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// parseNonNegative parses a non-negative integer and returns defaultValue if
// text is not one.
func parseNonNegative(text string, defaultValue int) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return defaultValue
	}
	return n
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
