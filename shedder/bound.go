package shedder

import (
	"github.com/carawaybeam/carawaybeam"
)

const (
	// ConnectionCost is the memory that a connection of a client takes while no body or answer is held for
	// it: the goroutine and buffers of the HTTP server and the kernel's buffers.
	ConnectionCost carawaybeam.Bytes = 20 << 10

	// memoryShare is the share of the memory of the process that connections of clients may take.
	memoryShare = 0.15

	// fileDescriptors is the number of descriptors for files. otherDescriptors is that for listeners and
	// for connections of operators, the balancer, the store and other processes.
	fileDescriptors  = 200
	otherDescriptors = 600

	// minBound is the least number of connections that are accepted.
	minBound = 64
)

// NewBound returns the bound on the connections of clients for a process with so much memory, or any if it is
// 0, and so many descriptors. Each connection may need one to a backend server. The bound is 0, which is none,
// if descriptors is 0.
func NewBound(memory carawaybeam.Bytes, descriptors int) Bound {
	if descriptors <= 0 {
		return 0
	}
	bound := (descriptors - fileDescriptors - otherDescriptors) / 2
	if memory > 0 {
		bound = min(bound, int(memoryShare*float64(memory)/float64(ConnectionCost)))
	}
	return Bound(max(minBound, bound))
}
