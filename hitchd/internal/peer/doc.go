// Package peer implements the protocol between hosts: HTTP/3 over QUIC with
// mutual TLS.
//
// Hosts exchange messages, which are encoded in MessagePack ([Client.Call],
// [MessageHandler]), and forward requests of callers to each other ([Client.Forward],
// [Server.HandleCalls]). Each forwarded body carries its length and a checksum,
// so that a truncated or altered body is detected. A host's certificate proves
// its name.
package peer
