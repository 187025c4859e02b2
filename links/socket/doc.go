// Package socket tells the orderly end of what a peer sends from a lost connection.
//
// A kernel reports the error of a socket once, to the call that comes first. If that is a
// write, the next read returns no bytes, which looks like a close of the peer, and a message
// that ends with its connection looks complete. A [Conn] keeps the error for its reader:
//
//	t := &http.Transport{DialContext: socket.Dial(&net.Dialer{Timeout: time.Second})}
package socket
