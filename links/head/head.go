package head

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// ErrInvalid is the error of a head that breaks the syntax of RFC 9112.
var ErrInvalid = errors.New("invalid header of a response")

// state is the position in a head.
type state uint8

const (
	inVersion state = iota
	beforeStatus
	inStatusLine
	atLine
	inName
	inValue
	// afterReturn follows the carriage return of a line, atEnd that of the empty line.
	afterReturn
	atEnd
)

// Scanner checks the head of a response. The zero value expects its first byte.
type Scanner struct {
	state state
	// line is the number of the line in the head, from 0 on, column the number of bytes of the
	// version or of the name before the next one.
	line, column int
	interim      bool
	// uncoded is set for HTTP/1.0, which has no transfer codings, and coded while the name is
	// the beginning of the field that names one.
	uncoded, coded bool
}

const (
	// version is that of all heads but for its last digit.
	version        = "HTTP/1."
	transferCoding = "transfer-encoding"
)

// Interim reports whether the status line that was scanned is one of an informational response,
// behind which another head follows.
func (s *Scanner) Interim() bool { return s.interim }

// Scan checks the next bytes. It returns the number of those that belong to the head, and whether
// the head is complete. The error is [ErrInvalid].
func (s *Scanner) Scan(b []byte) (n int, done bool, err error) {
	for i, c := range b {
		done, ok := s.next(c)
		if !ok {
			return i, false, errors.Wrapf(ErrInvalid, "line %d: unexpected byte 0x%02x %s", s.line+1, c, s.state)
		}
		if done {
			return i + 1, true, nil
		}
	}
	return len(b), false, nil
}

// next checks a byte, and reports whether it ends the head and whether it is valid.
func (s *Scanner) next(c byte) (done, ok bool) {
	switch s.state {
	case inVersion:
		return false, s.inVersion(c)
	case beforeStatus:
		if c != ' ' {
			s.state, s.interim = inStatusLine, c == '1'
		}
		return false, s.inLine(c)
	case atLine:
		switch {
		case c == '\n':
			return true, true
		case c == '\r':
			s.state = atEnd
			return false, true
		}
		s.state, s.column, s.coded = inName, 0, s.uncoded
		return false, s.inName(c)
	case inName:
		if c == ':' {
			s.state = inValue
			return false, !s.coded || s.column != len(transferCoding)
		}
		return false, s.inName(c)
	case afterReturn:
		return false, c == '\n' && s.inLine(c)
	case atEnd:
		return c == '\n', c == '\n'
	}
	return false, s.inLine(c)
}

// inVersion checks a byte of the version, or the blank behind it.
func (s *Scanner) inVersion(c byte) bool {
	s.column++
	switch n := s.column - 1; {
	case n < len(version):
		return c == version[n]
	case n == len(version):
		s.uncoded = c == '0'
		return '0' <= c && c <= '9'
	}
	s.state = beforeStatus
	return c == ' '
}

// inName checks a byte of the name of a field.
func (s *Scanner) inName(c byte) bool {
	s.coded = s.coded && s.column < len(transferCoding) && c|0x20 == transferCoding[s.column]|0x20
	s.column++
	return isToken(c)
}

// inLine checks a byte of the status line or of a value.
func (s *Scanner) inLine(c byte) bool {
	switch c {
	case '\n':
		s.state = atLine
		s.line++
	case '\r':
		s.state = afterReturn
	}
	return c != 0
}

// String names the position for errors.
func (s state) String() string {
	switch s {
	case atLine, inName:
		return "in the name of a field"
	case afterReturn, atEnd:
		return "behind a carriage return"
	case inValue:
		return "in the value of a field"
	}
	return "in the status line"
}

// Body returns the body of the response. Its end is [ErrInvalid] instead of [io.EOF] if a name in
// the trailer is no token.
func Body(r *http.Response) io.ReadCloser { return body{r.Body, r} }

type body struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body.
func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := Check(b.response.Trailer); invalid != nil {
			return n, errors.Wrap(invalid, "read trailer")
		}
	}
	return n, err
}

// Check returns [ErrInvalid] if a name in the header is no token. Use it where the bytes can't be
// scanned: it doesn't know of lines that were joined. Names without a value are trailers that
// were announced and didn't come.
func Check(h http.Header) error {
	for name, values := range h {
		if len(values) == 0 {
			continue
		}
		for i := range len(name) {
			if !isToken(name[i]) {
				return errors.Wrapf(ErrInvalid, "field %q", name)
			}
		}
		if name == "" {
			return errors.Wrap(ErrInvalid, "field without a name")
		}
	}
	return nil
}

// isToken reports whether the byte may be in a token, RFC 9110, section 5.6.2.
func isToken(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}
