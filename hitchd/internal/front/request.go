package front

import (
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"magnoliahitch/hitchd/internal/call"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// Forms of what callers send.
var (
	serviceForm   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	requestIDForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)
	operationForm = regexp.MustCompile(`^[!-~]{1,200}$`)
)

// ownPrefix begins the names of this system's headers.
const ownPrefix = "Hitch-"

// request reads the caller's request. Its error says that nothing was run.
func (f *Front) request(c echo.Context, x *exchange) (*call.Request, error) {
	req := c.Request()
	conf := f.view.Config()
	t, err := f.target(c, conf)
	if err != nil {
		return nil, err
	}
	s := conf.Services[t.service]
	x.service = t.service
	if err := f.checkHeader(req.Header); err != nil {
		return nil, err
	}
	addr, err := f.callerAddr(req, "")
	if err != nil {
		return nil, err
	}
	home, _ := f.home(f.guide(clock.Now(), conf), s, addr)
	r := &call.Request{
		ID:        x.id,
		Cell:      place.Cell{Region: f.members.Self().Region, Service: t.service},
		Method:    req.Method,
		Path:      t.path,
		Object:    t.object,
		Scope:     t.scope,
		Regions:   t.regions,
		Query:     req.URL.RawQuery,
		Header:    passedOn(req.Header),
		Class:     s.Class,
		Block:     req.Header.Get(call.HeaderBlock),
		Operation: req.Header.Get(call.HeaderOperation),
		Origin:    home,
	}
	if !r.Idempotent() && r.Operation == "" {
		return nil, f.refuse(result.ReasonNoOperation, "read request")
	}
	if req.ContentLength > int64(f.limits.MaxBody) {
		return nil, f.refuse(result.ReasonTooLarge, "read request")
	}
	if req.ContentLength != 0 {
		x.body = newBody(c.Response().Writer, req.Body, f.limits)
		r.Body = x.body
	}
	r.Deadline, err = f.deadline(req, s, t.timeout)
	return r, err
}

// target is where a request goes.
type target struct {
	service, path, object, scope string
	regions                      []string
	// timeout is the route's, 0 for none.
	timeout time.Duration
}

// target returns the service that the path names, or that of the route of the
// request's host name and path.
func (f *Front) target(c echo.Context, conf *config.Config) (target, error) {
	req := c.Request()
	name := c.Param("service")
	if name == "" {
		return f.routed(req, conf)
	}
	if _, err := f.service(name, conf); err != nil {
		return target{}, err
	}
	path, ok := tail(req.URL)
	if !ok {
		return target{}, f.refuse(result.ReasonBadRequest, "read path")
	}
	return target{service: name, path: path}, nil
}

func (f *Front) routed(req *http.Request, conf *config.Config) (target, error) {
	path, ok := wholePath(req.URL)
	if !ok {
		return target{}, f.refuse(result.ReasonBadRequest, "read path")
	}
	r := f.routing.find(conf, req)
	switch {
	case r == nil && conf.Revision == 0:
		return target{}, f.refuse(result.ReasonNoConfig, "find route of "+req.Host)
	case r == nil:
		return target{}, echo.ErrNotFound
	}
	object := objectOf(r, req.Header)
	return target{
		service: f.routing.parts.Service(r, object), path: path, object: object, scope: r.Host, regions: r.Regions, timeout: r.Timeout,
	}, nil
}

func (f *Front) refuse(reason result.Reason, step string) error {
	return result.Refuse(reason, step, f.members.Self().Name)
}

// service returns the named service.
func (f *Front) service(name string, conf *config.Config) (config.Service, error) {
	if !serviceForm.MatchString(name) {
		return config.Service{}, f.refuse(result.ReasonBadRequest, "read name of service")
	}
	s, ok := conf.Services[name]
	switch {
	case ok:
		return s, nil
	case conf.Revision == 0:
		return s, f.refuse(result.ReasonNoConfig, "find service "+name)
	}
	return s, f.refuse(result.ReasonNoService, "find service "+name)
}

// tail returns the path behind "/service/NAME" as the caller encoded it. It
// reports false for a path that climbs, or that hides control characters.
func tail(u *url.URL) (string, bool) {
	path := u.EscapedPath()
	for range 2 {
		path = path[1:]
		i := strings.IndexByte(path, '/')
		if i < 0 {
			return "/", true
		}
		path = path[i:]
	}
	return path, isPlain(path)
}

// isPlain reports whether the path neither climbs nor hides control characters.
func isPlain(path string) bool {
	plain, err := url.PathUnescape(path)
	if err != nil || strings.ContainsFunc(plain, isControl) {
		return false
	}
	for s := range strings.FieldsFuncSeq(plain, func(c rune) bool { return c == '/' || c == '\\' }) {
		if s == ".." {
			return false
		}
	}
	return true
}

func isControl(c rune) bool { return c < ' ' || c == 0x7f }

// checkHeader refuses headers that say two things, or that only hosts may send.
func (f *Front) checkHeader(h http.Header) error {
	for name, values := range h {
		own := strings.HasPrefix(name, ownPrefix)
		if own && name != call.HeaderDeadline && name != call.HeaderBlock {
			return f.refuse(result.ReasonBadRequest, "read header "+name+", which callers may not send,")
		}
		if (own || name == call.HeaderOperation) && len(values) > 1 {
			return f.refuse(result.ReasonBadRequest, "read header "+name+", which stands more than once,")
		}
	}
	if o := h.Get(call.HeaderOperation); o != "" && !operationForm.MatchString(o) {
		return f.refuse(result.ReasonBadRequest, "read header "+call.HeaderOperation+", which must be 1 to 200 visible ASCII characters,")
	}
	return nil
}

// passedOn returns the headers that go on to the upstream.
func passedOn(h http.Header) http.Header {
	out := call.EndToEnd(h)
	out.Del("Expect")
	out.Del(call.HeaderDeadline)
	out.Del(call.HeaderBlock)
	return out
}

func init() {
	// Request ids need not be secret, and a read of the system's source for
	// each is slow.
	uuid.EnableRandPool()
}

// requestID returns the caller's request id when it is sane, or a new one.
func requestID(h http.Header) string {
	if v := h.Values(call.HeaderRequestID); len(v) == 1 && requestIDForm.MatchString(v[0]) {
		return v[0]
	}
	return uuid.NewString()
}

func (f *Front) deadline(req *http.Request, s config.Service, timeout time.Duration) (time.Time, error) {
	ms := s.DeadlineMs
	if timeout > 0 {
		ms = min(ms, int(timeout.Milliseconds()))
	}
	if v := req.Header.Get(call.HeaderDeadline); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n <= 0 {
			return time.Time{}, f.refuse(result.ReasonBadRequest, "read header "+call.HeaderDeadline+", which must be a number of milliseconds above 0,")
		}
		ms = min(ms, n)
	}
	return clock.Now().Add(time.Duration(ms) * time.Millisecond), nil
}
