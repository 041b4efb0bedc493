package checker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// keyHashBytes is how much of the SHA-256 of a key is shown: enough to tell keys apart, and not enough
// to confirm a guess with certainty.
const keyHashBytes = 4

type (
	// Snapshot is the meaning of a routing configuration without its secrets. Two configurations of
	// the same meaning have equal snapshots, except for the order of their elements. It is what entries
	// show of the configuration in force. Times are in nanoseconds.
	Snapshot struct {
		Version       carawaybeam.ConfigVersion `json:"version"`
		Routes        []RouteSnapshot           `json:"routes"`
		Pools         []PoolSnapshot            `json:"pools"`
		Organisations []OrganisationSnapshot    `json:"organisations"`
		Limits        LimitsSnapshot            `json:"limits"`
	}

	// RouteSnapshot is a route. Its host is in lower case.
	RouteSnapshot struct {
		Name      carawaybeam.RouteID   `json:"name"`
		Host      string                `json:"host"`
		Prefix    string                `json:"prefix"`
		Kind      carawaybeam.RouteKind `json:"kind"`
		Pools     []ShareSnapshot       `json:"pools"`
		Attempts  int                   `json:"attempts"`
		Timeout   time.Duration         `json:"timeout"`
		Target    time.Duration         `json:"target"`
		Gap       time.Duration         `json:"gap"`
		Priority  int                   `json:"priority"`
		Public    bool                  `json:"public"`
		Resumable bool                  `json:"resumable"`
		// Homes is empty if there are none.
		Homes string `json:"homes,omitempty"`
	}

	// ShareSnapshot is the share of a pool in a route. The weights of a route have no common divisor,
	// and pools without weight are left out.
	ShareSnapshot struct {
		Pool   carawaybeam.PoolID `json:"pool"`
		Weight int                `json:"weight"`
	}

	// PoolSnapshot is a pool.
	PoolSnapshot struct {
		Name        carawaybeam.PoolID `json:"name"`
		Connections int                `json:"connections"`
		// Engine is empty if the pool has no model engines. Else it holds the fields of EngineProfile
		// and ExpertLayout.
		Engine []EngineValue `json:"engine"`
	}

	// EngineValue is a field of an engine profile in the form that operators read.
	EngineValue struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	}

	// OrganisationSnapshot is an organisation. Instead of its keys it has their hashes, sorted.
	OrganisationSnapshot struct {
		Name      carawaybeam.OrganisationID `json:"name"`
		KeyHashes []string                   `json:"keyHashes"`
		Priority  *int                       `json:"priority,omitempty"`
		// Homes is empty if there are none.
		Homes string `json:"homes,omitempty"`
	}

	// LimitsSnapshot holds the limits for clients.
	LimitsSnapshot struct {
		HeaderBytes   int           `json:"headerBytes"`
		BodyBytes     int64         `json:"bodyBytes"`
		HeaderTimeout time.Duration `json:"headerTimeout"`
		IdleTimeout   time.Duration `json:"idleTimeout"`
	}
)

// KeyHash returns a short hash by which a key can be recognised.
func KeyHash(key carawaybeam.APIKey) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:keyHashBytes])
}

// NewSnapshot returns the snapshot of a configuration.
func NewSnapshot(routing carawaybeam.Routing) Snapshot {
	s := Snapshot{
		Version:       routing.Version,
		Routes:        make([]RouteSnapshot, 0, len(routing.Routes)),
		Pools:         make([]PoolSnapshot, 0, len(routing.Pools)),
		Organisations: make([]OrganisationSnapshot, 0, len(routing.KeyHolders)),
		Limits:        LimitsSnapshot(routing.Limits),
	}
	for i := range routing.Routes {
		route := &routing.Routes[i]
		s.Routes = append(s.Routes, RouteSnapshot{
			Name: route.ID, Host: strings.ToLower(route.Host), Prefix: route.Prefix, Kind: route.Kind,
			Pools: newShares(route.Shares), Attempts: route.MaxAttempts,
			Timeout: route.Timeout, Target: route.Target, Gap: route.EventGap,
			Priority: route.Priority, Public: route.Public, Resumable: route.Resumable,
			Homes: homesText(route.Homes, route.HomesFault),
		})
	}
	for _, pool := range routing.Pools {
		s.Pools = append(
			s.Pools,
			PoolSnapshot{Name: pool.ID, Connections: pool.MaxConnections, Engine: newEngine(pool.Engine)},
		)
	}
	for _, holder := range routing.KeyHolders {
		hashes := make([]string, 0, len(holder.Keys))
		for _, key := range holder.Keys {
			hashes = append(hashes, KeyHash(key))
		}
		slices.Sort(hashes)
		s.Organisations = append(s.Organisations, OrganisationSnapshot{
			Name: holder.ID, KeyHashes: slices.Compact(hashes), Priority: holder.Priority,
			Homes: homesText(holder.Homes, holder.HomesFault),
		})
	}
	return s
}

// newEngine returns the values of an engine profile, or none if it is nil.
func newEngine(engine *carawaybeam.EngineProfile) []EngineValue {
	if engine == nil {
		return []EngineValue{}
	}
	values := appendValues(nil, "", reflect.ValueOf(*engine))
	experts := carawaybeam.ExpertLayout{}
	if engine.Experts != nil {
		experts = *engine.Experts
	}
	return appendValues(values, "experts.", reflect.ValueOf(experts))
}

// appendValues appends the fields of a struct other than pointers.
func appendValues(values []EngineValue, prefix string, of reflect.Value) []EngineValue {
	for i := range of.NumField() {
		if of.Field(i).Kind() == reflect.Pointer {
			continue
		}
		name := of.Type().Field(i).Name
		values = append(values, EngineValue{
			Name: prefix + strings.ToLower(name[:1]) + name[1:], Value: fmt.Sprint(of.Field(i).Interface()),
		})
	}
	return values
}

// newShares returns the shares of the pools, sorted by pool. It leaves invalid weights as they are.
func newShares(shares []carawaybeam.PoolShare) []ShareSnapshot {
	result := make([]ShareSnapshot, 0, len(shares))
	for _, share := range shares {
		if share.Weight != 0 {
			result = append(result, ShareSnapshot{Pool: share.Pool, Weight: share.Weight})
		}
	}
	slices.SortStableFunc(
		result,
		func(a, b ShareSnapshot) int { return strings.Compare(string(a.Pool), string(b.Pool)) },
	)
	merged := result[:0]
	for _, share := range result {
		if n := len(merged); n > 0 && merged[n-1].Pool == share.Pool {
			merged[n-1].Weight += share.Weight
			continue
		}
		merged = append(merged, share)
	}
	divisor := 0
	for _, share := range merged {
		divisor = commonDivisor(divisor, share.Weight)
	}
	for i := range merged {
		if divisor > 1 {
			merged[i].Weight /= divisor
		}
	}
	return merged
}

func commonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
