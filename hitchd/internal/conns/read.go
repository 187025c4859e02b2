package conns

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliahitch/links/clock"
	"magnoliahitch/steer/result"
)

// newChunked returns a writer of the chunked coding.
func newChunked(w io.Writer) io.WriteCloser { return chunked{httputil.NewChunkedWriter(w), w} }

// chunked ends the body with the empty trailer.
type chunked struct {
	io.WriteCloser
	raw io.Writer
}

// Close writes the last chunk and the end of the trailer.
func (c chunked) Close() error {
	if err := c.WriteCloser.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c.raw, "\r\n")
	return err
}

// read returns the answer to this request. Late answers to earlier requests
// are skipped and cost the connection.
func (x *exchange) read() (*Answer, error) {
	for skipped := 0; ; skipped++ {
		res, err := x.readHeader()
		if err != nil {
			return nil, err
		}
		id := res.Header.Get(x.pool.words.RequestID)
		if id == "" || id == x.request.ID {
			return x.readBody(res, skipped > 0)
		}
		if skipped == maxForeign || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, errors.Wrap(err, "skip answer to another request")
		}
	}
}

// readHeader reads the header of the next final answer.
func (x *exchange) readHeader() (*http.Response, error) {
	for {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if res.StatusCode >= http.StatusOK || res.StatusCode == http.StatusSwitchingProtocols {
			return res, nil
		}
	}
}

func (x *exchange) readBody(res *http.Response, spoiled bool) (*Answer, error) {
	a := &Answer{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, Reused: x.reused}
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	keep := framed && !res.Close && !spoiled && res.StatusCode != http.StatusSwitchingProtocols
	if n := keepTime(res.Header); n > 0 {
		x.conn.keep = n
	}
	held, err := io.ReadAll(io.LimitReader(res.Body, maxHeldAnswer))
	if err != nil {
		return nil, errors.Wrapf(err, "read body after %d bytes", len(held))
	}
	a.Body = held
	if len(held) == maxHeldAnswer {
		a.Stream = &stream{Reader: res.Body, end: func(err error) { x.finish(keep && err == nil) }}
		return a, nil
	}
	a.Length = int64(len(held))
	x.finish(keep)
	return a, nil
}

// finish keeps the connection for the next request, or closes it.
func (x *exchange) finish(keep bool) {
	undisturbed := x.stop()
	select {
	case <-x.written:
		keep = keep && x.failed == nil
	default:
		// The server answered before it had the whole body, and would take
		// what comes next for the rest of it.
		keep = false
	}
	if !keep || !undisturbed || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.pool.put(clock.Now(), x.conn)
}

// judge sorts the answer into outcomes.
func (x *exchange) judge(a *Answer) (*Answer, result.Outcome, error) {
	w := x.pool.words
	switch {
	case x.request.Check:
		return a, result.Done, nil
	case a.Header.Get(w.NotRun) != "" || a.Status == http.StatusMisdirectedRequest:
		return a, result.NotRun, nil
	case a.Status >= 200 && a.Status < 300 && !a.Signed(w):
		return nil, result.Unknown, errNoMark
	case a.Header.Get("Content-Encoding") != "":
		return nil, result.Unknown, errEncoded
	}
	return a, result.Done, nil
}

// keepTime returns how long the server keeps the idle connection, less a
// second since it counts whole ones; 0 when it doesn't say.
func keepTime(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for f := range strings.SplitSeq(v, ",") {
			n, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
			if !ok {
				continue
			}
			if s, err := strconv.Atoi(n); err == nil {
				return max(time.Millisecond, time.Duration(s)*time.Second*3/4)
			}
		}
	}
	return 0
}

// stream is the end of a long answer.
type stream struct {
	io.Reader
	end  func(error)
	done bool
}

// Read reads on and ends the exchange with the last byte.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	if err != nil && !s.done {
		s.done = true
		if err == io.EOF {
			s.end(nil)
		} else {
			s.end(err)
		}
	}
	return n, err
}

// Close ends the exchange when the answer wasn't read whole.
func (s *stream) Close() error {
	if !s.done {
		s.done = true
		s.end(errors.New("answer was not read to its end"))
	}
	return nil
}

// Reader returns the whole answer.
func (a *Answer) Reader() io.Reader {
	if a.Stream == nil {
		return bytes.NewReader(a.Body)
	}
	return io.MultiReader(bytes.NewReader(a.Body), a.Stream)
}
