package httpserver

import (
	"bytes"
	"fmt"
	"net/http"
)

// retryAfterSeconds is the Retry-After of requests that the server refuses by itself.
const retryAfterSeconds = 1

// rawResponse encodes an error response without nbhttp's response writer, which
// requires a parsed request.
func rawResponse(status int, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	if status == http.StatusServiceUnavailable {
		fmt.Fprintf(&b, "Retry-After: %d\r\n", retryAfterSeconds)
	}
	fmt.Fprintf(&b, "X-Masticbank-Execution: not_run\r\nConnection: close\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}
