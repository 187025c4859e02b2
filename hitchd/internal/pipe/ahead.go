package pipe

import (
	"bufio"
	"bytes"
	"time"
)

// maxMarks bounds the times that are kept for the bytes that were read ahead.
const maxMarks = 64

// ahead holds the bytes that were read ahead and when they arrived.
type ahead struct {
	bytes []byte
	// start is the position of the first of the bytes.
	start int64
	marks []mark
}

// mark is when the bytes before the position had arrived.
type mark struct {
	end int64
	at  time.Time
}

func (a *ahead) add(now time.Time, b []byte) {
	a.bytes = append(a.bytes, b...)
	end := a.start + int64(len(a.bytes))
	if len(a.marks) == maxMarks {
		// Later than some of the bytes arrived, but never earlier.
		a.marks[maxMarks-1] = mark{end, now}
		return
	}
	a.marks = append(a.marks, mark{end, now})
}

// consume removes the first n bytes.
func (a *ahead) consume(n int) {
	a.start += int64(n)
	a.bytes = a.bytes[n:]
	for len(a.marks) > 0 && a.marks[0].end <= a.start {
		a.marks = a.marks[1:]
	}
	if len(a.bytes) == 0 {
		a.bytes, a.marks = nil, nil
	}
}

// timeAt returns when the first n bytes had arrived. It reports false unless they were read
// ahead.
func (a *ahead) timeAt(n int) (time.Time, bool) {
	for _, m := range a.marks {
		if a.start+int64(n) <= m.end {
			return m.at, true
		}
	}
	return time.Time{}, false
}

func newReader(b []byte) *bufio.Reader { return bufio.NewReader(bytes.NewReader(b)) }
