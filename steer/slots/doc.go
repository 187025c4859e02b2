// Package slots decides which server of a capacity cell runs a request.
//
// # One queue
//
// A [Cell] is owned by one keeper at a time, which counts every slot it gave
// out itself. No measurement can make it exceed a server's slots: reports and
// failures only lower the limit of a server below its slots.
//
// # Classes
//
// Bookings may use the reserved share of the slots ahead of everybody; beyond
// it interactive requests go first, then bookings, then bulk. The reserve isn't
// kept idle: it is an order of dispatch, so it costs no goodput. A request is
// refused at once when its predicted wait is above the profile's limit or when
// it can't meet its deadline.
//
// # Use
//
// The daemon calls Submit for each request and Finish for each that ended.
// Finish, Configure and Tick return a [Wake] with the queued requests that may
// start now and those that are refused. Next tells when Tick is due.
package slots
