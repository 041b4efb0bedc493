// Package framer defines the messages that the processes of the load balancer
// exchange, and encodes and decodes them on a byte stream.
//
// The message types are generated from frame.proto by "make generate".
package framer
