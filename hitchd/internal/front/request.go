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
	"magnoliahitch/hitchd/internal/pipe"
	"magnoliahitch/links/clock"
	"magnoliahitch/steer/config"
	"magnoliahitch/steer/place"
	"magnoliahitch/steer/result"
)

// Accepted forms of values that callers send.
var (
	serviceForm   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	requestIDForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)
	operationForm = regexp.MustCompile(`^[!-~]{1,200}$`)
)

// headerPrefix starts the names of the headers that are reserved for this
// system.
const headerPrefix = "Hitch-"

// readRequest checks the caller's request and returns the one to forward. An
// error means that nothing was run.
func (f *Front) readRequest(c echo.Context, x *exchange) (*call.Request, error) {
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
	home, _ := f.home(f.lookupTable(clock.Now(), conf), s, addr)
	r := &call.Request{
		ID:        x.id,
		Cell:      place.Cell{Region: f.members.Self().Region, Service: t.service},
		Method:    req.Method,
		Path:      t.path,
		Object:    t.object,
		Scope:     t.scope,
		Regions:   t.regions,
		Query:     req.URL.RawQuery,
		Header:    upstreamHeader(req.Header),
		Class:     s.Class,
		Block:     req.Header.Get(call.HeaderBlock),
		Operation: req.Header.Get(call.HeaderOperation),
		Origin:    home,
	}
	if !r.Idempotent() && r.Operation == "" {
		return nil, f.refuse(result.ReasonNoOperationID, "read operation id (missing)")
	}
	if req.ContentLength > int64(f.limits.MaxBody) {
		return nil, f.refuse(result.ReasonTooLarge, "read request body")
	}
	if req.ContentLength != 0 {
		x.body = newBody(c.Response().Writer, req.Body, f.limits)
		r.Body = x.body
	}
	if r.Deadline, err = f.deadline(req, s, t.timeout); err != nil {
		return nil, err
	}
	end, refused, stopping := pipe.Stopping(req.Context(), clock.Now())
	switch {
	case refused:
		return nil, f.refuse(result.ReasonStopping, "take request during a planned stop")
	case stopping && end.Before(r.Deadline):
		r.Deadline = end
	}
	return r, nil
}

// target is the service and path that a request is forwarded to. Object, scope,
// regions and timeout come from the route, if there is one.
type target struct {
	service, path, object, scope string
	regions                      []string
	// timeout is the timeout of the route, 0 for none.
	timeout time.Duration
}

// target returns the target of a request: the service that a path below
// /service/ names, or else that of the route which matches the host name and
// path.
func (f *Front) target(c echo.Context, conf *config.Config) (target, error) {
	req := c.Request()
	name := c.Param("service")
	if name == "" {
		return f.routeTarget(req, conf)
	}
	if _, err := f.findService(name, conf); err != nil {
		return target{}, err
	}
	path, ok := servicePath(req.URL)
	if !ok {
		return target{}, f.refuse(result.ReasonBadRequest, "read path (want an absolute path without .. segments and control characters)")
	}
	return target{service: name, path: path}, nil
}

// routeTarget returns the target of the route that matches the host name and
// path of the request. Without such a route it returns [echo.ErrNotFound], or a
// refusal while the host has no configuration.
func (f *Front) routeTarget(req *http.Request, conf *config.Config) (target, error) {
	path, ok := requestPath(req.URL)
	if !ok {
		return target{}, f.refuse(result.ReasonBadRequest, "read path (want an absolute path without .. segments and control characters)")
	}
	r := f.routing.find(conf, req)
	switch {
	case r == nil && conf.Revision == 0:
		return target{}, f.refuse(result.ReasonNoConfig, "find route for host "+req.Host)
	case r == nil:
		return target{}, echo.ErrNotFound
	}
	object := objectOf(r, req.Header)
	if len(r.Parts) > 1 {
		f.routing.splitters.SetHosts(len(f.members.Live()))
	}
	return target{
		service: f.routing.splitters.Choose(r, object).Service, path: path, object: object, scope: r.Host, regions: r.Regions, timeout: r.Timeout,
	}, nil
}

func (f *Front) refuse(reason result.Reason, step string) error {
	return result.NewNotRun(reason, step, f.members.Self().Name)
}

// findService returns the service of the name. It refuses malformed names and
// those that are not configured.
func (f *Front) findService(name string, conf *config.Config) (config.Service, error) {
	if !serviceForm.MatchString(name) {
		return config.Service{}, f.refuse(result.ReasonBadRequest, "read service name")
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

// servicePath returns the path after "/service/NAME" as the caller encoded it,
// or "/" if there is none, and whether the path is safe.
func servicePath(u *url.URL) (string, bool) {
	path := u.EscapedPath()
	for range 2 {
		path = path[1:]
		i := strings.IndexByte(path, '/')
		if i < 0 {
			return "/", true
		}
		path = path[i:]
	}
	return path, isSafePath(path)
}

// isSafePath reports whether the path can be decoded and has neither a ".."
// segment nor a control character. Slashes and backslashes separate segments,
// also when they are encoded.
func isSafePath(path string) bool {
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

// checkHeader refuses headers that only hosts may send, repeated headers that
// may have one value only, and malformed operation ids.
func (f *Front) checkHeader(h http.Header) error {
	for name, values := range h {
		own := strings.HasPrefix(name, headerPrefix)
		if own && name != call.HeaderDeadline && name != call.HeaderBlock {
			return f.refuse(result.ReasonBadRequest, "read header "+name+" (reserved for hosts)")
		}
		if (own || name == call.HeaderOperation) && len(values) > 1 {
			return f.refuse(result.ReasonBadRequest, "read header "+name+" (repeated, want one value)")
		}
	}
	if o := h.Get(call.HeaderOperation); o != "" && !operationForm.MatchString(o) {
		return f.refuse(result.ReasonBadRequest, "read header "+call.HeaderOperation+" (want 1 to 200 visible ASCII characters)")
	}
	return nil
}

// upstreamHeader returns the headers to forward to the upstream: the end-to-end
// headers without those that the caller port handles itself.
func upstreamHeader(h http.Header) http.Header {
	out := call.EndToEnd(h)
	out.Del("Expect")
	out.Del(call.HeaderDeadline)
	out.Del(call.HeaderBlock)
	return out
}

func init() {
	// Request ids need not be unpredictable, and reading the random source of
	// the operating system for each one is slow.
	uuid.EnableRandPool()
}

// requestID returns the caller's request id if there is exactly one and it is
// well formed, else a new id.
func requestID(h http.Header) string {
	if v := h.Values(call.HeaderRequestID); len(v) == 1 && requestIDForm.MatchString(v[0]) {
		return v[0]
	}
	return uuid.NewString()
}

// deadline returns the earliest of three deadlines: the service's, that of the
// route's timeout, if above 0, and the one in the caller's header, if present. They
// count from the arrival of the request, which may have waited behind another one.
func (f *Front) deadline(req *http.Request, s config.Service, timeout time.Duration) (time.Time, error) {
	ms := s.DeadlineMs
	if timeout > 0 {
		ms = min(ms, int(timeout.Milliseconds()))
	}
	if v := req.Header.Get(call.HeaderDeadline); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n <= 0 {
			return time.Time{}, f.refuse(result.ReasonBadRequest, "read header "+call.HeaderDeadline+" (want a whole number of milliseconds above 0)")
		}
		ms = min(ms, n)
	}
	start, known := pipe.Arrived(req.Context())
	if !known {
		start = clock.Now()
	}
	return start.Add(time.Duration(ms) * time.Millisecond), nil
}
