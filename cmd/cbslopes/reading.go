package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam/messenger"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	nanosecond = 1e-9
	percent    = 100
	kibibyte   = 1024
	mebibyte   = 1 << 20

	// maxDumpBytes is the maximum size of a state dump.
	maxDumpBytes = 64 << 20
)

type (
	// reading holds the resources used by all processes and the calls of the
	// store, since their start.
	reading struct {
		at      time.Time
		entries []usage
		agents  []usage
		reads   int
		writes  int
		watches int
	}

	usage struct {
		// cpu is the processor time in seconds.
		cpu float64
		// memory is the resident set size in bytes.
		memory float64
		links  messenger.TrafficState
	}

	// costs is the cost of the control plane at one size.
	costs struct {
		entry cost
		agent cost
		// storeReads, storeWrites and storeWatches are the store calls per
		// second of the whole fleet.
		storeReads   float64
		storeWrites  float64
		storeWatches float64
	}

	// cost is the mean cost of one process of a role.
	cost struct {
		// cpu is in percent of one core.
		cpu float64
		// memory is in MiB.
		memory float64
		// traffic is in KiB per second, sent and received.
		traffic float64
		// messages is in frames per second, sent and received.
		messages float64
	}

	// dump is the part of a state dump that is measured.
	dump struct {
		State struct {
			Links   messenger.TrafficState `json:"links"`
			Members []struct {
				Linked bool `json:"linked"`
			} `json:"members"`
		} `json:"state"`
	}
)

func (f *fleet) read(ctx context.Context) (reading, error) {
	counts := f.store.Counts()
	r := reading{at: time.Now(), reads: counts.Reads, writes: counts.Writes, watches: counts.Watches}
	for _, p := range f.entries {
		u, err := p.usage(ctx)
		if err != nil {
			return r, err
		}
		r.entries = append(r.entries, u)
	}
	for _, p := range f.agents {
		u, err := p.usage(ctx)
		if err != nil {
			return r, err
		}
		r.agents = append(r.agents, u)
	}
	return r, nil
}

func (p *process) dump(ctx context.Context) (dump, error) {
	var d dump
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.admin+"/state", http.NoBody)
	if err != nil {
		return d, err
	}
	response, err := verifier.DefaultClient.Do(request)
	if err != nil {
		return d, err
	}
	defer func() { _ = response.Body.Close() }()
	err = verifier.DecodeJSON(response.Body, maxDumpBytes, &d)
	return d, err
}

// links returns the number of agents an entry is linked to, or 0 if its state
// can't be read.
func (p *process) links(ctx context.Context) int {
	d, err := p.dump(ctx)
	if err != nil {
		return 0
	}
	linked := 0
	for _, member := range d.State.Members {
		if member.Linked {
			linked++
		}
	}
	return linked
}

func (p *process) usage(ctx context.Context) (usage, error) {
	d, err := p.dump(ctx)
	if err != nil {
		return usage{}, err
	}
	pid := strconv.Itoa(p.command.Process.Pid)
	cpu, err := processorTime(pid)
	if err != nil {
		return usage{}, err
	}
	memory, err := residentSet(pid)
	return usage{cpu: cpu, memory: memory, links: d.State.Links}, err
}

// processorTime returns the processor time of all threads of a process in
// seconds.
func processorTime(pid string) (float64, error) {
	files, err := filepath.Glob("/proc/" + pid + "/task/*/schedstat")
	if err != nil {
		return 0, err
	}
	total := 0.0
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return 0, err
		}
		var running float64
		if _, err := fmt.Sscan(string(data), &running); err != nil {
			return 0, err
		}
		total += running * nanosecond
	}
	return total, nil
}

// residentSet returns the resident set size of a process in bytes.
func residentSet(pid string) (float64, error) {
	data, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(bytes.TrimSpace(data))) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kib float64
			_, err := fmt.Sscan(value, &kib)
			return kib * kibibyte, err
		}
	}
	return 0, os.ErrNotExist
}

// since returns the costs in the time from an earlier reading to this one.
func (r reading) since(earlier reading) costs {
	seconds := r.at.Sub(earlier.at).Seconds()
	return costs{
		entry:        meanCost(earlier.entries, r.entries, seconds),
		agent:        meanCost(earlier.agents, r.agents, seconds),
		storeReads:   float64(r.reads-earlier.reads) / seconds,
		storeWrites:  float64(r.writes-earlier.writes) / seconds,
		storeWatches: float64(r.watches-earlier.watches) / seconds,
	}
}

// meanCost returns the mean cost of the processes of one role. Memory is that of
// the later reading.
func meanCost(before, after []usage, seconds float64) cost {
	var c cost
	for i := range after {
		b, a := before[i], after[i]
		c.cpu += (a.cpu - b.cpu) * percent / seconds
		c.memory += a.memory / mebibyte
		c.traffic += float64(a.links.BytesSent+a.links.BytesReceived-b.links.BytesSent-b.links.BytesReceived) /
			kibibyte / seconds
		c.messages += float64(a.links.FramesSent+a.links.FramesReceived-b.links.FramesSent-b.links.FramesReceived) /
			seconds
	}
	n := float64(len(after))
	return cost{cpu: c.cpu / n, memory: c.memory / n, traffic: c.traffic / n, messages: c.messages / n}
}
