package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/applier"
)

// progressInterval is how often processes are asked what they hold.
const progressInterval = 300 * time.Millisecond

// document is one object of a file.
type document struct {
	kind string
	name string
	data []byte
}

// apply makes the objects of a file so, those of one kind or all.
func (c *command) apply(args []string, kind string) error {
	flags := flag.NewFlagSet("apply", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	wait := flags.Bool("wait", false, "wait until the changes are in force everywhere")
	if err := flags.Parse(args); err != nil || flags.NArg() != 1 {
		return usage("apply wants [-wait] FILE")
	}
	data, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		return err
	}
	documents, err := readDocuments(data, kind)
	if err != nil {
		return &exitError{code: exitRefused, detail: flags.Arg(0) + ": " + err.Error()}
	}
	for _, d := range documents {
		result := c.client.change(d.kind, d.name, d.data, nil)
		if err := c.report(result); err != nil {
			return err
		}
		if *wait && result.Status == applier.StatusAccepted {
			if err := c.await(result); err != nil {
				return err
			}
		}
	}
	return nil
}

// readDocuments returns the objects of a TOML file in the order of their names.
func readDocuments(data []byte, kind string) ([]document, error) {
	var file map[string]map[string]map[string]any
	if err := toml.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	var documents []document
	for _, table := range slices.Sorted(maps.Keys(file)) {
		if table != "class" && table != "organisation" {
			return nil, fmt.Errorf("table %s is none of class and organisation", table)
		}
		if kind != "" && table != kind {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(file[table])) {
			encoded, err := json.Marshal(file[table][name])
			if err != nil {
				return nil, err
			}
			documents = append(documents, document{kind: table, name: name, data: encoded})
		}
	}
	return documents, nil
}

// await waits until an accepted change is in force everywhere and prints each
// process as it gets there.
func (c *command) await(result applier.Result) error {
	path := objectPath(string(result.Kind), result.Name) + "/force"
	query := url.Values{"version": {strconv.FormatUint(uint64(result.Version), 10)}}
	told := make(map[string]bool)
	begun := time.Now()
	for {
		var processes []administrator.ProcessStatus
		if err := c.client.call(http.MethodGet, path, query, nil, &processes); err != nil {
			return err
		}
		missing := c.progress(processes, told, time.Since(begun))
		if missing == 0 {
			return nil
		}
		if time.Since(begun) > c.timeout {
			return &exitError{
				code:   exitNotInForce,
				detail: fmt.Sprintf("not in force on %d of %d processes", missing, len(processes)),
			}
		}
		time.Sleep(progressInterval)
	}
}

// progress prints the processes that got there and returns how many did not.
func (c *command) progress(processes []administrator.ProcessStatus, told map[string]bool, took time.Duration) int {
	missing := 0
	for _, p := range processes {
		if !p.InForce {
			missing++
		}
		if !p.InForce || told[p.Process] {
			continue
		}
		told[p.Process] = true
		if !c.json {
			_, _ = fmt.Fprintf(c.out, "  %s: in force after %v\n", p.Process, took.Round(time.Millisecond))
		}
	}
	return missing
}
