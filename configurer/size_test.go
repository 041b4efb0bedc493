package configurer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// classCount and organisationCount are the numbers of classes and of
	// organisations in the users' installation (letter 1).
	classCount        = 29
	organisationCount = 2800

	// memoryBudget is the memory in bytes that a node may use for control data
	// (letter 1).
	memoryBudget = 32 << 20
)

// installation returns the objects of an installation with the given number of
// organisations. Each object has a full record of 16 previous changes.
func installation(organisations int) configurer.Delta {
	delta := configurer.Delta{Full: true}
	add := func(kind carawaybeam.StoreKind, name, document string) {
		delta.Complete++
		record := `,"change":{"id":"0b3b8f0e-6a2c-4f0a-9d52-3f6f3a2b1c00","by":"operator",` +
			`"at":"2026-01-01T00:00:00Z","previous":[`
		for i := range 16 {
			if i > 0 {
				record += ","
			}
			record += fmt.Sprintf(`"0b3b8f0e-6a2c-4f0a-9d52-3f6f3a2b1c%02d"`, i)
		}
		value := document[:len(document)-1] + record + "]}}"
		delta.Objects = append(delta.Objects, carawaybeam.Object{
			Kind: kind, Name: name, Version: carawaybeam.StoreVersion(delta.Complete), Value: []byte(value),
		})
	}
	for i := range classCount {
		add(carawaybeam.KindClass, fmt.Sprintf("class-%d", i), service)
	}
	for i := range organisations {
		name := fmt.Sprintf("organisation-%d", i)
		add(carawaybeam.KindOrganisation, name, `{"tokenHash":"`+configurer.HashToken(name)+`","classes":["a","b"]}`)
	}
	return delta
}

func TestConfigurationFitsMemoryAndFrame(t *testing.T) {
	for _, organisations := range []int{10, 700, 1400, 2800} {
		t.Run(fmt.Sprint(organisations), func(t *testing.T) {
			is := is.New(t)
			before := heap()
			c := configurer.New()
			is.Equal(len(c.Merge(installation(organisations))), 0)
			held := heap() - before
			size := proto.Size(c.Delta(0).Message())
			t.Logf("organisations %d heap %d bytes, full delta %d bytes", organisations, held, size)
			is.True(held <= memoryBudget)
			is.True(size <= framer.MaxFrameBytes)
			runtime.KeepAlive(c)
		})
	}
}

func heap() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// BenchmarkMerge measures one change to a configuration of the size of the
// users' installation (letter 1).
func BenchmarkMerge(b *testing.B) {
	c := configurer.New()
	full := installation(organisationCount)
	c.Merge(full)
	change := full.Objects[0]
	for b.Loop() {
		since := c.Complete()
		change.Version = carawaybeam.StoreVersion(since + 1)
		c.Merge(configurer.Delta{Since: since, Complete: since + 1, Objects: []carawaybeam.Object{change}})
	}
}

// BenchmarkState measures the state that every control message contains, for an
// installation of the same size.
func BenchmarkState(b *testing.B) {
	c := configurer.New()
	c.Merge(installation(organisationCount))
	for b.Loop() {
		c.State()
	}
}
