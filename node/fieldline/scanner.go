// Package fieldline rejects HTTP/1.1 responses with invalid field lines (header lines).
//
// net/http is more lenient than RFC 9112, section 5: it accepts spaces in field names, and obs-fold, that
// is, lines that begin with whitespace and continue the previous field. A Content-Length in such a line is
// ignored, so that the body may be taken to end elsewhere.
package fieldline

import (
	"errors"
	"strings"
)

// ErrInvalid means that the head of a response, or of an interim response before it, contains an invalid
// field line. Nothing in such a head can be relied on: the request may have run, whatever its status.
var ErrInvalid = errors.New("invalid field line")

// state is what the next byte of a response belongs to.
type state uint8

const (
	// inVersion is the status line up to its first space.
	inVersion state = iota
	// inCode is the status code, with the spaces before it.
	inCode
	inReason
	// atLine is the first byte of a field line, or of the empty line after them.
	atLine
	// atEnd is the line feed of the empty line.
	atEnd
	inName
	inValue
	inBody
)

// codeDigits is the number of digits of a status code (RFC 9110, section 15).
const codeDigits = 3

// scanner finds invalid field lines in a response and the interim responses before it. It ends each head
// where net/http does. It checks neither the status line nor values, as net/http rejects invalid values
// itself, nor trailers, which no client uses. The zero value is ready to scan a response.
type scanner struct {
	state state
	// code holds the status code, truncated to one byte more than a valid one.
	code []byte
}

// scan scans the next bytes of the response. If one of them makes a field line invalid, ok is false, n is
// the number of bytes before it, and scan must not be called again.
func (s *scanner) scan(p []byte) (n int, ok bool) {
	for i, c := range p {
		if s.state == inBody {
			break
		}
		if !s.step(c) {
			return i, false
		}
	}
	return len(p), true
}

// step scans one byte of a head and reports whether it is valid.
func (s *scanner) step(c byte) bool {
	switch s.state {
	case inVersion, inCode, inReason:
		s.stepStatusLine(c)
		return true
	case atLine:
		return s.startLine(c)
	case atEnd:
		s.endHead()
		return c == '\n'
	case inName:
		if c == ':' {
			s.state = inValue
			return true
		}
		return isTokenByte(c)
	default: // inValue
		if c == '\n' {
			s.state = atLine
		}
		return true
	}
}

// startLine scans the first byte of a line after the status line.
func (s *scanner) startLine(c byte) bool {
	switch c {
	case '\n':
		s.endHead()
		return true
	case '\r':
		s.state = atEnd
		return true
	default:
		s.state = inName
		return isTokenByte(c)
	}
}

// stepStatusLine scans one byte of a status line. Like net/http it allows several spaces before the code.
func (s *scanner) stepStatusLine(c byte) {
	switch {
	case c == '\n':
		s.state = atLine
	case s.state == inVersion && c == ' ':
		s.state = inCode
	case s.state == inCode && c == ' ':
		if len(s.code) > 0 {
			s.state = inReason
		}
	case s.state == inCode && c != '\r' && len(s.code) <= codeDigits:
		s.code = append(s.code, c)
	}
}

// endHead ends a head. After that of an interim response another one follows.
func (s *scanner) endHead() {
	s.state = inBody
	if s.isInterim() {
		s.state = inVersion
	}
	s.code = s.code[:0]
}

// isInterim reports whether the head is that of an interim response. Status 101 is final in net/http.
func (s *scanner) isInterim() bool {
	code := string(s.code)
	return len(code) == codeDigits && code[0] == '1' && strings.Trim(code, "0123456789") == "" && code != "101"
}

// isTokenByte reports whether a field name may contain the byte (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
