// Package peer carries messages and requests between hosts over HTTP/3 on
// QUIC with mutual TLS.
package peer
