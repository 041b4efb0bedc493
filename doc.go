// Package carawaybeam holds the names shared by every part of the load
// balancer: identifiers and units, the interfaces behind which behaviour
// varies, the typed errors and the registry of plug-ins.
//
// Implementations live in the packages below this one and register themselves
// by name, as database drivers do. The root package imports none of them.
package carawaybeam
