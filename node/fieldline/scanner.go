// Package fieldline rejects responses of other processes with invalid field lines (header lines).
//
// net/http parses heads more leniently than RFC 9112, section 5: it keeps field names that contain a
// blank, and joins a line that begins with a blank to the field before it. A length or an ID in such a
// line is not seen, so that the body may end elsewhere or belong to another request.
package fieldline

import (
	"errors"
	"strings"
)

// ErrInvalid means that the head of a response, or of an interim one before it, contains an invalid
// field line. Nothing in such a head can be relied on, so that the request may have run.
var ErrInvalid = errors.New("invalid field line")

// state is what the next byte of a response belongs to.
type state uint8

const (
	// inVersion is the status line up to its first blank.
	inVersion state = iota
	// inCode is the status code, with the blanks before it.
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

// scanner scans the bytes of one response, with the interim responses before it, for invalid field
// lines. It finds the ends of heads where net/http finds them. The status line and the values are left to
// net/http, which rejects invalid values itself; trailers are not checked, as no client uses them. The zero
// value is at the start of a response.
type scanner struct {
	state state
	// code holds the status code, cut off after one byte more than it may have.
	code []byte
}

// scan scans the next bytes of the response. It returns how many come before the first byte that
// makes a field line invalid; ok is false if there is one. After that nothing more may be scanned.
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

// startLine scans the first byte after a line.
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

// stepStatusLine scans one byte of a status line. Like net/http it allows several blanks before the code.
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

// endHead continues with the body, or after an interim head with the next head.
func (s *scanner) endHead() {
	s.state = inBody
	if s.isInterim() {
		s.state = inVersion
	}
	s.code = s.code[:0]
}

// isInterim reports whether the head is that of an interim response. After a protocol switch no other
// head follows.
func (s *scanner) isInterim() bool {
	code := string(s.code)
	return len(code) == codeDigits && code[0] == '1' && strings.Trim(code, "0123456789") == "" && code != "101"
}

// isTokenByte reports whether a field name may contain the byte (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
