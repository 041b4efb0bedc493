// Command cbctl is the operators' client.
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	program = "cbctl"

	requestTimeout = 10 * time.Second
)

type statusError struct {
	status string
}

func (e *statusError) Error() string { return "process answered " + e.status }

func main() {
	admin := flag.String("admin", "127.0.0.1:9000", "admin address of the process")
	flag.Usage = usage
	flag.Parse()
	if flag.NArg() != 1 || flag.Arg(0) != "dump" {
		usage()
		os.Exit(starter.ExitSettings)
	}
	if err := dump(os.Stdout, *admin); err != nil {
		starter.Fail(program, 1, err)
	}
}

func usage() {
	_, _ = fmt.Fprintln(
		flag.CommandLine.Output(),
		"usage: cbctl [-admin ADDRESS] dump\n\nExample: cbctl -admin 127.0.10.1:9000 dump",
	)
	flag.PrintDefaults()
}

// dump prints the state of a process.
func dump(w io.Writer, admin string) error {
	client := http.Client{Timeout: requestTimeout}
	response, err := client.Get("http://" + admin + "/state")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &statusError{status: response.Status}
	}
	_, err = io.Copy(w, response.Body)
	return err
}
