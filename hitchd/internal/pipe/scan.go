package pipe

// headScanner finds the end of a request's head, which is its first empty line.
// Its zero value is at the start of a request.
type headScanner struct {
	state headState
}

type headState int

const (
	// beforeLine skips the empty lines before a request line.
	beforeLine headState = iota
	lineStart
	lineStartCR
	inLine
)

// scan returns the length of the part of b that belongs to the head, and whether
// the head ends there.
func (s *headScanner) scan(b []byte) (n int, done bool) {
	for i, x := range b {
		switch {
		case x == '\n' && (s.state == lineStart || s.state == lineStartCR):
			*s = headScanner{}
			return i + 1, true
		case x == '\n' && s.state == inLine:
			s.state = lineStart
		case s.state == beforeLine && (x == '\r' || x == '\n'):
		case s.state == lineStart && x == '\r':
			s.state = lineStartCR
		default:
			s.state = inLine
		}
	}
	return len(b), false
}

// headEnd returns the length of the head that b starts with, 0 if b has only a part
// of it.
func headEnd(b []byte) int {
	var s headScanner
	n, done := s.scan(b)
	if !done {
		return 0
	}
	return n
}

// maxChunkDigits bounds the digits of a chunk's size, so that it can't overflow.
const maxChunkDigits = 15

// chunkScanner finds the end of a body in the chunked transfer coding. Its zero
// value is at the start of a body.
type chunkScanner struct {
	state   chunkState
	digits  int
	left    int64
	trailer headScanner
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkDataCR
	chunkDataLF
	chunkTrailer
)

// scan returns the length of the part of b that belongs to the body, and whether
// the body ends there. It is not ok if b is malformed; the end of the body is not
// known then.
func (s *chunkScanner) scan(b []byte) (n int, done, ok bool) {
	for n < len(b) {
		switch s.state {
		case chunkData:
			k := min(s.left, int64(len(b)-n))
			n += int(k)
			s.left -= k
			if s.left == 0 {
				s.state = chunkDataCR
			}
			continue
		case chunkTrailer:
			k, end := s.trailer.scan(b[n:])
			return n + k, end, true
		}
		if !s.next(b[n]) {
			return n, false, false
		}
		n++
	}
	return n, false, true
}

// next handles one byte of a chunk's framing and reports whether it is valid.
func (s *chunkScanner) next(x byte) bool {
	switch s.state {
	case chunkSize:
		if d, ok := hexDigit(x); ok {
			s.left = s.left<<4 | d
			s.digits++
			return s.digits <= maxChunkDigits
		}
		if s.digits == 0 {
			return false
		}
		s.state = chunkExtension
		return s.next(x)
	case chunkExtension:
		if x != '\n' {
			return true
		}
		s.digits = 0
		if s.left > 0 {
			s.state = chunkData
			return true
		}
		s.state, s.trailer.state = chunkTrailer, lineStart
		return true
	case chunkDataCR:
		s.state = chunkDataLF
		return x == '\r'
	default:
		s.state = chunkSize
		return x == '\n'
	}
}

func hexDigit(x byte) (int64, bool) {
	switch {
	case x >= '0' && x <= '9':
		return int64(x - '0'), true
	case x >= 'a' && x <= 'f':
		return int64(x-'a') + 10, true
	case x >= 'A' && x <= 'F':
		return int64(x-'A') + 10, true
	}
	return 0, false
}
