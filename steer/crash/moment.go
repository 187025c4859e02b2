package crash

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// momentLength is the length of a moment. Hosts notice the crashes of servers that are lost
// together within it.
const momentLength = 2 * time.Second

// AtMoment returns the name of a server, which has no spaces, with the moment of its crash. A record of
// requests that differ, such as those of one path, counts moments in place of servers: all of them
// run beside the cause when several servers are lost together, but a cause that comes again
// crashes servers at several moments.
func AtMoment(server string, now time.Time) string {
	return server + " " + strconv.FormatInt(now.UnixNano()/int64(momentLength), 36)
}

// countsMoments reports whether the record is one of requests that differ.
func (r *record) countsMoments() bool {
	return len(r.servers) > 0 && strings.Contains(r.servers[0], " ")
}

// crashes returns the number of crashed servers of the record, or of their moments. Without leaves out
// those of these servers; nil for none.
func (r *record) crashes(without func(server string) bool) int {
	if !r.countsMoments() {
		return len(r.servers)
	}
	var moments []string
	for _, n := range r.servers {
		server, moment, _ := strings.Cut(n, " ")
		if (without == nil || !without(server)) && !slices.Contains(moments, moment) {
			moments = append(moments, moment)
		}
	}
	return len(moments)
}

// ofCulprit reports whether the server crashed while it ran a request that has crashed as many servers
// as the threshold by itself.
func (s *Suspects) ofCulprit(server string) bool {
	for _, x := range s.records {
		if !x.countsMoments() && len(x.servers) >= s.crashThreshold && slices.Contains(x.servers, server) {
			return true
		}
	}
	return false
}
