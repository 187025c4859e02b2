// Package slots decides which server of a capacity cell runs a request.
//
// A [Cell] is owned by one keeper at a time, which counts every slot it gave
// out itself. No measurement can make it exceed a server's slots. The keeper's
// daemon calls Submit for each request and Finish for each that ended; both
// return the requests that may start now.
package slots
