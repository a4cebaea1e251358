// Package statusline checks the status of responses of other processes.
package statusline

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrInvalid means that the status of a response is none. Nothing in such a head can be relied on, so
// that the request may have run.
var ErrInvalid = errors.New("invalid status")

const (
	// codeDigits is the number of digits of a status code (RFC 9110, section 15).
	codeDigits = 3
	// minCode and maxCode are the first and the last valid status code.
	minCode = 100
	maxCode = 599
)

// Check returns an error unless the status of a response that net/http has parsed is a final one, or an
// interim one that may precede it. A protocol switch is an error, as none is ever requested.
func Check(r *http.Response) error {
	code, _, _ := strings.Cut(r.Status, " ")
	valid := len(code) == codeDigits && strings.Trim(code, "0123456789") == "" &&
		r.StatusCode >= minCode && r.StatusCode <= maxCode
	if !valid || r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w %q", ErrInvalid, code)
	}
	return nil
}

// Transport is the part of http.Transport and http.Client that closes connections.
type Transport interface{ CloseIdleConnections() }

// CheckFinal checks the response of a transport, which skips interim ones. The connection of an invalid
// response is not used again. Without a body the transport has taken it back already, so that all its
// idle connections are closed.
func CheckFinal(r *http.Response, t Transport) error {
	err := Check(r)
	if err == nil {
		return nil
	}
	_ = r.Body.Close() // closes the connection unless the body is empty
	if r.Body == http.NoBody {
		t.CloseIdleConnections()
	}
	return err
}
