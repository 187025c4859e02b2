// Package slots decides which server of a capacity cell runs a request.
//
// # Slots
//
// A slot is the right to run one request on a server. A capacity cell is the set of
// a service's servers in one region. Its [Cell] is owned by one host at a time, the
// keeper, which assigns all slots itself and counts them. The count never exceeds a
// server's slots: reports and failures only lower the limit of a server below that
// number.
//
// A slot that may still be in use although no request of this cell runs in it is
// held for a time: after an abandoned request, and after a change of keeper.
//
// # Classes
//
// Requests that can't start are queued by class. Bookings may use the reserved share
// of the slots ahead of the other classes. Beyond it interactive requests are served
// first, then bookings, then bulk. For interactive requests and bookings the reserve
// is an order of dispatch: no slot is kept idle, so it costs no goodput. Bulk requests
// may not use the reserved slots while other requests arrive. A request is refused at
// once when its predicted wait is above the profile's limit or when it can't meet its
// deadline.
//
// # Use
//
// The daemon calls Submit for each request and Finish for each that ended.
// Finish, Configure and Tick return a [Dispatch] with the queued requests that may
// start now and those that are refused. Next returns when Tick is due.
package slots
