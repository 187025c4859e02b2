package setup

import (
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"magnoliahitch/links/certs"
)

// Size is a number of bytes.
type Size int

// sizeUnits are the units of sizes. "B" is last, since the others end with it too.
var sizeUnits = []struct {
	name  string
	bytes int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

// Upper limits of values.
const (
	maxSize     = Size(64 << 20)
	maxDuration = time.Hour
	maxCount    = 1000
)

// Descriptions of allowed values in faults.
const (
	wantDuration = "a duration above 0 and at most 1h with its unit, as in 500ms, 5s or 2m"
	wantSize     = "a size from 1B to 64MiB with its unit, as in 512B, 16KiB or 1MiB"
	wantCount    = "a whole number from 1 to 1000"
	wantBool     = "true or false"
)

// setValue parses the text into v. It returns "" if the text is valid, otherwise a
// description of the allowed values. The check is the name of one in [checks] and
// applies to text values only. Fields of other types are a programming error.
func setValue(v reflect.Value, text, check string) string {
	switch p := v.Addr().Interface().(type) {
	case *string:
		*p = text
		return checks[check].validate(text)
	case *bool:
		b, err := strconv.ParseBool(text)
		*p = b
		return unless(err == nil, wantBool)
	case *int:
		n, err := strconv.Atoi(text)
		*p = n
		return unless(err == nil && n >= 1 && n <= maxCount, wantCount)
	case *time.Duration:
		d, err := time.ParseDuration(text)
		*p = d
		return unless(err == nil && d > 0 && d <= maxDuration, wantDuration)
	case *Size:
		n, ok := parseSize(text)
		*p = n
		return unless(ok, wantSize)
	}
	panic("setup: field of type " + v.Type().String())
}

// unless returns want unless ok is true, then "".
func unless(ok bool, want string) string {
	if ok {
		return ""
	}
	return want
}

// parseSize parses a number with its unit. It reports false if the unit is missing
// or the size isn't from 1 byte to [maxSize].
func parseSize(text string) (Size, bool) {
	for _, u := range sizeUnits {
		if digits, ok := strings.CutSuffix(text, u.name); ok {
			n, err := strconv.Atoi(strings.TrimSpace(digits))
			ok := err == nil && n > 0 && n <= int(maxSize)/u.bytes
			return Size(n * u.bytes), ok
		}
	}
	return 0, false
}

// rule is a check of a text value; want describes the allowed values.
type rule struct {
	want string
	ok   func(string) bool
}

// validate returns "" if the text is valid, otherwise a description of the allowed
// values.
func (r rule) validate(text string) string { return unless(r.ok(text), r.want) }

// checks holds the checks of text values by the name in the fields' tags.
var checks = map[string]rule{
	"name": {
		"1 to 63 lower-case letters, digits and inner hyphens",
		certs.ValidName,
	},
	"address": {
		"an IP address of this host and a port from 1 to 65535, as in 10.0.0.7:8001",
		func(s string) bool {
			a, err := netip.ParseAddrPort(s)
			return err == nil && a.Port() > 0 && !a.Addr().IsUnspecified()
		},
	},
	"base": {
		"http:// or https:// with an IP address and a port, as in http://10.0.0.9:7000",
		isBaseURL,
	},
	"seeds": {
		"none, or names of hosts with their peer addresses, as in norte-a-1=10.0.0.7:8001,norte-b-1=10.0.1.7:8001",
		func(s string) bool { _, ok := parseSeeds(s); return ok },
	},
	"file": {
		"the name of a readable file",
		func(s string) bool {
			f, err := os.Open(s)
			if err != nil {
				return false
			}
			defer f.Close()
			i, err := f.Stat()
			return err == nil && i.Mode().IsRegular()
		},
	},
	"level": {
		"trace, debug, info, warn, error or off",
		func(s string) bool { return hclog.LevelFromString(s) != hclog.NoLevel },
	},
}

// isBaseURL reports whether s is an HTTP or HTTPS URL of an IP address and a port,
// without a path, a query, a fragment or user information.
func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	a, err := netip.ParseAddrPort(u.Host)
	return err == nil && a.Port() > 0 && u.Path == "" && u.RawQuery == "" && u.Fragment == "" && u.User == nil
}
