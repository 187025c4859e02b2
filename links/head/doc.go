// Package head checks the heads of HTTP/1.1 responses more strictly than net/http, which accepts
// blanks in the names of fields and joins a line that begins with a blank to the one before.
//
// A server in trouble sends such lines, and the framing or the signature of a response may hang
// on them. RFC 9112, section 5, lets a gateway discard the response. A [Scanner] checks the bytes
// as they arrive, [Check] what was parsed already.
package head
