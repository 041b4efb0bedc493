package main

import (
	"fmt"
	"net/http"
	"text/tabwriter"

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
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nCLASS\tDATA CENTRE\tLIVE\tLEAVING\tUNLINKED")
	for _, class := range status.Classes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n",
			class.Class, class.DataCentre, class.Live, class.Leaving, class.Unlinked)
	}
	_, _ = fmt.Fprintln(w, "\nPROCESS\tROLE\tDATA CENTRE\tBACKEND\tSTATE\tCONFIG")
	for _, p := range status.Processes {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n",
			p.Process, p.Role, p.DataCentre, p.Backend, p.State, p.ConfigVersion)
	}
	return w.Flush()
}

// process passes an order or question on to one process.
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
