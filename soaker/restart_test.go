package soaker

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestRestartsOfOneProcess restarts the same process by several faults concurrently.
// Each process that they start must be stopped at the end of the run, or close does
// not return.
func TestRestartsOfOneProcess(t *testing.T) {
	directory := t.TempDir()
	script := []byte("#!/bin/sh\nexec sleep 60\n")
	if err := os.WriteFile(filepath.Join(directory, "sleeper"), script, 0o700); err != nil {
		t.Fatal(err)
	}
	s := &Soaker{options: Options{Programs: directory}, stop: make(chan struct{})}
	e := &daemon{name: "entry-0", program: "sleeper"}
	s.entries = []*daemon{e}
	if err := s.startDaemon(e); err != nil {
		t.Fatal(err)
	}
	var restarts sync.WaitGroup
	for range 4 {
		restarts.Go(func() { s.restart(e, syscall.SIGKILL) })
	}
	restarts.Wait()
	ended := make(chan struct{})
	go func() {
		// The process is ended by a signal, so that close returns an error.
		_ = s.close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("close did not return: a process still runs")
	}
}
