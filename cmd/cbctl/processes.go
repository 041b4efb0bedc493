package main

import (
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/carawaybeam/carawaybeam/administrator"
)

func (c *command) status(args []string) error {
	if len(args) != 0 {
		return usage("status wants no arguments")
	}
	var status administrator.Status
	if err := c.client.call(http.MethodGet, "/v1/status", nil, nil, &status); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(status)
	}
	_, _ = fmt.Fprintf(c.out, "config version %d\n", status.ConfigVersion)
	for _, invalid := range status.Invalid {
		_, _ = fmt.Fprintln(c.out, "not understood:", invalid)
	}
	_, _ = fmt.Fprintf(c.out, "quarantined requests %d\n", status.QuarantinedRequests)
	for _, dataCentre := range status.EvacuatedDataCentres {
		_, _ = fmt.Fprintln(c.out, "evacuated data centre:", dataCentre)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	printClasses(w, status.Classes)
	_, _ = fmt.Fprintln(w, "\nPROCESS\tROLE\tDATA CENTRE\tBACKEND\tSTATE\tCONFIG")
	for _, p := range status.Processes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n",
			p.Process, p.Role, p.DataCentre, p.Backend, p.State, p.ConfigVersion)
	}
	return w.Flush()
}

func printClasses(w io.Writer, classes []administrator.ClassStatus) {
	header := "\nCLASS\tDATA CENTRE\tTARGET\tSINCE\tMET\tREQUESTS\tQUARANTINED\tLIVE\tLEAVING\tUNLINKED"
	_, _ = fmt.Fprintln(w, header)
	for i := range classes {
		class := &classes[i]
		target := &class.Target
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
			class.Class, class.DataCentre, target.Standing, formatTime(target.Since),
			target.Met, target.Requests, target.Quarantined,
			class.Live, class.Leaving, class.Unlinked)
	}
}

// formatTime formats a time in UTC. It returns a dash for an unknown time.
func formatTime(at *time.Time) string {
	if at == nil {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}

// process runs the command drain or dump on one process and prints the answer.
func (c *command) process(verb string, args []string) error {
	if len(args) != 1 {
		return usage(verb + " wants PROCESS")
	}
	method := http.MethodGet
	if verb == "drain" {
		method = http.MethodPost
	}
	data, err := c.client.raw(method, "/v1/processes/"+args[0]+"/"+verb, nil, nil)
	if err != nil {
		return err
	}
	_, err = c.out.Write(append(data, '\n'))
	return err
}
