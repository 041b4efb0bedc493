// Package carawaybeam defines the types shared by all packages of the load
// balancer: identifiers and units, the interfaces implemented by plug-ins, the
// error types and the plug-in registries.
//
// Plug-ins live in packages below this one and register themselves by name in
// an init function, as database/sql drivers do. This package imports none of
// them.
package carawaybeam
