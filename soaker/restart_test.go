package soaker

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestRestartsOfOneProcess lets two faults restart the same process at once. Each
// process that they start has to end with the run, so that close returns.
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
		// The process ends by the signal, which is no clean end.
		_ = s.close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("a process is left")
	}
}
