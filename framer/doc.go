// Package framer holds the messages that the processes of the system send each
// other, and reads and writes them on a byte stream.
//
// The messages are generated from frame.proto by "make generate".
package framer
